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

    /** Limits the time without progress: each piece that was read or written starts the wait anew. */
    static final class StallTimeout implements LongSupplier {
        private final DeadlineQueue deadlines;
        private final long timeoutUs;
        private volatile long lastProgressUs;

        /** {@code timeoutUs} is the longest time without progress, microseconds. */
        StallTimeout(DeadlineQueue deadlines, long timeoutUs) {
            this.deadlines = deadlines;
            this.timeoutUs = timeoutUs;
            progressed();
        }

        void progressed() {
            lastProgressUs = deadlines.now();
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
