package dapplequay.net;

import dapplequay.http.Body;
import java.io.InterruptedIOException;

/**
 * Decides how long one transfer of a long body pauses between its pieces. After a small piece it pauses so that more
 * bytes accumulate: each piece costs two system calls and a thread switch, whatever its size, and a body in
 * packet-sized pieces takes three times the processor time. A fast sender has filled the socket's buffer long before
 * the longest pause is over, and would be held up, so that the pause adapts to it. If short requests wait for the
 * processor, a long body gives way, and pauses in any case. Used by one thread.
 */
final class PiecePacer {
    /** The longest pause after a small piece; far less than the second that a peer would notice. */
    private static final long MAX_ACCUMULATE_MS = 70;
    private static final long MIN_ACCUMULATE_MS = 5;
    /** A read that fills less than this part of the array is a small piece. */
    private static final double SMALL_PIECE_SHARE = 0.75;
    /** The same for a chunked body, of which at most half as much arrives at once. */
    private static final double SMALL_CHUNKED_PIECE_SHARE = 0.25;

    private final int capacity;
    private final int smallBytes;
    private long accumulateMs = MAX_ACCUMULATE_MS;
    private boolean hasPaused;

    /** {@code capacity}: bytes that a piece can have. */
    PiecePacer(int capacity, Body.Framing framing) {
        this.capacity = capacity;
        smallBytes = (int) (capacity
                * (framing == Body.Framing.CHUNKED ? SMALL_CHUNKED_PIECE_SHARE : SMALL_PIECE_SHARE));
    }

    /**
     * Returns how long to pause after a piece of {@code readBytes}, in milliseconds; 0 for no pause.
     *
     * @param minPauseMs the pause for each {@link BodyBuffers#PIECE_BYTES} in favour of short requests
     */
    long pauseMs(int readBytes, Body body, long minPauseMs) {
        if (body.isComplete()) {
            return 0;
        }
        boolean isSmall = readBytes < smallBytes;
        if (hasPaused) {
            accumulateMs = isSmall ? Math.min(MAX_ACCUMULATE_MS, 2 * accumulateMs)
                    : Math.max(MIN_ACCUMULATE_MS, accumulateMs / 2);
        }
        hasPaused = isSmall && !body.hasFewerLeftThan(smallBytes);
        return Math.max(hasPaused ? accumulateMs : 0, minPauseMs * capacity / BodyBuffers.PIECE_BYTES);
    }

    /** Pauses for this time, in milliseconds; 0 for not at all. */
    static void pause(long pauseMs) throws InterruptedIOException {
        if (pauseMs <= 0) {
            return;
        }
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted within a body");
        }
    }
}
