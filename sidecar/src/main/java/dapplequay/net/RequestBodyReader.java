package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.util.Arrays;

/** Reads the request bodies of one client connection, one after the other, and enforces a minimum rate. */
final class RequestBodyReader {
    /** Bytes kept of a body known to be long, so that another attempt can start if a host can't be reached. */
    private static final int REPLAYABLE_BYTES = 8 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 2 * 1024;
    /** Time allowed for a body in addition to its length at the minimum rate; only time spent waiting counts. */
    private static final long BASE_ALLOWANCE_US = 1_500_000;
    private static final long MIN_BYTES_PER_S = 48_000;

    private final DeadlineQueue deadlines;
    private final BodyMemory memory;
    private final Runnable onTooSlow;
    private int reserved;
    private boolean wasMemoryShort;
    private volatile ProgressWatchdog.MinimumRate rate;
    private ProgressWatchdog watchdog;

    /** {@code onTooSlow} is called once the client has fallen behind the minimum rate. */
    RequestBodyReader(DeadlineQueue deadlines, BodyMemory memory, Runnable onTooSlow) {
        this.deadlines = deadlines;
        this.memory = memory;
        this.onTooSlow = onTooSlow;
    }

    /**
     * Reads all of a short body, or the part of a long one that is kept for another attempt. A body for which memory is
     * short counts as long. The buffer grows as the body arrives. The bytes have to be given up by {@link #release}.
     */
    byte[] readReplayable(Body body) throws IOException {
        wasMemoryShort = false;
        int maxBytes = body.length() < 0 ? BodyMemory.MIN_GRANT : reserveKnownLength(body.length());
        byte[] buffer = new byte[Math.min(maxBytes, INITIAL_BUFFER_BYTES)];
        int size = 0;
        while (!body.isComplete()) {
            if (size == maxBytes && body.length() < 0 && reserved == 0) {
                reserved = memory.reserve(MessageReader.SHORT_BODY_BYTES);
                maxBytes = reserved;
                wasMemoryShort = reserved < MessageReader.SHORT_BODY_BYTES;
            }
            if (size == maxBytes) {
                break;
            }
            if (size == buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.min(maxBytes, 2 * size));
            }
            size += Math.max(0, read(body, buffer, size, buffer.length - size));
        }
        return size == buffer.length ? buffer : Arrays.copyOf(buffer, size);
    }

    /** Reserves memory for a body of this length; returns how much of it is kept. */
    private int reserveKnownLength(long length) {
        if (length <= BodyMemory.MIN_GRANT) {
            return (int) length;
        }
        if (length <= MessageReader.SHORT_BODY_BYTES) {
            reserved = memory.reserve((int) length);
            if (reserved == length) {
                return reserved;
            }
            release();
            wasMemoryShort = true;
        }
        return REPLAYABLE_BYTES;
    }

    /** Returns whether the last body was granted less memory than it asked for. */
    boolean wasMemoryShort() {
        return wasMemoryShort;
    }

    /** Gives back the memory of the last request, which is answered; may be called again without one. */
    void release() {
        memory.release(reserved);
        reserved = 0;
    }

    /** Reads up to {@code maxBytes} of the next bytes, as {@link Body#read} does. */
    int read(Body body, byte[] to, int offset, int maxBytes) throws IOException {
        if (body.isFullyBuffered()) {
            return body.read(to, offset, maxBytes);
        }
        if (rate == null) {
            rate = new ProgressWatchdog.MinimumRate(deadlines, BASE_ALLOWANCE_US, MIN_BYTES_PER_S);
            watchdog = new ProgressWatchdog(deadlines, rate, onTooSlow);
        }
        rate.waitStarted();
        int read = body.read(to, offset, maxBytes);
        rate.waitEnded(Math.max(0, read));
        return read;
    }

    /** Returns whether a thread waits for the client's next bytes; may be called by any thread. */
    boolean isWaiting() {
        ProgressWatchdog.MinimumRate current = rate;
        return current != null && current.isWaiting();
    }

    /** Stops the watchdog: the body has ended, or is not read any further. */
    void finish() {
        if (rate != null) {
            watchdog.close();
            rate = null;
        }
    }
}
