package dapplequay.net;

import dapplequay.http.Sockets;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The end of a client's connection, the same for all causes. A close over bytes that nobody has read resets the
 * connection, and may take the last answer from the client. So the sending side ends first, what still comes is read
 * and thrown away, and the descriptor comes back when the client has closed too, or after a bound of bytes and of
 * time. Nothing that is read after {@link #begin} may be served: whoever calls it sees to that.
 */
final class OrderlyClose {
    private static final Logger LOG = Logger.getLogger(OrderlyClose.class.getName());
    /** What is still read: clients that send without end are not waited for. */
    private static final int MOST = 256 * 1024;
    private static final int PIECE = 4 * 1024;

    private final Socket socket;
    private final DeadlineQueue deadlines;
    private DeadlineQueue.Deadline bound;
    private long boundUs = Long.MAX_VALUE;
    private boolean closed;
    private boolean breaksOff;

    OrderlyClose(Socket socket, DeadlineQueue deadlines) {
        this.socket = socket;
        this.deadlines = deadlines;
    }

    /**
     * Nothing more is sent; the client has so long to close, microseconds. Once begun, a call with less time left
     * hurries it, and no call grants more.
     */
    synchronized void begin(long lingerUs) {
        long untilUs = deadlines.now() + lingerUs;
        if (closed || untilUs >= boundUs) {
            return;
        }
        try {
            if (bound == null) {
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            close();
            return;
        }
        deadlines.cancel(bound);
        boundUs = untilUs;
        bound = deadlines.schedule(lingerUs, this::close);
    }

    /** At once. */
    synchronized void close() {
        try {
            if (breaksOff && !closed) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "no reset: {0}", e.toString());
        }
        closed = true;
        deadlines.cancel(bound);
        Sockets.closeQuietly(socket);
    }

    /** Whether an answer is on its way that a plain end would be taken for the end of: a close is a reset then. */
    synchronized void breaksOff(boolean so) {
        breaksOff = so;
    }

    synchronized boolean isClosed() {
        return closed;
    }

    /** {@link #throwAway} by a thread of its own, where nobody else reads; {@code over} is called at the end. */
    void throwAwayApart(Runnable over) {
        Thread thread = new Thread(() -> {
            try {
                throwAway(0);
            } catch (IOException e) {
                LOG.log(Level.FINE, "client connection ended: {0}", e.toString());
            } finally {
                over.run();
            }
        }, "client");
        try {
            thread.start();
        } catch (OutOfMemoryError e) {
            over.run();
        }
    }

    /** Reads on until the client ends, or the time is over; {@code more}: bytes beyond what is usual. */
    void throwAway(int more) throws IOException {
        socket.setSoTimeout(0);
        InputStream in = socket.getInputStream();
        byte[] unread = new byte[PIECE];
        int read = 0;
        for (int sum = 0; read >= 0 && sum < MOST + more; sum += read) {
            read = in.read(unread);
        }
    }
}
