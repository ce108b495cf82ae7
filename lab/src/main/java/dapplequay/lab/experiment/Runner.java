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

/** Plays an experiment: every variant with every seed, one run after the other, the variants in turn. */
public final class Runner {
    private static final long LEAD_US = 300_000;
    private static final int TOLD_EVERY_MS = 200;

    /** One run and what came of it. */
    public record Done(Variant variant, int repeat, long seed, FaultScript script, Profile load, LoadResult result,
                       dapplequay.lab.fleet.FleetLog log, Lives lives, Verdict verdict) { }

    private final ExperimentSpec spec;
    private final Path root;
    private final Path out;
    private final Consumer<String> progress;

    /** {@code root}: where the project lies; {@code progress}: is told in one line how far a run is. */
    public Runner(ExperimentSpec spec, Path root, Path out, Consumer<String> progress) {
        this.spec = spec;
        this.root = root.toAbsolutePath();
        this.out = out.toAbsolutePath();
        this.progress = progress;
    }

    /** All runs, in order. */
    public List<Done> run(int repeats) throws IOException, InterruptedException {
        WarmUp.run();
        List<Done> done = new ArrayList<>();
        for (int repeat = 0; repeat < repeats; repeat++) {
            for (Variant variant : spec.variants()) {
                done.add(run(variant, repeat));
            }
        }
        return done;
    }

    private Done run(Variant variant, int repeat) throws IOException, InterruptedException {
        long seed = spec.seed() + repeat;
        Profile load = variant.rate() > 0
                ? spec.load().withRateFor(variant.rate(), spec.load().durationUs()) : spec.load();
        FaultScript script = FaultScript.draw(spec.fleet(), variant.faults() ? spec.faults() : List.of(), seed);
        String name = variant.name() + ", seed " + seed;
        progress.accept(name + ": starting");
        try (Fleet fleet = new Fleet(spec.fleet(), seed)) {
            if (variant.direct()) {
                List<InetSocketAddress> hosts = fleet.endpoints(0).stream().map(Runner::address).toList();
                return play(variant, repeat, seed, load, script, fleet, null, hosts, name);
            }
            Path folder = out.resolve("sidecars").resolve(variant.name() + "-" + seed);
            try (Sidecars sidecars = new Sidecars(spec, load, variant, fleet, root, folder, seed)) {
                return play(variant, repeat, seed, load, script, fleet, sidecars, sidecars.addresses(), name);
            }
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private Done play(Variant variant, int repeat, long seed, Profile load, FaultScript script, Fleet fleet,
                      Sidecars sidecars, List<InetSocketAddress> targets, String name)
            throws InterruptedException {
        Schedule schedule = Schedule.draw(load, targets.size(), seed);
        Generator generator = new Generator(load, schedule, targets, spec.connectionsMax());
        long start = EventLoop.nowUs() + LEAD_US;
        fleet.play(script, start);
        if (sidecars != null) {
            sidecars.play(Wave.steps(spec.waves(), spec.sidecars().count(), seed), start);
        }
        generator.start(start);
        Thread teller = new Thread(() -> tell(generator, schedule, name), "progress");
        teller.setDaemon(true);
        teller.start();
        LoadResult result = generator.await();
        teller.interrupt();
        if (sidecars != null) {
            sidecars.awaitWaves();
            sidecars.close();
        }
        fleet.close();
        Lives lives = sidecars == null ? null : sidecars.lives();
        Verdict verdict = Judge.judge(new Judge.Run(spec.fleet(), load, spec.sidecars(), result, fleet.log(), lives));
        return new Done(variant, repeat, seed, script, load, result, fleet.log(), lives, verdict);
    }

    private void tell(Generator generator, Schedule schedule, String name) {
        try {
            while (true) {
                Generator.Progress now = generator.progress();
                progress.accept(name + ": " + now.due() + " of " + schedule.arrivals().size() + " due, "
                        + now.ended() + " ended");
                Thread.sleep(TOLD_EVERY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
