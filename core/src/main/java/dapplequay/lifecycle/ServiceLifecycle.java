package dapplequay.lifecycle;

/**
 * Whether one sidecar wants clients, as a pure state machine. A drain can be taken back, an ending can not; both
 * empty the sidecar in the same way: for a grace nothing changes but what it says of itself, as clients and the front
 * go on for a while, and from then on its connections are to go. Times are microseconds and may not run backwards.
 */
public final class ServiceLifecycle {
    /** Where the sidecar stands. */
    public enum Phase {
        /** Takes no clients yet. */
        STARTING,
        /** Takes clients. */
        SERVING,
        /** Serves what comes and sends it away after. */
        DRAINING,
        /** The same, and holds no client's connection at the moment. */
        DRAINED,
        /** Sends away what it has, and will exit. */
        ENDING
    }

    /** What there is no time for. */
    public static final long NEVER = Long.MAX_VALUE;

    private final long drainGraceUs;
    private Phase phase = Phase.STARTING;
    private boolean drainRequested;
    private long closeConnectionsFromUs = NEVER;

    /** {@code drainGraceUs}: how long the front goes on sending after a drain, microseconds, 0 or more. */
    public ServiceLifecycle(long drainGraceUs) {
        this.drainGraceUs = requireNotNegative(drainGraceUs);
    }

    private static long requireNotNegative(long graceUs) {
        if (graceUs < 0) {
            throw new IllegalArgumentException("a grace is negative: " + graceUs);
        }
        return graceUs;
    }

    public Phase phase() {
        return phase;
    }

    /** Whether a front should send clients here. */
    public boolean acceptsClients() {
        return phase == Phase.SERVING;
    }

    /** Whether connections are to go: each answer is its connection's last, and idle ones are closed. */
    public boolean closesConnections(long nowUs) {
        return nowUs >= closeConnectionsFromUs;
    }

    /** It listens. A drain that was ordered before begins now. */
    public void listenerOpened(long nowUs) {
        if (phase == Phase.STARTING) {
            phase = Phase.SERVING;
            if (drainRequested) {
                drain(nowUs);
            }
        }
    }

    /** It is to be emptied. Ordered twice, the first order counts; one that is ending may be emptied the sooner. */
    public void drain(long nowUs) {
        drainRequested = true;
        if (phase != Phase.STARTING) {
            phase = phase == Phase.SERVING ? Phase.DRAINING : phase;
            closeConnectionsFromUs = Math.min(closeConnectionsFromUs, nowUs + drainGraceUs);
        }
    }

    /** It is to take clients again; false, and nothing changes, where it is ending. */
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
     * It is to exit; clients go on coming for {@code graceUs}, 0 or more. What a drain has begun goes on: the grace
     * is over no later than it was before.
     */
    public void beginShutdown(long nowUs, long graceUs) {
        phase = Phase.ENDING;
        closeConnectionsFromUs = Math.min(closeConnectionsFromUs, nowUs + requireNotNegative(graceUs));
    }

    /** How many clients' connections it holds. */
    public void updateConnectionCount(int connections, long nowUs) {
        if (phase == Phase.DRAINING && connections == 0 && closesConnections(nowUs)) {
            phase = Phase.DRAINED;
        } else if (phase == Phase.DRAINED && connections > 0) {
            phase = Phase.DRAINING;
        }
    }
}
