package dapplequay.net;

import java.util.function.BooleanSupplier;

/** Waiting on a monitor where giving up half-way would leave somebody without an answer. */
final class Waits {
    private Waits() { }

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
}
