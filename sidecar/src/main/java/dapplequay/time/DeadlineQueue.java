package dapplequay.time;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The process's pending timeouts in order of expiry. One thread waits for the next and runs those that have expired.
 * Thread-safe; times are in microseconds of the given clock.
 */
public final class DeadlineQueue {
    private static final Logger LOG = Logger.getLogger(DeadlineQueue.class.getName());

    private final LongSupplier clock;
    private final TreeSet<Deadline> pending =
            new TreeSet<>(Comparator.comparingLong((Deadline d) -> d.dueUs).thenComparingLong(d -> d.sequence));
    private long nextSequence;

    /** A scheduled action. It must not block: it closes a resource or wakes a thread. */
    public static final class Deadline {
        private final long dueUs;
        private final long sequence;
        private final Runnable action;

        private Deadline(long dueUs, long sequence, Runnable action) {
            this.dueUs = dueUs;
            this.sequence = sequence;
            this.action = action;
        }
    }

    public DeadlineQueue(LongSupplier clock) {
        this.clock = clock;
    }

    /** Returns the time of the clock in microseconds. */
    public long now() {
        return clock.getAsLong();
    }

    /** Schedules an action; the returned handle cancels it. */
    public synchronized Deadline schedule(long delayUs, Runnable action) {
        Deadline deadline = new Deadline(now() + delayUs, nextSequence++, action);
        pending.add(deadline);
        if (pending.first() == deadline) {
            notifyAll();
        }
        return deadline;
    }

    /** Cancels a deadline; null and one that has expired are ignored. */
    public synchronized void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /**
     * Waits until the first deadline expires, but at most {@code maxWaitUs}. Returns how many microseconds after
     * that it woke up; negative if it was woken early.
     */
    public synchronized long awaitNext(long maxWaitUs) throws InterruptedException {
        long startUs = now();
        long waitUs = maxWaitUs;
        if (!pending.isEmpty()) {
            waitUs = Math.min(waitUs, pending.first().dueUs - now());
        }
        if (waitUs > 0) {
            wait(waitUs / 1000, (int) (waitUs % 1000) * 1000);
        }
        return now() - startUs - Math.max(0, waitUs);
    }

    /** Runs the actions of all expired deadlines, outside the lock. A failing action does not stop the others. */
    public void runExpired() {
        List<Deadline> expired = new ArrayList<>();
        synchronized (this) {
            long now = now();
            while (!pending.isEmpty() && pending.first().dueUs <= now) {
                expired.add(pending.pollFirst());
            }
        }
        for (Deadline deadline : expired) {
            try {
                deadline.action.run();
            } catch (RuntimeException | OutOfMemoryError e) {
                LOG.log(Level.SEVERE, "the action of a deadline failed", e);
            }
        }
    }
}
