package dapplequay.time;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** All deadlines of the process, sorted; the timekeeper sweeps those that have passed each turn. */
public final class DeadlineQueue {
    private static final Logger LOG = Logger.getLogger(DeadlineQueue.class.getName());

    private final LongSupplier clock;
    private final TreeSet<Deadline> pending =
            new TreeSet<>(Comparator.comparingLong((Deadline d) -> d.dueUs).thenComparingLong(d -> d.sequence));
    private long nextSequence;

    /** One entry. What it does must not block: it closes something or opens something's eyes. */
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

    public long now() {
        return clock.getAsLong();
    }

    public synchronized Deadline schedule(long delayUs, Runnable action) {
        Deadline deadline = new Deadline(now() + delayUs, nextSequence++, action);
        pending.add(deadline);
        if (pending.first() == deadline) {
            notifyAll();
        }
        return deadline;
    }

    public synchronized void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /** Waits until the first deadline passes, but no longer than this; how much later it came back, or less than 0. */
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

    /** Carries out all that have passed, outside the lock; one that fails does not keep the others. */
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
                LOG.log(Level.SEVERE, "a deadline could not be carried out", e);
            }
        }
    }
}
