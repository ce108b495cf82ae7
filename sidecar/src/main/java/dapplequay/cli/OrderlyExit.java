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
    private static final long RETRY_PAUSE_MS = 20;

    /** A part of the ending; begun again, it goes on where it was. */
    interface Step {
        void run() throws InterruptedException;
    }

    private final LongSupplier timeLimitMs;
    private final List<Step> steps;

    /** {@code mostMs}: how long it may all take, asked for when it begins. */
    OrderlyExit(LongSupplier timeLimitMs, List<Step> steps) {
        this.timeLimitMs = timeLimitMs;
        this.steps = steps;
    }

    @Override
    public void run() {
        long deadlineNs = System.nanoTime() + timeLimitMs.getAsLong() * 1_000_000;
        try {
            Thread worker = new Thread(() -> runSteps(deadlineNs), "ending in order");
            worker.setDaemon(true);
            try {
                worker.start();
            } catch (OutOfMemoryError e) {
                runSteps(deadlineNs);             // no thread to be had: better without the bound than not at all
                return;
            }
            worker.join(Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000));
            if (worker.isAlive()) {
                LOG.severe("the ending took too long, and is cut short");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runSteps(long deadlineNs) {
        try {
            for (Step step : steps) {
                boolean isDone = runStep(step, true);
                while (!isDone && System.nanoTime() < deadlineNs) {
                    Thread.sleep(RETRY_PAUSE_MS);
                    isDone = runStep(step, false);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean runStep(Step step, boolean logsFailure) throws InterruptedException {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            logFailure(e, logsFailure);
            return false;
        }
    }

    private static void logFailure(Throwable failure, boolean logsFailure) {
        try {
            if (logsFailure) {
                LOG.log(Level.SEVERE, "a step of the ending failed", failure);
            }
        } catch (RuntimeException | Error e) {
            // Nothing can be told where memory is short; the step is begun again all the same.
        }
    }
}
