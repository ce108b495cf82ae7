package dapplequay.management;

import dapplequay.management.Counts.End;
import java.util.Map;

/** The figures as text, in the exposition format that common collectors read. */
public final class Exposition {
    static final String TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PREFIX = "svc_";

    private final StringBuilder out = new StringBuilder(2048);

    Exposition() { }

    @Override
    public String toString() {
        return out.toString();
    }

    /** What is known beside the counts, as it stands now. */
    public record Gauges(int registryEntries, int outOfRotation, long cfgAccepted, long cfgInvalid, long faults) { }

    /** All figures at one reading. */
    public static String text(Counts.Reading counts, Gauges gauges) {
        Exposition text = new Exposition();
        text.byClass("fulfilled_total", "Requests served.", counts, End.FULFILLED);
        text.byClass("throttled_total", "Requests refused; a new try is harmless.", counts, End.THROTTLED);
        text.byClass("faulted_total", "Requests failed, and those whose client left.", counts, End.FAULTED);
        text.one("relayed_total", "counter", "Attempts written whole to upstreams.", counts.relayed());
        text.one("open_requests", "gauge", "Requests taken and not ended.", counts.open());
        text.one("registry_entries", "gauge", "Upstreams in the list of discovery.", gauges.registryEntries());
        text.one("out_of_rotation", "gauge", "Listed upstreams that are avoided now.", gauges.outOfRotation());
        text.one("cfg_accepted_total", "counter", "Configurations taken at SIGHUP.", gauges.cfgAccepted());
        text.one("cfg_invalid_total", "counter", "Configurations turned down at SIGHUP.", gauges.cfgInvalid());
        text.one("module_faults_total", "counter", "Times that the decision module threw.", gauges.faults());
        return text.toString();
    }

    private void head(String name, String type, String help) {
        out.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append('\n');
        out.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    }

    private void one(String name, String type, String help, long value) {
        head(name, type, help);
        out.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /** A counter for each value of the label, in the order of the map. */
    void labelled(String name, String help, String label, Map<String, Long> counts) {
        head(name, "counter", help);
        counts.forEach((value, count) -> out.append(PREFIX).append(name).append('{').append(label).append("=\"")
                .append(escaped(value)).append("\"} ").append(count).append('\n'));
    }

    /** Counts by buckets, the last of them without a bound; bounds and sum in microseconds, shown in seconds. */
    void histogram(String name, String help, long[] boundsUs, long[] counts, long sumUs) {
        head(name, "histogram", help);
        long below = 0;
        for (int i = 0; i < counts.length; i++) {
            below += counts[i];
            String bound = i < boundsUs.length ? String.valueOf(boundsUs[i] / 1e6) : "+Inf";
            out.append(PREFIX).append(name).append("_bucket{le=\"").append(bound).append("\"} ").append(below)
                    .append('\n');
        }
        out.append(PREFIX).append(name).append("_sum ").append(sumUs / 1e6).append('\n');
        out.append(PREFIX).append(name).append("_count ").append(below).append('\n');
    }

    private void byClass(String name, String help, Counts.Reading counts, End end) {
        head(name, "counter", help);
        for (Map.Entry<String, long[]> entry : counts.ended().entrySet()) {
            out.append(PREFIX).append(name).append("{priority=\"").append(escaped(entry.getKey())).append("\"} ")
                    .append(entry.getValue()[end.ordinal()]).append('\n');
        }
    }

    /** A label's value: backslash, quote and line feed can't stand for themselves. */
    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
