package dapplequay.management;

import java.util.Map;
import java.util.TreeMap;

/** Counts of responses that began late, by cause. Thread-safe. */
public final class LateResponseCounts {
    private final Map<String, Long> byCause = new TreeMap<>();

    /** Counts a response that began after its request's first byte and budget. */
    public synchronized void count(String cause) {
        byCause.merge(cause, 1L, Long::sum);
    }

    /** Returns the metric in the Prometheus text format. */
    public synchronized String text() {
        MetricsText output = new MetricsText();
        output.labelledCounter("late_responses_total", "Responses begun after the request's first byte and its budget.",
                "cause", byCause);
        return output.toString();
    }
}
