package dapplequay.lab.experiment;

import dapplequay.lab.fleet.FaultScript;
import dapplequay.lab.fleet.Fleet;
import dapplequay.lab.load.Generator;
import dapplequay.lab.load.LoadResult;
import dapplequay.lab.load.Profile;
import dapplequay.lab.load.Schedule;
import dapplequay.lab.load.WarmUp;
import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Runs an experiment: every variant with every seed, one run at a time, alternating between the variants. */
public final class Runner {
    private static final long START_DELAY_US = 300_000;
    private static final int PROGRESS_INTERVAL_MS = 200;

    /** A completed run with its inputs and results. {@code lifetimes} is null in a run without sidecars. */
    public record FinishedRun(Variant variant, int repeat, long seed, FaultScript script, Profile load,
                              LoadResult result, dapplequay.lab.fleet.FleetLog log, Lifetimes lifetimes,
                              Verdict verdict) { }

    private final ExperimentSpec spec;
    private final Path root;
    private final Path out;
    private final Consumer<String> progress;

    /** {@code root} is the project's root directory; {@code progress} receives one line of progress at a time. */
    public Runner(ExperimentSpec spec, Path root, Path out, Consumer<String> progress) {
        this.spec = spec;
        this.root = root.toAbsolutePath();
        this.out = out.toAbsolutePath();
        this.progress = progress;
    }

    /** Executes all runs and returns them in order. */
    public List<FinishedRun> run(int repeats) throws IOException, InterruptedException {
        WarmUp.run();
        List<FinishedRun> finished = new ArrayList<>();
        for (int repeat = 0; repeat < repeats; repeat++) {
            for (Variant variant : spec.variants()) {
                finished.add(run(variant, repeat));
            }
        }
        return finished;
    }

    private FinishedRun run(Variant variant, int repeat) throws IOException, InterruptedException {
        long seed = spec.seed() + repeat;
        Profile load = variant.rate() > 0 ? spec.load().withRateFor(variant.rate(), spec.load().durationUs())
                : spec.load();
        FaultScript script = FaultScript.draw(spec.fleet(), variant.faults() ? spec.faults() : List.of(), seed);
        String name = variant.name() + ", seed " + seed;
        progress.accept(name + ": starting");
        try (Fleet fleet = new Fleet(spec.fleet(), seed)) {
            if (variant.direct()) {
                List<InetSocketAddress> hosts = fleet.endpoints(0).stream().map(Runner::address).toList();
                return execute(variant, repeat, seed, load, script, fleet, null, hosts, name);
            }
            Path folder = out.resolve("sidecars").resolve(variant.name() + "-" + seed);
            try (Sidecars sidecars = new Sidecars(spec, load, variant, fleet, root, folder, seed)) {
                return execute(variant, repeat, seed, load, script, fleet, sidecars, sidecars.addresses(), name);
            }
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private FinishedRun execute(Variant variant, int repeat, long seed, Profile load, FaultScript script, Fleet fleet,
                      Sidecars sidecars, List<InetSocketAddress> targets, String name)
            throws InterruptedException {
        Schedule schedule = Schedule.draw(load, targets.size(), seed);
        Generator generator = new Generator(load, schedule, targets, spec.connectionsMax());
        long start = EventLoop.nowUs() + START_DELAY_US;
        fleet.scheduleFaults(script, start);
        if (sidecars != null) {
            sidecars.scheduleSignals(Wave.steps(spec.waves(), spec.sidecars().count(), seed), start);
        }
        generator.start(start);
        Thread progressThread = new Thread(() -> reportProgress(generator, schedule, name), "progress");
        progressThread.setDaemon(true);
        progressThread.start();
        LoadResult result = generator.await();
        progressThread.interrupt();
        if (sidecars != null) {
            sidecars.awaitWaves();
            sidecars.close();
        }
        fleet.close();
        Lifetimes lifetimes = sidecars == null ? null : sidecars.lifetimes();
        Verdict verdict = Judge.judge(
                new Judge.Run(spec.fleet(), load, spec.sidecars(), result, fleet.log(), lifetimes));
        return new FinishedRun(variant, repeat, seed, script, load, result, fleet.log(), lifetimes, verdict);
    }

    private void reportProgress(Generator generator, Schedule schedule, String name) {
        try {
            while (true) {
                Generator.Progress now = generator.progress();
                progress.accept(name + ": " + now.due() + " of " + schedule.arrivals().size() + " due, "
                        + now.ended() + " ended");
                Thread.sleep(PROGRESS_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
