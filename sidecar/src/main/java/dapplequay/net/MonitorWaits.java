package dapplequay.net;

import java.io.InterruptedIOException;
import java.util.function.BooleanSupplier;

/** Waiting on a monitor where giving up half-way would leave somebody without an answer. */
final class MonitorWaits {
    private MonitorWaits() { }

    /** The caller holds the monitor; an interrupt is kept for later. */
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

    /** For so many ms, or less; the caller holds the monitor, and asks again what it waits for. */
    static void atMost(Object monitor, long ms) throws InterruptedIOException {
        try {
            monitor.wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted in a wait");
        }
    }
}
