package dapplequay.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How fast attempts follow on each other at each upstream, and so whether one more connection to it would be used.
 * Times in microseconds of any clock that does not run backwards. Not thread-safe.
 */
final class SendPace {
    /** So many attempts in a row tell the pace. */
    static final int WINDOW = 8;
    /** At this mean gap a spare connection is seldom idle for so long that it is closed again. */
    static final long STEADY_GAP_US = UpstreamPool.SPARE_IDLE_US / 10;
    /** Of so many upstreams, the last used, the pace is known. */
    private static final int MOST = 256;

    private final Map<Endpoints.Endpoint, Recent> recent = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Endpoints.Endpoint, Recent> eldest) {
            return size() > MOST;
        }
    };

    /** The last attempts at an upstream, and the spare connections to it that are being opened. */
    private static final class Recent {
        private final long[] sentUs = new long[WINDOW];
        private int next;
        private boolean isFull;
        private int opening;
        private long noneBeforeUs = Long.MIN_VALUE;

        private void sent(long nowUs) {
            sentUs[next] = nowUs;
            next = (next + 1) % WINDOW;
            isFull |= next == 0;
        }

        private boolean isSteady(long nowUs) {
            return isFull && nowUs - sentUs[next] <= WINDOW * STEADY_GAP_US;
        }
    }

    private Recent of(Endpoints.Endpoint endpoint) {
        return recent.computeIfAbsent(endpoint, e -> new Recent());
    }

    /** An attempt is on its way to the upstream. */
    void sent(Endpoints.Endpoint endpoint, long nowUs) {
        of(endpoint).sent(nowUs);
    }

    /** Whether a spare connection is worth its handshake, with no more than {@code most} coming up at once. */
    boolean wantsSpare(Endpoints.Endpoint endpoint, long nowUs, int most) {
        Recent at = of(endpoint);
        return at.opening < most && nowUs >= at.noneBeforeUs && at.isSteady(nowUs);
    }

    /** A spare connection is being opened. */
    void opening(Endpoints.Endpoint endpoint) {
        of(endpoint).opening++;
    }

    /** It is open, or has failed: then none is opened for as long as a spare one would have been kept. */
    void opened(Endpoints.Endpoint endpoint, boolean isOpen, long nowUs) {
        Recent at = of(endpoint);
        at.opening = Math.max(0, at.opening - 1);
        at.noneBeforeUs = isOpen ? at.noneBeforeUs : nowUs + UpstreamPool.SPARE_IDLE_US;
    }
}
