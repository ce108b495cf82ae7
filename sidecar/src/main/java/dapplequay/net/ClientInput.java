package dapplequay.net;

import dapplequay.http.MessageReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/**
 * What a client sends, read by its connection's thread alone. A client that ends its sending has gone, whether it
 * closed or goes on reading: the two can't be told apart before something is written. The end of a stream shows only
 * behind the last byte, so that one who waits for another thing than the next byte has to look for it. Whoever passes a
 * long answer on takes the reading over, once the reading thread has left.
 */
final class ClientInput extends InputStream {
    /** A look waits for so long where nothing has come, ms; a socket knows no shorter time. */
    private static final int POLL_MS = 1;
    /** So much is taken in by one look, bytes: who sends without end must not keep its thread from the answer, ... */
    private static final int MAX_POLL_BYTES = 1 << 20;
    /** ... nor many of them the process from its work: from so many spilt bytes on, a look takes only so much. */
    private static final int DISCARD_FLOOD_BYTES = 2 << 20;
    private static final int MAX_FLOOD_POLL_BYTES = 64 * 1024;
    private static final int DISCARD_BUFFER_BYTES = 8 * 1024;
    /** While an answer is due, the reading thread asks so often, ms, whether the reading is still its own. */
    private static final int OWNERSHIP_CHECK_MS = 200;

    /** The reading is another thread's from here on. */
    static final class HandedOverException extends IOException {
        private static final long serialVersionUID = 1L;

        HandedOverException() {
            super("handed over");
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
    /** This and the next: under this object's own lock. */
    private boolean isHandedOver;
    private boolean readerHasLeft;

    /** {@code clock}: microseconds. */
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
        // One byte first: until this thread has said that it has it, the rest still lies with the system, where whoever
        // wants to close a quiet connection finds it.
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
                // Nothing has come: whose the reading is may have changed.
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

    /** Whether an answer is due: the reading may be handed over then alone, and its thread waits accordingly. */
    void setResponseDue(boolean due) {
        isResponseDue = due;
    }

    /** The reading is the caller's, from the moment on at which the reading thread has left. */
    synchronized void handOver() {
        isHandedOver = true;
    }

    /** The reading thread leaves; whether the reading, and the connection, were handed over. */
    synchronized boolean leave() {
        readerHasLeft = true;
        return isHandedOver;
    }

    /** Gives the reading back to its thread; false where that has left, and what is still to do is the caller's. */
    synchronized boolean giveBack() {
        isHandedOver &= readerHasLeft;
        return !readerHasLeft;
    }

    private synchronized boolean hasReaderLeft() {
        return readerHasLeft;
    }

    /** Whether the end of the stream was seen, or a break; any thread may ask. */
    boolean isGone() {
        return isGone;
    }

    /** For the thread that it was handed over to: whether the client is there. What has come is thrown away. */
    boolean isClientPresent() throws IOException {
        return hasReaderLeft() ? poll(null, true) : !isGone;
    }

    /** When the client was last known to be there, microseconds. */
    long lastSeenUs() {
        return lastSeenUs;
    }

    /** Whether something was read that the reading thread is about to use; any thread may ask. */
    boolean hasUnprocessedBytes() {
        return hasUnprocessedBytes;
    }

    /** Whether something was thrown away, so that nobody can say where the next request begins; any thread may ask. */
    boolean hasDiscardedBytes() {
        return discardedBytes > 0;
    }

    /**
     * Looks whether the client is still there, and takes in what has come: EOFException at the end of the stream. It is
     * read into the reader's buffer; what does not fit there is thrown away if {@code spills}, and else left unread,
     * with what is behind it.
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
                if (reader != null && !reader.isFull()) {
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
            lastSeenUs = clock.getAsLong();        // nothing more, and no end: it is there
        } finally {
            hasUnprocessedBytes = reader != null && reader.hasBytes();
            isPolling = false;
        }
        return true;
    }
}
