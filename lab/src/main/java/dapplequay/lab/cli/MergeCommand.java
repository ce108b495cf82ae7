package dapplequay.lab.cli;

import dapplequay.lab.load.HistogramLogs;
import dapplequay.lab.load.LoadResult;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Merges the latency logs of load generators that ran at the same time into one log. */
public final class MergeCommand implements Command {
    @Argument(required = true, metaVar = "DIR...", multiValued = true)
    private List<String> folders = new ArrayList<>();

    @Option(name = "--out", required = true, metaVar = "DIR")
    private String out;

    @Override
    public int run() throws Exception {
        List<List<Histogram>> logs = new ArrayList<>();
        for (String folder : folders) {
            logs.add(HistogramLogs.read(Path.of(folder).resolve("latency.hlog")));
        }
        List<Histogram> merged = HistogramLogs.merge(logs);
        HistogramLogs.write(merged, Path.of(out).resolve("latency.hlog"));
        Histogram all = LoadResult.histogram();
        merged.forEach(all::add);
        System.out.printf(Locale.ROOT, "answered %d, latency ms p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f%n",
                all.getTotalCount(), all.getValueAtPercentile(50) / 1e3, all.getValueAtPercentile(90) / 1e3,
                all.getValueAtPercentile(99) / 1e3, all.getValueAtPercentile(99.9) / 1e3, all.getMaxValue() / 1e3);
        return OK;
    }
}
