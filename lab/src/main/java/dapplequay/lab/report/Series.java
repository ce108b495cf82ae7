package dapplequay.lab.report;

import dapplequay.lab.fleet.FleetLog;
import dapplequay.lab.load.ClientAttempt;
import dapplequay.lab.load.LoadResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Time series of a run, in buckets of half a second by the time at which a request was due. */
final class Series {
    static final double BUCKET_S = 0.5;

    final Map<String, List<Double>> latencyMs = new TreeMap<>();
    final Map<String, List<Double>> outcomes = new TreeMap<>();
    /** Requests held by a host: the median, the ninth decile and the maximum over all hosts. */
    final Map<String, List<Double>> held = new TreeMap<>();
    /** Requests that reached each host, by host index. */
    final long[] visits;

    Series(LoadResult result, FleetLog log) {
        long last = result.schedule().arrivals().stream().mapToLong(a -> a.dueUs()).max().orElse(0);
        int buckets = (int) (last / 1e6 / BUCKET_S) + 1;
        outcomes(result, buckets);
        visits = new long[log == null ? 0 : log.hosts()];
        if (log != null) {
            log.visits().forEach(visit -> visits[visit.host]++);
            held(result, log, buckets);
        }
    }

    private void outcomes(LoadResult result, int buckets) {
        List<List<Double>> latencies = new ArrayList<>();
        for (int i = 0; i < buckets; i++) {
            latencies.add(new ArrayList<>());
        }
        for (List<ClientAttempt> tries : result.attempts()) {
            ClientAttempt last = tries.get(tries.size() - 1);
            int bucket = (int) (tries.get(0).arrival.dueUs() / 1e6 / BUCKET_S);
            List<Double> counts = outcomes.computeIfAbsent(last.outcome, o -> zeros(buckets));
            counts.set(bucket, counts.get(bucket) + 1 / BUCKET_S);
            if (last.isAnswered()) {
                latencies.get(bucket).add((last.endUs - tries.get(0).dueUs) / 1e3);
            }
        }
        for (String name : List.of("p50", "p90", "max")) {
            double at = name.equals("p50") ? 0.5 : name.equals("p90") ? 0.9 : 1;
            latencyMs.put(name, latencies.stream().map(of -> quantile(of, at)).toList());
        }
    }

    private void held(LoadResult result, FleetLog log, int buckets) {
        List<List<Double>> all = new ArrayList<>();
        for (int i = 0; i < buckets; i++) {
            all.add(new ArrayList<>());
        }
        for (FleetLog.Sample sample : log.samples()) {
            int bucket = (int) Math.floor((sample.atUs() - result.startUs()) / 1e6 / BUCKET_S);
            if (bucket >= 0 && bucket < buckets) {
                all.get(bucket).add((double) sample.held());
            }
        }
        held.put("median host", all.stream().map(of -> quantile(of, 0.5)).toList());
        held.put("9th decile", all.stream().map(of -> quantile(of, 0.9)).toList());
        held.put("most", all.stream().map(of -> quantile(of, 1)).toList());
    }

    private static List<Double> zeros(int count) {
        Double[] zeros = new Double[count];
        Arrays.fill(zeros, 0.0);
        return new ArrayList<>(Arrays.asList(zeros));
    }

    /** Returns this quantile, or 0 if there are no values. */
    private static double quantile(List<Double> values, double at) {
        if (values.isEmpty()) {
            return 0;
        }
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        return sorted[(int) Math.max(0, Math.ceil(at * sorted.length) - 1)];
    }
}
