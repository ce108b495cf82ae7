package dapplequay.net;

import dapplequay.http.Sockets;
import dapplequay.time.Deadlines;
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
final class LingeringClose {
    private static final Logger LOG = Logger.getLogger(LingeringClose.class.getName());
    /** What is still read: clients that send without end are not waited for. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    private static final int BUFFER_BYTES = 4 * 1024;

    private final Socket socket;
    private final Deadlines deadlines;
    private Deadlines.Deadline deadline;
    private long deadlineUs = Long.MAX_VALUE;
    private boolean isClosed;
    private boolean resetOnClose;

    LingeringClose(Socket socket, Deadlines deadlines) {
        this.socket = socket;
        this.deadlines = deadlines;
    }

    /**
     * Nothing more is sent; the client has so long to close, microseconds. Once begun, a call with less time left
     * hurries it, and no call grants more.
     */
    synchronized void begin(long lingerUs) {
        long newDeadlineUs = deadlines.now() + lingerUs;
        if (isClosed || newDeadlineUs >= deadlineUs) {
            return;
        }
        try {
            if (deadline == null) {
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            close();
            return;
        }
        deadlines.cancel(deadline);
        deadlineUs = newDeadlineUs;
        deadline = deadlines.after(lingerUs, this::close);
    }

    /** At once. */
    synchronized void close() {
        try {
            if (resetOnClose && !isClosed) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "no reset: {0}", e.toString());
        }
        isClosed = true;
        deadlines.cancel(deadline);
        Sockets.close(socket);
    }

    /** Whether an answer is on its way that a plain end would be taken for the end of: a close is a reset then. */
    synchronized void setResetOnClose(boolean reset) {
        resetOnClose = reset;
    }

    synchronized boolean isClosed() {
        return isClosed;
    }

    /** {@link #throwAway} by a thread of its own, where nobody else reads; {@code over} is called at the end. */
    void discardInputInBackground(Runnable onEnd) {
        Thread thread = new Thread(() -> {
            try {
                discardInput(0);
            } catch (IOException e) {
                LOG.log(Level.FINE, "client connection ended: {0}", e.toString());
            } finally {
                onEnd.run();
            }
        }, "client");
        try {
            thread.start();
        } catch (OutOfMemoryError e) {
            onEnd.run();
        }
    }

    /** Reads on until the client ends, or the time is over; {@code more}: bytes beyond what is usual. */
    void discardInput(int extraBytes) throws IOException {
        socket.setSoTimeout(0);
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        int read = 0;
        for (int total = 0; read >= 0 && total < MAX_DISCARDED_BYTES + extraBytes; total += read) {
            read = in.read(buffer);
        }
    }
}
