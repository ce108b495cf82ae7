package dapplequay.net;

import dapplequay.time.Deadlines;
import java.util.function.LongSupplier;

/**
 * Watches something that may take long as a whole but not stand still. One deadline for all of it, set again only when
 * it passes: a long body moves in thousands of pieces, and each may be a single byte.
 */
final class ProgressWatchdog implements AutoCloseable {
    private final Deadlines deadlines;
    private final LongSupplier remainingUs;
    private final Runnable onExpired;
    private Deadlines.Deadline timer;
    private boolean closed;

    /** {@code leftUs}: how long it may go on as it stands, microseconds; with 0 or less, {@code cut} is called. */
    ProgressWatchdog(Deadlines deadlines, LongSupplier remainingUs, Runnable onExpired) {
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
                timer = deadlines.after(left, this::check);
            }
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        deadlines.cancel(timer);
    }

    /** Transfers: each piece that moved, on either side, makes the wait for the next one begin anew. */
    static final class StallTimeout implements LongSupplier {
        private final Deadlines deadlines;
        private final long timeoutUs;
        private volatile long lastProgressUs;

        /** {@code mostUs}: how long nothing may move. */
        StallTimeout(Deadlines deadlines, long timeoutUs) {
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
     * A sender that has to keep up a pace: it may be waited for so long, and as long as what it sent takes at that
     * pace. Only time in which somebody waits for it counts. One thread waits; another looks.
     */
    static final class MinimumRate implements LongSupplier {
        private final Deadlines deadlines;
        private final long allowanceUs;
        private final long bytesPerS;
        private volatile long waitingSinceUs = -1;
        private volatile long waitedUs;
        private volatile long receivedBytes;

        MinimumRate(Deadlines deadlines, long allowanceUs, long bytesPerS) {
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

        /** The wait is over, and brought so many bytes. */
        void waitEnded(int newBytes) {
            waitedUs += deadlines.now() - waitingSinceUs;
            waitingSinceUs = -1;
            receivedBytes += newBytes;
        }

        @Override
        public long getAsLong() {
            long since = waitingSinceUs;
            return allowanceUs + receivedBytes * 1_000_000 / bytesPerS - waitedUs - (since < 0 ? 0 : deadlines.now() - since);
        }
    }
}
