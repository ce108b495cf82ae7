package dapplequay.net;

import dapplequay.http.MessageReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/**
 * The input of one client, read only by the thread of its connection. A client that ends its output counts as gone,
 * whether it closed or still reads, as the two look the same before something is written. The end of the stream
 * only shows after the last byte, so a thread that waits for something other than the next byte has to poll for it. The
 * thread that passes on a long response takes over the input once the reading thread has left.
 */
final class ClientInput extends InputStream {
    /** How long a poll waits if nothing has arrived, in milliseconds; the shortest timeout that a socket has. */
    private static final int POLL_MS = 1;
    /** How many bytes one poll reads: a client that sends without end must not keep its thread from the response. */
    private static final int MAX_POLL_BYTES = 1 << 20;
    /**
     * Once a connection has discarded this many bytes, a poll reads only {@link #MAX_FLOOD_POLL_BYTES}, so that many
     * such clients don't use up the processor time.
     */
    private static final int DISCARD_FLOOD_BYTES = 2 << 20;
    private static final int MAX_FLOOD_POLL_BYTES = 64 * 1024;
    private static final int DISCARD_BUFFER_BYTES = 8 * 1024;
    /** How often the reading thread checks whether it still owns the input while a response is due, in milliseconds. */
    private static final int OWNERSHIP_CHECK_MS = 200;

    /** Thrown to the reading thread once another thread owns the input. */
    static final class HandedOverException extends IOException {
        private static final long serialVersionUID = 1L;

        HandedOverException() {
            super("input was handed over to another thread");
        }
    }

    private final Socket socket;
    private final InputStream in;
    private final LongSupplier clock;
    private long lastSeenUs;
    private volatile long discardedBytes;
    private volatile boolean hasUnprocessedBytes;
    private volatile boolean isResponseDue;
    private volatile boolean isGone;
    private boolean isPolling;
    /** Guarded by this object's lock, as is {@link #readerHasLeft}. */
    private boolean isHandedOver;
    private boolean readerHasLeft;

    /** {@code clock}: in microseconds. */
    ClientInput(Socket socket, LongSupplier clock) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        this.clock = clock;
        lastSeenUs = clock.getAsLong();
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xFF;
    }

    @Override
    public int read(byte[] into, int from, int length) throws IOException {
        hasUnprocessedBytes = false;
        // Reads one byte first. Until this thread has noted that it has input, the rest stays in the socket, where a
        // thread that wants to close an idle connection finds it.
        int count = isPolling ? receive(into, from, Math.min(1, length)) : awaitBytes(into, from, Math.min(1, length));
        hasUnprocessedBytes = count > 0;
        if (count > 0 && length > 1 && in.available() > 0) {
            count += Math.max(0, receive(into, from + 1, length - 1));
        }
        lastSeenUs = clock.getAsLong();
        return count;
    }

    private int awaitBytes(byte[] into, int from, int length) throws IOException {
        while (true) {
            checkOwnership();
            socket.setSoTimeout(isResponseDue ? OWNERSHIP_CHECK_MS : 0);
            try {
                return receive(into, from, length);
            } catch (SocketTimeoutException e) {
                // Nothing has arrived; the owner of the input may have changed.
            }
        }
    }

    private int receive(byte[] into, int from, int length) throws IOException {
        try {
            int count = in.read(into, from, length);
            isGone |= count < 0;
            return count;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            isGone = true;
            throw e;
        }
    }

    private synchronized void checkOwnership() throws HandedOverException {
        if (isHandedOver) {
            throw new HandedOverException();
        }
    }

    /**
     * Sets whether a response is due: only then may the input be handed over, and the reading thread waits accordingly.
     */
    void setResponseDue(boolean due) {
        isResponseDue = due;
    }

    /** Hands the input over to the caller, which owns it once the reading thread has left. */
    synchronized void handOver() {
        isHandedOver = true;
    }

    /** Marks that the reading thread has left; true if the input, and so the connection, was handed over. */
    synchronized boolean leave() {
        readerHasLeft = true;
        return isHandedOver;
    }

    /**
     * Returns the input to the reading thread; false if that has left, so that the caller has to finish the connection.
     */
    synchronized boolean giveBack() {
        isHandedOver &= readerHasLeft;
        return !readerHasLeft;
    }

    private synchronized boolean hasReaderLeft() {
        return readerHasLeft;
    }

    /** True if the end of the stream or a broken connection was seen. Any thread may call this. */
    boolean isGone() {
        return isGone;
    }

    /**
     * True if the client is still there; input that has arrived is discarded. For the thread that took over the input.
     */
    boolean isClientPresent() throws IOException {
        return hasReaderLeft() ? poll(null, true) : !isGone;
    }

    /** Returns when the client was last known to be there, in microseconds. */
    long lastSeenUs() {
        return lastSeenUs;
    }

    /** True if bytes were read that the reading thread is about to process. Any thread may call this. */
    boolean hasUnprocessedBytes() {
        return hasUnprocessedBytes;
    }

    /** True if input was discarded, so that the start of the next request is unknown. Any thread may call this. */
    boolean hasDiscardedBytes() {
        return discardedBytes > 0;
    }

    /**
     * Checks that the client is still there and reads what has arrived into the reader's buffer. What does not fit is
     * discarded if {@code discardsOverflow}, else it stays unread, and so does anything after it.
     *
     * @throws EOFException at the end of the stream
     */
    void checkPresent(MessageReader reader, boolean discardsOverflow) throws IOException {
        checkOwnership();
        if (!poll(reader, discardsOverflow)) {
            throw new EOFException("the client has left");
        }
    }

    private boolean poll(MessageReader reader, boolean discardsOverflow) throws IOException {
        byte[] discardBuffer = null;
        int maxBytes = discardedBytes < DISCARD_FLOOD_BYTES ? MAX_POLL_BYTES : MAX_FLOOD_POLL_BYTES;
        isPolling = true;
        socket.setSoTimeout(POLL_MS);
        try {
            for (int total = 0, count; total < maxBytes; total += count) {
                if (reader != null && !reader.isBufferFull()) {
                    count = reader.readAhead();
                } else if (discardsOverflow) {
                    discardBuffer = discardBuffer == null ? new byte[DISCARD_BUFFER_BYTES] : discardBuffer;
                    count = read(discardBuffer, 0, DISCARD_BUFFER_BYTES);
                    discardedBytes += Math.max(0, count);
                } else {
                    return true;
                }
                if (count < 0) {
                    return false;
                }
            }
        } catch (SocketTimeoutException e) {
            // No more input and no end of the stream: the client is there.
            lastSeenUs = clock.getAsLong();
        } finally {
            hasUnprocessedBytes = reader != null && reader.hasBufferedBytes();
            isPolling = false;
        }
        return true;
    }
}
