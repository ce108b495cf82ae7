package dapplequay.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How fast attempts follow on each other at each upstream, and so whether one more connection to it would be used.
 * Times in microseconds of any clock that does not run backwards. Not thread-safe.
 */
final class SpareConnectionPolicy {
    /** So many attempts in a row tell the pace. */
    static final int WINDOW_ATTEMPTS = 8;
    /** At this mean gap a spare connection is seldom idle for so long that it is closed again. */
    static final long MAX_MEAN_GAP_US = UpstreamPool.SPARE_IDLE_US / 10;
    /** Of so many upstreams, the last used, the pace is known. */
    private static final int MAX_UPSTREAMS = 256;

    private final Map<Endpoints.Endpoint, UpstreamState> states = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Endpoints.Endpoint, UpstreamState> eldest) {
            return size() > MAX_UPSTREAMS;
        }
    };

    /** The last attempts at an upstream, and the spare connections to it that are being opened. */
    private static final class UpstreamState {
        private final long[] sentUs = new long[WINDOW_ATTEMPTS];
        private int oldest;
        private boolean isFull;
        private int openingCount;
        private long blockedUntilUs = Long.MIN_VALUE;

        private void attemptSent(long nowUs) {
            sentUs[oldest] = nowUs;
            oldest = (oldest + 1) % WINDOW_ATTEMPTS;
            isFull |= oldest == 0;
        }

        private boolean hasSteadyRate(long nowUs) {
            return isFull && nowUs - sentUs[oldest] <= WINDOW_ATTEMPTS * MAX_MEAN_GAP_US;
        }
    }

    private UpstreamState stateOf(Endpoints.Endpoint endpoint) {
        return states.computeIfAbsent(endpoint, e -> new UpstreamState());
    }

    /** An attempt is on its way to the upstream. */
    void attemptSent(Endpoints.Endpoint endpoint, long nowUs) {
        stateOf(endpoint).attemptSent(nowUs);
    }

    /** Whether a spare connection is worth its handshake, with no more than {@code most} coming up at once. */
    boolean wantsSpare(Endpoints.Endpoint endpoint, long nowUs, int maxOpening) {
        UpstreamState state = stateOf(endpoint);
        return state.openingCount < maxOpening && nowUs >= state.blockedUntilUs && state.hasSteadyRate(nowUs);
    }

    /** A spare connection is being opened. */
    void openStarted(Endpoints.Endpoint endpoint) {
        stateOf(endpoint).openingCount++;
    }

    /** It is open, or has failed: then none is opened for as long as a spare one would have been kept. */
    void openEnded(Endpoints.Endpoint endpoint, boolean succeeded, long nowUs) {
        UpstreamState state = stateOf(endpoint);
        state.openingCount = Math.max(0, state.openingCount - 1);
        state.blockedUntilUs = succeeded ? state.blockedUntilUs : nowUs + UpstreamPool.SPARE_IDLE_US;
    }
}
