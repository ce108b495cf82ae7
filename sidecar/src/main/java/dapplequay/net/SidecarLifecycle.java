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
    private final ServiceLifecycle lifecycle = new ServiceLifecycle(FRONT_END_GRACE_US);

    SidecarLifecycle(LongSupplier clock) {
        this.clock = clock;
    }

    synchronized boolean isReadyForClients() {
        return lifecycle.acceptsClients();
    }

    synchronized boolean isEmptying() {
        return lifecycle.closesConnections(clock.getAsLong());
    }

    synchronized boolean isEnding() {
        return lifecycle.phase() == ServiceLifecycle.Phase.ENDING;
    }

    synchronized void listening() {
        lifecycle.listenerOpened(clock.getAsLong());
    }

    synchronized void drain() {
        lifecycle.drain(clock.getAsLong());
    }

    synchronized boolean resume() {
        return lifecycle.resume();
    }

    synchronized void end(long graceUs) {
        lifecycle.beginShutdown(clock.getAsLong(), graceUs);
    }

    synchronized void setOpenConnections(int connections) {
        lifecycle.updateConnectionCount(connections, clock.getAsLong());
    }
}
