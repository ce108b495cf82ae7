package dapplequay.net;

import dapplequay.time.DeadlineQueue;
import java.util.function.LongSupplier;

/**
 * Watches a transfer that may take long as a whole but must not stall. Its timer is set again only when it fires, and
 * not for each piece: a long body arrives in thousands of pieces, and each may be a single byte.
 */
final class ProgressWatchdog implements AutoCloseable {
    private final DeadlineQueue deadlines;
    private final LongSupplier remainingUs;
    private final Runnable onExpired;
    private DeadlineQueue.Deadline timer;
    private boolean closed;

    /**
     * @param remainingUs how long the transfer may still go on without progress, microseconds
     * @param onExpired   called once {@code remainingUs} is 0 or less
     */
    ProgressWatchdog(DeadlineQueue deadlines, LongSupplier remainingUs, Runnable onExpired) {
        this.deadlines = deadlines;
        this.remainingUs = remainingUs;
        this.onExpired = onExpired;
        check();
    }

    private void check() {
        long left = remainingUs.getAsLong();
        if (left <= 0) {
            onExpired.run();
            return;
        }
        synchronized (this) {
            if (!closed) {
                timer = deadlines.schedule(left, this::check);
            }
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        deadlines.cancel(timer);
    }

    /**
     * Limits the time without progress: each piece that was read or written starts the wait anew. A peer that reads
     * steadily shows progress only in steps of what its system announces at once, so a peer that has come back from a
     * long pause is given twice as long the next time. One thread reports progress; any may call {@link #getAsLong}.
     */
    static final class StallTimeout implements LongSupplier {
        /** The first wait: a peer takes seconds for one piece, and its progress may only show after several. */
        private static final long PEER_TIMEOUT_US = 20_000_000;
        private static final long PAUSE_FACTOR = 2;
        /** The longest wait, as a multiple of the first one. */
        private static final long MAX_GROWTH = 3;

        private final DeadlineQueue deadlines;
        private final long maxTimeoutUs;
        private volatile long timeoutUs;
        private volatile long lastProgressUs;

        /** Limits a transfer to a peer of which it is not known how slowly it reads. */
        StallTimeout(DeadlineQueue deadlines) {
            this(deadlines, PEER_TIMEOUT_US);
        }

        /** {@code timeoutUs} is the longest time without progress at first, microseconds. */
        StallTimeout(DeadlineQueue deadlines, long timeoutUs) {
            this.deadlines = deadlines;
            this.timeoutUs = timeoutUs;
            maxTimeoutUs = MAX_GROWTH * timeoutUs;
            lastProgressUs = deadlines.now();
        }

        void progressed() {
            long nowUs = deadlines.now();
            long pauseUs = nowUs - lastProgressUs;
            timeoutUs = Math.max(timeoutUs, Math.min(maxTimeoutUs, PAUSE_FACTOR * pauseUs));
            lastProgressUs = nowUs;
        }

        @Override
        public long getAsLong() {
            return lastProgressUs + timeoutUs - deadlines.now();
        }
    }

    /**
     * Limits the total time spent waiting for a sender: to a fixed allowance plus the time that the bytes received so
     * far take at the minimum rate. Only time in which a thread waits counts. One thread waits; another calls
     * {@link #getAsLong}.
     */
    static final class MinimumRate implements LongSupplier {
        private final DeadlineQueue deadlines;
        private final long allowanceUs;
        private final long bytesPerS;
        private volatile long waitingSinceUs = -1;
        private volatile long waitedUs;
        private volatile long receivedBytes;

        MinimumRate(DeadlineQueue deadlines, long allowanceUs, long bytesPerS) {
            this.deadlines = deadlines;
            this.allowanceUs = allowanceUs;
            this.bytesPerS = bytesPerS;
        }

        void waitStarted() {
            waitingSinceUs = deadlines.now();
        }

        boolean isWaiting() {
            return waitingSinceUs >= 0;
        }

        /** Called when the wait has ended and {@code newBytes} were received. */
        void waitEnded(int newBytes) {
            waitedUs += deadlines.now() - waitingSinceUs;
            waitingSinceUs = -1;
            receivedBytes += newBytes;
        }

        @Override
        public long getAsLong() {
            long since = waitingSinceUs;
            return allowanceUs + receivedBytes * 1_000_000 / bytesPerS - waitedUs
                    - (since < 0 ? 0 : deadlines.now() - since);
        }
    }
}
