package dapplequay.net;

import dapplequay.lifecycle.ServiceLifecycle;
import java.util.function.LongSupplier;

/** The life cycle of this sidecar: {@link ServiceLifecycle} with a clock, safe for use by several threads. */
final class SidecarLifecycle {
    /**
     * How long clients may still be sent here after a drain, in microseconds: the front end asks for health within 0.1
     * s and goes on sending for 0.2 s more.
     */
    private static final long FRONT_END_GRACE_US = 350_000;

    private final LongSupplier clock;
    private final ServiceLifecycle life = new ServiceLifecycle(FRONT_END_GRACE_US);

    SidecarLifecycle(LongSupplier clock) {
        this.clock = clock;
    }

    synchronized boolean isReadyForClients() {
        return life.acceptsClients();
    }

    synchronized boolean isEmptying() {
        return life.closesConnections(clock.getAsLong());
    }

    synchronized boolean isEnding() {
        return life.phase() == ServiceLifecycle.Phase.ENDING;
    }

    synchronized void listening() {
        life.listenerOpened(clock.getAsLong());
    }

    synchronized void drain() {
        life.drain(clock.getAsLong());
    }

    synchronized boolean resume() {
        return life.resume();
    }

    synchronized void end(long graceUs) {
        life.beginShutdown(clock.getAsLong(), graceUs);
    }

    synchronized void setOpenConnections(int connections) {
        life.updateConnectionCount(connections, clock.getAsLong());
    }
}
