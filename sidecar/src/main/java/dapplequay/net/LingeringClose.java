package dapplequay.net;

import dapplequay.http.MessageReader;
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
    /** The same after an early response: a client may read it only after it has sent its whole request. */
    private static final int UPLOAD_DISCARDED_BYTES = 2 * MessageReader.MAX_BODY_BYTES;
    /** The least pace at which a client may go on sending such a request, in bytes a second. */
    private static final long MIN_UPLOAD_BYTES_PER_S = 48_000;
    /** The time to close is extended in steps, in microseconds: the input comes in thousands of pieces. */
    private static final long EXTENSION_STEP_US = 500_000;
    private static final int BUFFER_BYTES = 4 * 1024;

    private final Socket socket;
    private final DeadlineQueue deadlines;
    private DeadlineQueue.Deadline deadline;
    private long deadlineUs = Long.MAX_VALUE;
    private long firstLingerUs;
    private long extensionUs;
    private boolean isShortened;
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
        isShortened = deadline != null;
        firstLingerUs = lingerUs;
        closeAt(newDeadlineUs);
    }

    private void closeAt(long newDeadlineUs) {
        deadlines.cancel(deadline);
        deadlineUs = newDeadlineUs;
        deadline = deadlines.schedule(newDeadlineUs - deadlines.now(), this::close);
    }

    /**
     * Gives a client that goes on sending a long request the time that these bytes take at the minimum pace; from now
     * on no more than it had at first.
     */
    private synchronized void extendFor(int bytes) {
        extensionUs += Math.max(0, bytes) * 1_000_000L / MIN_UPLOAD_BYTES_PER_S;
        if (extensionUs < EXTENSION_STEP_US || deadline == null || isShortened || isClosed) {
            return;
        }
        closeAt(Math.max(deadlineUs, Math.min(deadlineUs + extensionUs, deadlines.now() + firstLingerUs)));
        extensionUs = 0;
    }

    /** Closes the socket at once; with a reset if {@link #setResetOnClose} asked for one. */
    synchronized void close() {
        isClosed = true;
        deadlines.cancel(deadline);
        Sockets.closeQuietly(socket);
    }

    /**
     * Sets whether closing resets the connection, as needed while a response is sent whose end is the end of the
     * connection: the client would take an orderly close for that end. The system closes it in the same way if the
     * process is killed.
     */
    synchronized void setResetOnClose(boolean reset) {
        if (reset == resetOnClose || isClosed) {
            return;
        }
        try {
            socket.setSoLinger(reset, 0);
            resetOnClose = reset;
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection could not be set to reset: {0}", e.toString());
        }
    }

    synchronized boolean isClosed() {
        return isClosed;
    }

    /** Runs {@link #discardInput} on a new thread, for when no other thread reads; calls {@code onEnd} at the end. */
    void discardInputInBackground(Runnable onEnd) {
        Thread thread = new Thread(() -> {
            try {
                discardInput(false);
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
     * Reads and discards input until the client closes, the time is over or the limit of bytes is reached. Both are
     * higher {@code afterUpload}, an early response to a long request.
     */
    void discardInput(boolean afterUpload) throws IOException {
        socket.setSoTimeout(0);
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        int maxBytes = MAX_DISCARDED_BYTES + (afterUpload ? UPLOAD_DISCARDED_BYTES : 0);
        int read = 0;
        for (int total = 0; read >= 0 && total < maxBytes; total += read) {
            read = in.read(buffer);
            if (afterUpload) {
                extendFor(read);
            }
        }
    }
}
