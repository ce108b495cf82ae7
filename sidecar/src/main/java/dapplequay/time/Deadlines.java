package dapplequay.time;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** All deadlines of the process, sorted; the timekeeper sweeps those that have passed each turn. */
public final class Deadlines {
    private static final Logger LOG = Logger.getLogger(Deadlines.class.getName());

    private final LongSupplier clock;
    private final TreeSet<Deadline> sorted =
            new TreeSet<>(Comparator.comparingLong((Deadline d) -> d.atUs).thenComparingLong(d -> d.number));
    private long numbers;

    /** One entry. What it does must not block: it closes something or opens something's eyes. */
    public static final class Deadline {
        private final long atUs;
        private final long number;
        private final Runnable passed;

        private Deadline(long atUs, long number, Runnable passed) {
            this.atUs = atUs;
            this.number = number;
            this.passed = passed;
        }
    }

    public Deadlines(LongSupplier clock) {
        this.clock = clock;
    }

    public long now() {
        return clock.getAsLong();
    }

    public synchronized Deadline after(long delayUs, Runnable passed) {
        Deadline deadline = new Deadline(now() + delayUs, numbers++, passed);
        sorted.add(deadline);
        if (sorted.first() == deadline) {
            notifyAll();
        }
        return deadline;
    }

    public synchronized void cancel(Deadline deadline) {
        if (deadline != null) {
            sorted.remove(deadline);
        }
    }

    /** Waits until the first deadline passes, but no longer than this; how much later it came back, or less than 0. */
    public synchronized long await(long longestUs) throws InterruptedException {
        long sinceUs = now();
        long waitUs = longestUs;
        if (!sorted.isEmpty()) {
            waitUs = Math.min(waitUs, sorted.first().atUs - now());
        }
        if (waitUs > 0) {
            wait(waitUs / 1000, (int) (waitUs % 1000) * 1000);
        }
        return now() - sinceUs - Math.max(0, waitUs);
    }

    /** Carries out all that have passed, outside the lock; one that fails does not keep the others. */
    public void sweep() {
        List<Deadline> due = new ArrayList<>();
        synchronized (this) {
            long now = now();
            while (!sorted.isEmpty() && sorted.first().atUs <= now) {
                due.add(sorted.pollFirst());
            }
        }
        for (Deadline deadline : due) {
            try {
                deadline.passed.run();
            } catch (RuntimeException | OutOfMemoryError e) {
                LOG.log(Level.SEVERE, "a deadline could not be carried out", e);
            }
        }
    }
}
