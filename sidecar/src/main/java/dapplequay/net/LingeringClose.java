package dapplequay.net;

import dapplequay.http.Sockets;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Closes a client's connection without losing the last response. Closing a socket with unread bytes resets the
 * connection, which may discard the response before the client reads it. So the output is shut down first, further
 * input is read and discarded, and the socket is closed once the client has closed, or after a limit of bytes or time.
 * Nothing that is read after {@link #begin} may be served; the caller ensures that.
 */
final class LingeringClose {
    private static final Logger LOG = Logger.getLogger(LingeringClose.class.getName());
    /** How much input is still read; a client that sends without end is not waited for. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    private static final int BUFFER_BYTES = 4 * 1024;

    private final Socket socket;
    private final DeadlineQueue deadlines;
    private DeadlineQueue.Deadline deadline;
    private long deadlineUs = Long.MAX_VALUE;
    private boolean isClosed;
    private boolean resetOnClose;

    LingeringClose(Socket socket, DeadlineQueue deadlines) {
        this.socket = socket;
        this.deadlines = deadlines;
    }

    /**
     * Shuts down the output and gives the client {@code lingerUs} microseconds to close. A later call can only shorten
     * that time.
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
        deadline = deadlines.schedule(lingerUs, this::close);
    }

    /** Closes the socket at once; with a reset if {@link #setResetOnClose} asked for one. */
    synchronized void close() {
        try {
            if (resetOnClose && !isClosed) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection could not be set to reset: {0}", e.toString());
        }
        isClosed = true;
        deadlines.cancel(deadline);
        Sockets.closeQuietly(socket);
    }

    /**
     * Sets whether closing resets the connection, as needed while a response is sent whose end is the end of the
     * connection: the client would take an orderly close for that end.
     */
    synchronized void setResetOnClose(boolean reset) {
        resetOnClose = reset;
    }

    synchronized boolean isClosed() {
        return isClosed;
    }

    /** Runs {@link #discardInput} on a new thread, for when no other thread reads; calls {@code onEnd} at the end. */
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

    /**
     * Reads and discards input until the client closes, the time is over or the limit of bytes is reached; {@code
     * extraBytes} raises the limit.
     */
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
