package dapplequay.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides from the rate of attempts at each upstream whether a spare connection to it would be used. Times are
 * microseconds of any monotonic clock. Not thread-safe.
 */
final class SpareConnectionPolicy {
    /** The rate is computed over this many attempts. */
    static final int WINDOW_ATTEMPTS = 8;
    /** Up to this mean gap between attempts, a spare connection is seldom closed again before it is used. */
    static final long MAX_MEAN_GAP_US = UpstreamPool.SPARE_IDLE_US / 10;
    /** The rate is kept for the most recently used upstreams, up to this number. */
    private static final int MAX_UPSTREAMS = 256;

    private final Map<Endpoints.Endpoint, UpstreamState> states = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Endpoints.Endpoint, UpstreamState> eldest) {
            return size() > MAX_UPSTREAMS;
        }
    };

    /** The last attempts at an upstream, in a ring buffer, and the spare connections to it that are being opened. */
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

    /** Records an attempt that is sent to the upstream. */
    void attemptSent(Endpoints.Endpoint endpoint, long nowUs) {
        stateOf(endpoint).attemptSent(nowUs);
    }

    /**
     * Returns whether a spare connection is worth its handshake; at most {@code maxOpening} may be opening at a time.
     */
    boolean wantsSpare(Endpoints.Endpoint endpoint, long nowUs, int maxOpening) {
        UpstreamState state = stateOf(endpoint);
        return state.openingCount < maxOpening && nowUs >= state.blockedUntilUs && state.hasSteadyRate(nowUs);
    }

    /** Records that a spare connection is being opened. */
    void openStarted(Endpoints.Endpoint endpoint) {
        stateOf(endpoint).openingCount++;
    }

    /** Records that it is open, or has failed: then none is opened for as long as a spare one would have been kept. */
    void openEnded(Endpoints.Endpoint endpoint, boolean succeeded, long nowUs) {
        UpstreamState state = stateOf(endpoint);
        state.openingCount = Math.max(0, state.openingCount - 1);
        state.blockedUntilUs = succeeded ? state.blockedUntilUs : nowUs + UpstreamPool.SPARE_IDLE_US;
    }
}
