package dapplequay.net;

import dapplequay.lifecycle.ServiceLife;
import java.util.function.LongSupplier;

/** Whether this sidecar wants clients: the pure machine, with a clock and for many threads. */
final class SidecarLifecycle {
    /** After a drain the front asks within 0.1 s, and goes on sending for 0.2 s more. */
    private static final long FRONT_END_GRACE_US = 350_000;

    private final LongSupplier clock;
    private final ServiceLife life = new ServiceLife(FRONT_END_GRACE_US);

    SidecarLifecycle(LongSupplier clock) {
        this.clock = clock;
    }

    synchronized boolean isReadyForClients() {
        return life.wantsClients();
    }

    synchronized boolean isEmptying() {
        return life.empties(clock.getAsLong());
    }

    synchronized boolean isEnding() {
        return life.phase() == ServiceLife.Phase.ENDING;
    }

    synchronized void listening() {
        life.listening(clock.getAsLong());
    }

    synchronized void drain() {
        life.drain(clock.getAsLong());
    }

    synchronized boolean resume() {
        return life.resume();
    }

    synchronized void end(long graceUs) {
        life.end(clock.getAsLong(), graceUs);
    }

    synchronized void setOpenConnections(int connections) {
        life.holds(connections, clock.getAsLong());
    }
}
