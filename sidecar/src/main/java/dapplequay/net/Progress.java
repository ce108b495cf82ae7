package dapplequay.net;

import dapplequay.time.DeadlineQueue;
import java.util.function.LongSupplier;

/**
 * Watches something that may take long as a whole but not stand still. One deadline for all of it, set again only when
 * it passes: a long body moves in thousands of pieces, and each may be a single byte.
 */
final class Progress implements AutoCloseable {
    private final DeadlineQueue deadlines;
    private final LongSupplier leftUs;
    private final Runnable cut;
    private DeadlineQueue.Deadline next;
    private boolean closed;

    /** {@code leftUs}: how long it may go on as it stands, microseconds; with 0 or less, {@code cut} is called. */
    Progress(DeadlineQueue deadlines, LongSupplier leftUs, Runnable cut) {
        this.deadlines = deadlines;
        this.leftUs = leftUs;
        this.cut = cut;
        look();
    }

    private void look() {
        long left = leftUs.getAsLong();
        if (left <= 0) {
            cut.run();
            return;
        }
        synchronized (this) {
            if (!closed) {
                next = deadlines.schedule(left, this::look);
            }
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        deadlines.cancel(next);
    }

    /** Transfers: each piece that moved, on either side, makes the wait for the next one begin anew. */
    static final class Moves implements LongSupplier {
        private final DeadlineQueue deadlines;
        private final long mostUs;
        private volatile long movedUs;

        /** {@code mostUs}: how long nothing may move. */
        Moves(DeadlineQueue deadlines, long mostUs) {
            this.deadlines = deadlines;
            this.mostUs = mostUs;
            moved();
        }

        void moved() {
            movedUs = deadlines.now();
        }

        @Override
        public long getAsLong() {
            return movedUs + mostUs - deadlines.now();
        }
    }

    /**
     * A sender that has to keep up a pace: it may be waited for so long, and as long as what it sent takes at that
     * pace. Only time in which somebody waits for it counts. One thread waits; another looks.
     */
    static final class Pace implements LongSupplier {
        private final DeadlineQueue deadlines;
        private final long startUs;
        private final long bytesPerS;
        private volatile long sinceUs = -1;
        private volatile long waitedUs;
        private volatile long bytes;

        Pace(DeadlineQueue deadlines, long startUs, long bytesPerS) {
            this.deadlines = deadlines;
            this.startUs = startUs;
            this.bytesPerS = bytesPerS;
        }

        void waiting() {
            sinceUs = deadlines.now();
        }

        boolean isWaiting() {
            return sinceUs >= 0;
        }

        /** The wait is over, and brought so many bytes. */
        void came(int more) {
            waitedUs += deadlines.now() - sinceUs;
            sinceUs = -1;
            bytes += more;
        }

        @Override
        public long getAsLong() {
            long since = sinceUs;
            return startUs + bytes * 1_000_000 / bytesPerS - waitedUs - (since < 0 ? 0 : deadlines.now() - since);
        }
    }
}
