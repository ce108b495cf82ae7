package dapplequay.lab.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplequay.lab.load.Generator;
import dapplequay.lab.load.HistogramLogs;
import dapplequay.lab.load.LoadResult;
import dapplequay.lab.load.Profile;
import dapplequay.lab.load.Schedule;
import dapplequay.lab.load.WarmUp;
import dapplequay.lab.loop.EventLoop;
import dapplequay.lab.report.ReportHtml;
import dapplequay.lab.report.ReportJson;
import dapplequay.lab.report.Table;
import dapplequay.lab.text.Durations;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Sends a load to one target and writes a report of the results. */
public final class LoadCommand implements Command {
    private static final long START_DELAY_US = 100_000;

    @Option(name = "--target", required = true, metaVar = "HOST:PORT")
    private String target;

    @Option(name = "--rate", metaVar = "R", usage = "requests a second")
    private double rate;

    @Option(name = "--for", metaVar = "10s", usage = "length of the run")
    private String length;

    @Option(name = "--profile", metaVar = "FILE.toml")
    private String profile;

    @Option(name = "--connections-max", metaVar = "N")
    private int connectionsMax = 1000;

    @Option(name = "--seed", metaVar = "N")
    private long seed = 1;

    @Option(name = "--out", required = true, metaVar = "DIR")
    private String out;

    @Override
    @SuppressWarnings("deprecation")
    public int run() throws Exception {
        Profile load = load();
        if (connectionsMax < 1) {
            throw new CmdLineException(new CmdLineParser(this), "--connections-max must be 1 or more");
        }
        Schedule schedule = Schedule.draw(load, 1, seed);
        InetSocketAddress to = address();
        WarmUp.run();
        Generator generator = new Generator(load, schedule, List.of(to), connectionsMax);
        generator.start(EventLoop.nowUs() + START_DELAY_US);
        LoadResult result = generator.await();
        ObjectNode report = ReportJson.load(result);
        ReportJson.write(report, Path.of(out));
        HistogramLogs.write(result.latencyBySecond(), Path.of(out).resolve("latency.hlog"));
        ReportHtml.write(report, Path.of(out));
        System.out.print(Table.of(report));
        System.out.println("report: " + Path.of(out).resolve("report.html").toAbsolutePath());
        if (result.isBehind()) {
            System.err.println("dapplequay lab: the generator fell behind: " + result.behindWhy());
            return GENERATOR_BEHIND;
        }
        return OK;
    }

    @SuppressWarnings("deprecation")
    private Profile load() throws CmdLineException {
        long forUs = 0;
        try {
            forUs = length == null ? 0 : Durations.parseUs(length);
        } catch (IllegalArgumentException e) {
            throw new CmdLineException(new CmdLineParser(this), "--for " + e.getMessage());
        }
        if (rate < 0 || profile == null && (rate == 0 || forUs == 0)) {
            throw new CmdLineException(new CmdLineParser(this), "give --rate and --for, or a --profile");
        }
        if (profile == null) {
            return Profile.plain(rate, forUs);
        }
        LabFile.Parsed parsed = LabFile.read(Path.of(profile), seed);
        if (parsed.load() == null) {
            throw new dapplequay.lab.text.InvalidFileException(profile, 1, "load", "is missing");
        }
        return parsed.load().withRateFor(rate == 0 ? parsed.load().ratePerS() : rate,
                forUs == 0 ? parsed.load().durationUs() : forUs);
    }

    @SuppressWarnings("deprecation")
    private InetSocketAddress address() throws CmdLineException {
        int colon = target.lastIndexOf(':');
        if (colon < 1 || !target.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(target.substring(colon + 1)) > 65535) {
            throw new CmdLineException(new CmdLineParser(this), "--target is not HOST:PORT: " + target);
        }
        InetSocketAddress address = new InetSocketAddress(target.substring(0, colon),
                Integer.parseInt(target.substring(colon + 1)));
        if (address.isUnresolved()) {
            throw new CmdLineException(new CmdLineParser(this), "--target has no address: " + target);
        }
        return address;
    }
}
