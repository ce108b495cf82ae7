package dapplequay.net;

import dapplequay.lifecycle.ServiceLife;
import java.util.function.LongSupplier;

/** The life cycle of this sidecar: {@link ServiceLife} with a clock, safe for use by several threads. */
final class SidecarLifecycle {
    /**
     * How long clients may still be sent here after a drain, in microseconds: the front end asks for health within 0.1
     * s and goes on sending for 0.2 s more.
     */
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
