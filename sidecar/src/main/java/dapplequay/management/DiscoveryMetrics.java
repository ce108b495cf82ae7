package dapplequay.management;

import java.util.Map;
import java.util.TreeMap;

/**
 * Metrics on how discovery's updates changed the servers' status and stopped sends to them. Thread-safe.
 */
public final class DiscoveryMetrics {
    /** Upper bounds of the histograms' buckets, in microseconds. */
    private static final long[] BOUNDS_US = {0, 10_000, 50_000, 100_000, 250_000, 500_000, 1_000_000, 5_000_000};

    private final Map<String, Long> transitions = new TreeMap<>();
    private final Map<String, Long> stoppedSends = new TreeMap<>();
    private final Histogram unconfirmed = new Histogram();
    private final Histogram lastSends = new Histogram();

    /** Histogram of durations with the buckets of {@link #BOUNDS_US}. */
    private static final class Histogram {
        private final long[] counts = new long[BOUNDS_US.length + 1];
        private long sumUs;

        void observe(long durationUs) {
            int bucket = 0;
            while (bucket < BOUNDS_US.length && durationUs > BOUNDS_US[bucket]) {
                bucket++;
            }
            counts[bucket]++;
            sumUs += durationUs;
        }
    }

    /** Counts a server that changed to this status. */
    public synchronized void countTransition(String status) {
        transitions.merge(status, 1L, Long::sum);
    }

    /** Counts a send that was stopped before its first byte. */
    public synchronized void countStoppedSend(String reason) {
        stoppedSends.merge(reason, 1L, Long::sum);
    }

    /** Records for how long a list left a server unconfirmed. */
    public synchronized void recordUnconfirmed(long durationUs) {
        unconfirmed.observe(durationUs);
    }

    /** Records the time from the update that took a server out to the last send to it; 0 if there was none after it. */
    public synchronized void recordLastSend(long durationUs) {
        lastSends.observe(durationUs);
    }

    /** Returns all metrics in the Prometheus text format. */
    public synchronized String text() {
        MetricsText output = new MetricsText();
        output.labelledCounter("server_transitions_total", "Changes of servers' status by discovery's news.", "to",
                transitions);
        output.labelledCounter("stopped_sends_total", "Sends stopped before their first byte.", "reason", stoppedSends);
        addHistogram(output, "unconfirmed_seconds", "For how long a list left servers unconfirmed.", unconfirmed);
        addHistogram(output, "last_send_after_news_seconds", "From news that took a server out to its last send.",
                lastSends);
        return output.toString();
    }

    private static void addHistogram(MetricsText output, String name, String help, Histogram histogram) {
        output.histogram(name, help, BOUNDS_US, histogram.counts, histogram.sumUs);
    }
}
