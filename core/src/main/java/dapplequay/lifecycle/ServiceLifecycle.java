package dapplequay.lifecycle;

/**
 * A state machine of whether a sidecar accepts clients. A drain can be undone, a shutdown can not. Both work alike:
 * during a grace period only the reported readiness changes, as clients and the load balancer in front of the sidecar
 * keep sending for a while; after it, connections are closed. Times are microseconds and must not decrease.
 */
public final class ServiceLifecycle {
    /** The phases of a sidecar. */
    public enum Phase {
        /** Does not accept clients yet. */
        STARTING,
        /** Accepts clients. */
        SERVING,
        /** Answers requests, then closes their connections. */
        DRAINING,
        /** Draining, and no client is connected now. */
        DRAINED,
        /** Closes its connections and will exit. */
        ENDING
    }

    /** A time that is never reached. */
    public static final long NEVER = Long.MAX_VALUE;

    private final long drainGraceUs;
    private Phase phase = Phase.STARTING;
    private boolean drainRequested;
    private long closeConnectionsFromUs = NEVER;

    /** Creates a lifecycle; {@code drainGraceUs} is how long clients are still sent here after a drain, 0 or more. */
    public ServiceLifecycle(long drainGraceUs) {
        this.drainGraceUs = requireNotNegative(drainGraceUs);
    }

    private static long requireNotNegative(long graceUs) {
        if (graceUs < 0) {
            throw new IllegalArgumentException("the grace period is negative: " + graceUs);
        }
        return graceUs;
    }

    public Phase phase() {
        return phase;
    }

    /** Returns whether a load balancer in front should send clients here. */
    public boolean acceptsClients() {
        return phase == Phase.SERVING;
    }

    /** Returns whether connections are closed: each one after its next answer, idle ones at once. */
    public boolean closesConnections(long nowUs) {
        return nowUs >= closeConnectionsFromUs;
    }

    /** Records that the listener is open. A drain that was ordered before begins now. */
    public void listenerOpened(long nowUs) {
        if (phase == Phase.STARTING) {
            phase = Phase.SERVING;
            if (drainRequested) {
                drain(nowUs);
            }
        }
    }

    /** Begins a drain. A repeated order changes nothing; during a shutdown it may bring the closing forward. */
    public void drain(long nowUs) {
        drainRequested = true;
        if (phase != Phase.STARTING) {
            phase = phase == Phase.SERVING ? Phase.DRAINING : phase;
            closeConnectionsFromUs = Math.min(closeConnectionsFromUs, nowUs + drainGraceUs);
        }
    }

    /** Undoes a drain; returns false and changes nothing during a shutdown. */
    public boolean resume() {
        if (phase == Phase.ENDING) {
            return false;
        }
        drainRequested = false;
        if (phase == Phase.DRAINING || phase == Phase.DRAINED) {
            phase = Phase.SERVING;
            closeConnectionsFromUs = NEVER;
        }
        return true;
    }

    /**
     * Begins a shutdown, with clients arriving for {@code graceUs}, 0 or more. A drain in progress goes on: its grace
     * period does not become longer.
     */
    public void beginShutdown(long nowUs, long graceUs) {
        phase = Phase.ENDING;
        closeConnectionsFromUs = Math.min(closeConnectionsFromUs, nowUs + requireNotNegative(graceUs));
    }

    /** Updates the number of client connections. */
    public void updateConnectionCount(int connections, long nowUs) {
        if (phase == Phase.DRAINING && connections == 0 && closesConnections(nowUs)) {
            phase = Phase.DRAINED;
        } else if (phase == Phase.DRAINED && connections > 0) {
            phase = Phase.DRAINING;
        }
    }
}
