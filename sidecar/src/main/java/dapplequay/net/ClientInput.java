package dapplequay.net;

import dapplequay.http.MessageReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.LongSupplier;

/**
 * The input of one client. A client that ends its output counts as gone, whether it closed or still reads, as the two
 * look the same before something is written. The end of the stream only shows after the last byte, so a thread that
 * waits for something other than the next byte has to check for it.
 *
 * <p>The thread of the connection reads requests. While a response is due it does not read: the socket is then in
 * non-blocking mode, and any thread may check for the client without waiting. The thread that passes on a long response
 * takes over the input once the reading thread has left.
 *
 * <p>A client is known to be present only once nothing more is there to read: the end of the stream may lie behind any
 * byte that is not read yet. Of a client that sends more than fits into the reader's buffer it can't be known: once the
 * receive window was closed, its bytes and its end may arrive a retransmission timeout later.
 */
final class ClientInput extends InputStream {
    /** How long the thread that took over the input waits if nothing has arrived, in milliseconds. */
    private static final int POLL_MS = 1;
    /** How many bytes one check reads: a client that sends without end must not keep a thread from the response. */
    private static final int MAX_CHECK_BYTES = 1 << 20;
    /**
     * Once a connection has discarded this many bytes, a check reads only {@link #MAX_FLOOD_CHECK_BYTES}, so that many
     * such clients don't use up the processor time.
     */
    private static final int DISCARD_FLOOD_BYTES = 2 << 20;
    private static final int MAX_FLOOD_CHECK_BYTES = 64 * 1024;
    private static final int DISCARD_BUFFER_BYTES = 8 * 1024;
    /** How many bytes behind a request are kept in any case; for more, memory has to be granted. */
    private static final int KEPT_BYTES = 8 * 1024;
    /**
     * For how long a client that has sent more than can be kept counts as present after it was last seen, in
     * microseconds. An attempt may begin up to 100 ms after its client has left.
     */
    private static final long SEEN_VALID_US = 80_000;

    /** Thrown to the reading thread once another thread owns the input. */
    static final class HandedOverException extends IOException {
        private static final long serialVersionUID = 1L;

        HandedOverException() {
            super("input was handed over to another thread");
        }
    }

    /** Who may read. */
    private enum Access {
        /** The reading thread alone, in blocking reads; it may also check. */
        READING_THREAD,
        /** Any thread may check; the socket is in non-blocking mode. */
        ANY_CHECKS,
        /** Nobody: the response is being written, for which the socket has to be in blocking mode. */
        NONE
    }

    private final Socket socket;
    private final SocketChannel channel;
    private final InputStream in;
    private final LongSupplier clock;
    private final BodyMemory memory;
    private final Thread readingThread = Thread.currentThread();
    private volatile long discardedBytes;
    private volatile boolean hasUnprocessedBytes;
    private volatile boolean isGone;
    /** The reading thread waits for bytes, and so notices the end of the stream at once. */
    private volatile boolean isAwaitingBytes;
    /** When the client was last known to be there, microseconds of the clock. */
    private volatile long seenAtUs;
    /** When a read last had to wait for its bytes, and for how long all such reads have waited, microseconds. */
    private volatile long lastWaitEndUs;
    private volatile long waitedUs;
    /** Since when a read waits, microseconds; 0: none does. */
    private volatile long waitStartUs;
    /** Guarded by this object's lock, as are the fields below. */
    private Access access = Access.READING_THREAD;
    private boolean isChecking;
    private boolean isHandedOver;
    private boolean readerHasLeft;
    /** Memory that was granted for input behind a request, bytes. */
    private int granted;

    /**
     * Created by the thread that reads the connection, once that is accepted; the socket belongs to a channel in
     * blocking mode. {@code clock} returns microseconds; {@code memory} grants what is kept behind a request.
     */
    ClientInput(Socket socket, LongSupplier clock, BodyMemory memory) throws IOException {
        this.socket = socket;
        this.clock = clock;
        this.memory = memory;
        seenAtUs = clock.getAsLong();
        channel = socket.getChannel();
        in = socket.getInputStream();
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xFF;
    }

    /** Blocks until there is input, unless called within a check: that returns 0 if there is none. */
    @Override
    public int read(byte[] into, int from, int length) throws IOException {
        try {
            int count = isChecking ? channel.read(ByteBuffer.wrap(into, from, length)) : awaitBytes(into, from, length);
            isGone |= count < 0;
            return count;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            isGone = true;
            throw e;
        }
    }

    /**
     * Reads one byte first. Until this thread has noted that it has input, the rest stays in the socket, where a thread
     * that wants to close an idle connection finds it.
     */
    private int awaitBytes(byte[] into, int from, int length) throws IOException {
        hasUnprocessedBytes = false;
        boolean waits = in.available() == 0;
        waitStartUs = waits ? clock.getAsLong() : 0;
        isAwaitingBytes = true;
        int count;
        try {
            count = in.read(into, from, Math.min(1, length));
        } finally {
            isAwaitingBytes = false;
        }
        hasUnprocessedBytes = count > 0;
        if (waits) {
            waitEnded(clock.getAsLong());
        }
        if (count > 0 && length > 1 && in.available() > 0) {
            count += Math.max(0, in.read(into, from + 1, length - 1));
        }
        return count;
    }

    private void waitEnded(long nowUs) {
        seenAtUs = nowUs;
        lastWaitEndUs = nowUs;
        waitedUs = waitedUs + nowUs - waitStartUs;
        waitStartUs = 0;
    }

    /**
     * Called by the reading thread once a request is complete: it does not read again before its response is written,
     * and any thread may check for the client until {@link #beginResponse}.
     */
    synchronized void requestComplete() throws IOException {
        if (access == Access.READING_THREAD) {
            channel.configureBlocking(false);
            access = Access.ANY_CHECKS;
        }
    }

