package dapplequay.management;

import dapplequay.management.RequestCounts.End;
import java.util.Map;

/** Renders metrics in the Prometheus text exposition format. */
public final class MetricsText {
    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "svc_";

    private final StringBuilder out = new StringBuilder(2048);

    MetricsText() { }

    @Override
    public String toString() {
        return out.toString();
    }

    /** Values of the process that {@link RequestCounts} does not hold. */
    public record ProcessValues(int registryEntries, int outOfRotation, long cfgAccepted, long cfgInvalid,
            long faults) { }

    /** Returns all metrics but those of {@link DiscoveryMetrics}. */
    public static String render(RequestCounts.Reading counts, ProcessValues values) {
        MetricsText output = new MetricsText();
        output.countersByClass("fulfilled_total", "Requests served.", counts, End.FULFILLED);
        output.countersByClass("throttled_total", "Requests refused; a new try is harmless.", counts, End.THROTTLED);
        output.countersByClass("faulted_total", "Requests failed, and those whose client left.", counts, End.FAULTED);
        output.single("relayed_total", "counter", "Attempts written whole to upstreams.", counts.relayed());
        output.single("open_requests", "gauge", "Requests taken and not ended.", counts.open());
        output.single("registry_entries", "gauge", "Upstreams in the list of discovery.", values.registryEntries());
        output.single("out_of_rotation", "gauge", "Listed upstreams that are avoided now.", values.outOfRotation());
        output.single("cfg_accepted_total", "counter", "Configurations taken at SIGHUP.", values.cfgAccepted());
        output.single("cfg_invalid_total", "counter", "Configurations turned down at SIGHUP.", values.cfgInvalid());
        output.single("module_faults_total", "counter", "Times that the decision module threw.", values.faults());
        return output.toString();
    }

    private void header(String name, String type, String help) {
        out.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append('\n');
        out.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    }

    private void single(String name, String type, String help, long value) {
        header(name, type, help);
        out.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /** Writes a counter for each value of the label, in the order of the map. */
    void labelledCounter(String name, String help, String label, Map<String, Long> counts) {
        header(name, "counter", help);
        counts.forEach((value, count) -> out.append(PREFIX).append(name).append('{').append(label).append("=\"")
                .append(escaped(value)).append("\"} ").append(count).append('\n'));
    }

    /**
     * Writes a histogram. {@code counts} has an entry for each bound and a last one for the bucket without a bound.
     * Bounds and sum are given in microseconds and written in seconds.
     */
    void histogram(String name, String help, long[] boundsUs, long[] counts, long sumUs) {
        header(name, "histogram", help);
        long cumulative = 0;
        for (int i = 0; i < counts.length; i++) {
            cumulative += counts[i];
            String bound = i < boundsUs.length ? String.valueOf(boundsUs[i] / 1e6) : "+Inf";
            out.append(PREFIX).append(name).append("_bucket{le=\"").append(bound).append("\"} ").append(cumulative)
                    .append('\n');
        }
        out.append(PREFIX).append(name).append("_sum ").append(sumUs / 1e6).append('\n');
        out.append(PREFIX).append(name).append("_count ").append(cumulative).append('\n');
    }

    private void countersByClass(String name, String help, RequestCounts.Reading counts, End end) {
        header(name, "counter", help);
        for (Map.Entry<String, long[]> entry : counts.ended().entrySet()) {
            out.append(PREFIX).append(name).append("{priority=\"").append(escaped(entry.getKey())).append("\"} ")
                    .append(entry.getValue()[end.ordinal()]).append('\n');
        }
    }

    /** Escapes a label's value: backslash, quote and line feed have to be escaped. */
    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
