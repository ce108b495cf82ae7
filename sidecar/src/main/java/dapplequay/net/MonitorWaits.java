package dapplequay.net;

import java.io.InterruptedIOException;
import java.util.function.BooleanSupplier;

/** Waits on a monitor, for callers that must not give up half-way, as that would leave a client without a response. */
final class MonitorWaits {
    private MonitorWaits() { }

    /** Waits while the condition is true. The caller holds the monitor; an interrupt is kept until the wait ends. */
    static void whileTrue(Object monitor, BooleanSupplier condition) {
        boolean interrupted = false;
        while (condition.getAsBoolean()) {
            try {
                monitor.wait();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits up to {@code ms} milliseconds, or less: the caller, who holds the monitor, checks its condition again. */
    static void atMost(Object monitor, long ms) throws InterruptedIOException {
        try {
            monitor.wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted in a wait");
        }
    }
}
