package dapplequay.lab.model;

import java.util.Locale;

/** A host's load report: requests waiting, requests held (waiting or in work), recent service time in ms. */
public record LoadReport(int queue, int inFlight, double latencyMs) {
    /** Returns the value of the X-Load-Report header. */
    public String header() {
        return String.format(Locale.ROOT, "queue=%d,inflight=%d,latency_ms=%.1f", queue, inFlight, latencyMs);
    }
}
