package dapplequay.cli;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What SIGTERM sets off, as the last of the process's threads that matters: once this returns the process is gone.
 * The steps are carried out by a thread of their own, so that one that stands still (a disk, a client that takes
 * nothing) does not keep the process past its time; one that fails is begun again while there is time, as those who
 * are still served would be cut off by an exit.
 */
final class OrderlyExit implements Runnable {
    private static final Logger LOG = Logger.getLogger(OrderlyExit.class.getName());
    private static final long PAUSE_MS = 20;

    /** A part of the ending; begun again, it goes on where it was. */
    interface Step {
        void run() throws InterruptedException;
    }

    private final LongSupplier mostMs;
    private final List<Step> steps;

    /** {@code mostMs}: how long it may all take, asked for when it begins. */
    OrderlyExit(LongSupplier mostMs, List<Step> steps) {
        this.mostMs = mostMs;
        this.steps = steps;
    }

    @Override
    public void run() {
        long until = System.nanoTime() + mostMs.getAsLong() * 1_000_000;
        try {
            Thread work = new Thread(() -> takeAll(until), "ending in order");
            work.setDaemon(true);
            try {
                work.start();
            } catch (OutOfMemoryError e) {
                takeAll(until);             // no thread to be had: better without the bound than not at all
                return;
            }
            work.join(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            if (work.isAlive()) {
                LOG.severe("the ending took too long, and is cut short");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void takeAll(long until) {
        try {
            for (Step step : steps) {
                boolean isTaken = isTaken(step, true);
                while (!isTaken && System.nanoTime() < until) {
                    Thread.sleep(PAUSE_MS);
                    isTaken = isTaken(step, false);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isTaken(Step step, boolean tells) throws InterruptedException {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            tell(e, tells);
            return false;
        }
    }

    private static void tell(Throwable fault, boolean tells) {
        try {
            if (tells) {
                LOG.log(Level.SEVERE, "a step of the ending failed", fault);
            }
        } catch (RuntimeException | Error e) {
            // Nothing can be told where memory is short; the step is begun again all the same.
        }
    }
}