    /** Called before a response is written: ends the checks, and returns once none is in progress. */
    synchronized void beginResponse() throws IOException {
        if (access == Access.ANY_CHECKS) {
            channel.configureBlocking(true);
        }
        access = Access.NONE;
    }

    /** Called when the response is written: the reading thread may read again. */
    synchronized void responseWritten() {
        access = Access.READING_THREAD;
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

    /** True if the end of the stream or a broken connection was seen. Any thread may call this. */
    boolean isGone() {
        return isGone;
    }

    /**
     * True if the client is still there; input that has arrived is discarded. For the thread that took over the input.
     */
    synchronized boolean isClientPresent() throws IOException {
        if (!readerHasLeft) {
            return !isGone;
        }
        socket.setSoTimeout(POLL_MS);
        try {
            return readArrived(null, true, MAX_CHECK_BYTES);
        } catch (SocketTimeoutException e) {
            return true;        // no more input and no end of the stream
        }
    }

    /** Returns how many bytes have arrived that were not read. */
    @Override
    public int available() throws IOException {
        return in.available();
    }

    /** True if bytes were read that the reading thread is about to process. Any thread may call this. */
    boolean hasUnprocessedBytes() {
        return hasUnprocessedBytes;
    }

    /** Returns when a read last had to wait for the client's bytes, microseconds; 0 for never. */
    long lastWaitEndUs() {
        return lastWaitEndUs;
    }

    /** Returns for how long reads have waited for the client's bytes so far, microseconds. */
    long waitedUs() {
        long sinceUs = waitStartUs;
        return waitedUs + (sinceUs == 0 ? 0 : clock.getAsLong() - sinceUs);
    }

    /** True if input was discarded, so that the start of the next request is unknown. Any thread may call this. */
    boolean hasDiscardedBytes() {
        return discardedBytes > 0;
    }

    /**
     * Reads what has arrived, within a limit, into the reader's buffer, to notice soon that the client has left. What
     * does not fit is discarded if {@code discardsOverflow}, else it stays unread, and so does anything after it.
     * Nothing is read while the response is written. For the reading thread.
     *
     * @throws EOFException at the end of the stream
     */
    synchronized void checkPresent(MessageReader reader, boolean discardsOverflow) throws IOException {
        if (isHandedOver) {
            throw new HandedOverException();
        }
        if (isGone || access != Access.NONE
                && !check(reader, discardsOverflow, discardedBytes < DISCARD_FLOOD_BYTES ? MAX_CHECK_BYTES
                : MAX_FLOOD_CHECK_BYTES)) {
            throw new EOFException("the client has left");
        }
    }

    /**
     * Finds out, without waiting, whether the client is still there, right before the first byte of an attempt. Any
     * thread may call this; other threads can't read while the reading thread reads the request. A client that has sent
     * more than can be kept is known to be there only for a moment after it was last seen.
     *
     * @return false if it is not known
     * @throws EOFException if the client has left
     */
    synchronized boolean confirmPresent(MessageReader reader, boolean discardsOverflow) throws IOException {
        boolean isReadingThread = Thread.currentThread() == readingThread;
        if (isReadingThread && isHandedOver) {
            throw new HandedOverException();
        }
        boolean mayCheck = access == Access.ANY_CHECKS || access == Access.READING_THREAD && isReadingThread;
        if (isGone || mayCheck && !check(reader, discardsOverflow, MAX_CHECK_BYTES)) {
            throw new EOFException("the client has left");
        }
        return access == Access.NONE || isAwaitingBytes || clock.getAsLong() - seenAtUs <= SEEN_VALID_US;
    }

    private boolean check(MessageReader reader, boolean discardsOverflow, int maxBytes) throws IOException {
        boolean wasBlocking = access == Access.READING_THREAD;
        isChecking = true;
        try {
            if (wasBlocking) {
                channel.configureBlocking(false);
            }
            return readArrived(reader, discardsOverflow, maxBytes);
        } finally {
            isChecking = false;
            hasUnprocessedBytes = reader.hasBufferedBytes();
            if (wasBlocking) {
                channel.configureBlocking(true);
            }
        }
    }

    /**
     * Reads what has arrived, about {@code maxBytes} at most; false at the end of the stream. Without a reader, all
     * input is discarded.
     */
    private boolean readArrived(MessageReader reader, boolean discardsOverflow, int maxBytes) throws IOException {
        byte[] discardBuffer = null;
        for (int total = 0, count; total < maxBytes; total += count) {
            if (reader != null && hasRoom(reader)) {
                count = reader.readAhead();
            } else if (discardsOverflow) {
                discardBuffer = discardBuffer == null ? new byte[DISCARD_BUFFER_BYTES] : discardBuffer;
                count = read(discardBuffer, 0, DISCARD_BUFFER_BYTES);
                discardedBytes += Math.max(0, count);
            } else {
                return true;
            }
            if (count <= 0) {
                seenAtUs = discardedBytes > 0 ? seenAtUs : clock.getAsLong();
                return count == 0;
            }
        }
        return true;
    }

    /** Returns whether more input may be kept: many clients that send much at once must not use up the heap. */
    private boolean hasRoom(MessageReader reader) {
        int kept = reader.bufferedBytes();
        if (kept >= KEPT_BYTES && granted == 0) {
            granted = memory.reserve(BodyMemory.MAX_GRANT);
        }
        return kept < KEPT_BYTES + granted && !reader.isBufferFull();
    }

    /** Gives back the memory of input that has been kept; called once it is consumed, or not needed any more. */
    synchronized void releaseKept() {
        memory.release(granted);
        granted = 0;
    }
}
