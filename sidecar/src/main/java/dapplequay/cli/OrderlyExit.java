package dapplequay.cli;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The shutdown sequence, run as a shutdown hook at SIGTERM: the process exits once it returns. The steps run on a
 * separate thread, so that a step that blocks (on a disk, or a client that does not read) can't delay the exit past the
 * time limit. A step that fails is retried within that limit, as an exit would cut off the clients still being served.
 * If the whole process was stalled until after the limit, the steps get a moment more.
 */
final class OrderlyExit implements Runnable {
    private static final Logger LOG = Logger.getLogger(OrderlyExit.class.getName());
    private static final long RETRY_PAUSE_MS = 20;
    /** A wait that ends this long after its time limit was stalled, in nanoseconds, and so were the steps. */
    private static final long STALL_NS = 10_000_000;
    /** How long the steps may still take after a stall, in milliseconds. */
    private static final long AFTER_STALL_MS = 40;

    /** A step of the shutdown. Run again after a failure, it continues where it stopped. */
    interface Step {
        void run() throws InterruptedException;
    }

    private final LongSupplier timeLimitMs;
    private final List<Step> steps;
    private final LongSupplier clockNs;

    /** {@code timeLimitMs} returns the time limit for all steps; it is called when the shutdown begins. */
    OrderlyExit(LongSupplier timeLimitMs, List<Step> steps) {
        this(timeLimitMs, steps, System::nanoTime);
    }

    /** {@code clockNs} returns the elapsed time, in nanoseconds. */
    OrderlyExit(LongSupplier timeLimitMs, List<Step> steps, LongSupplier clockNs) {
        this.timeLimitMs = timeLimitMs;
        this.steps = steps;
        this.clockNs = clockNs;
    }

    @Override
    public void run() {
        long deadlineNs = clockNs.getAsLong() + timeLimitMs.getAsLong() * 1_000_000;
        try {
            Thread worker = new Thread(() -> runSteps(deadlineNs), "ending in order");
            worker.setDaemon(true);
            try {
                worker.start();
            } catch (OutOfMemoryError e) {
                runSteps(deadlineNs);             // no thread available: better without the limit than not at all
                return;
            }
            worker.join(Math.max(1, (deadlineNs - clockNs.getAsLong()) / 1_000_000));
            if (clockNs.getAsLong() - deadlineNs > STALL_NS) {
                worker.join(AFTER_STALL_MS);
            }
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
                while (!isDone && clockNs.getAsLong() < deadlineNs) {
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
            // Logging can fail when memory is short; the step is retried all the same.
        }
    }
}
