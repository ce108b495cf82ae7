package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.cli.SharedDiscovery.UnknownVersion;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the rule on drains under random faults: moves of discovery by SIGHUP, resets, lower versions, slow calls, a
 * slow network and processes stopped by SIGSTOP, while servers drain or are removed. {@code -Ddrain.seeds=50} runs that
 * many seeds, {@code -Ddrain.first=N} begins with seed N.
 */
@Timeout(120)
class DrainSoakTest {
    private static final int SEEDS = Integer.getInteger("drain.seeds", 3);
    private static final int FIRST = Integer.getInteger("drain.first", 1);
    private static final int STEPS = 12;
    /** The longest stop of a process that the rule covers, less the time that the signals take. */
    private static final int STOPPED_MS = 140;
    /** The pause after a stop of the processes, as the rule covers a single one. */
    private static final int BETWEEN_STOPS_MS = 600;
    private static final int MAX_TAKEN_OUT = 6;
    private static final List<Integer> MAJORITY = List.of(0, 1, 2, 3, 4);

    private enum Fault { DRAIN, LEAVE_OUT, MOVE, MOVE_ONE, MOVES, RESET, LOSE_COUNT, SLOW, HOLD_UP, LOSE_MOST }

    @TempDir
    private Path folder;
    private final Map<Fault, Integer> injected = new EnumMap<>(Fault.class);
    private final List<Integer> servers = new ArrayList<>();
    private int takenOut;

    static LongStream seeds() {
        return LongStream.range(FIRST, FIRST + SEEDS);
    }

    private List<Integer> nextServers(int count) {
        int most = Math.min(count, MAX_TAKEN_OUT - takenOut);
        List<Integer> taken = servers.subList(takenOut, takenOut + Math.max(0, most));
        takenOut += taken.size();
        return taken;
    }

    private static UnknownVersion randomAnswer(Random random) {
        return random.nextBoolean() ? UnknownVersion.WHOLE_LIST : UnknownVersion.NO_CHANGES;
    }

    private void inject(Fault fault, DrainFleet fleet, Random random) throws Exception {
        SharedDiscovery discovery = fleet.discovery;
        switch (fault) {
            case DRAIN -> discovery.takeOut(nextServers(1 + random.nextInt(2)), false);
            case LEAVE_OUT -> discovery.takeOut(nextServers(1 + random.nextInt(2)), true);
            case MOVE -> fleet.moveDiscoveryOfAll();
            case MOVE_ONE -> fleet.sidecars.get(random.nextInt(DrainFleet.SIDECARS)).moveDiscovery();
            case MOVES -> {
                for (int i = 0; i < 3; i++) {
                    fleet.moveDiscoveryOfAll();
                    Thread.sleep(random.nextInt(120));
                }
            }
            case RESET -> {
                discovery.setResetting(true);
                Thread.sleep(100 + random.nextInt(500));
                discovery.setResetting(false);
            }
            case LOSE_COUNT -> {
                discovery.setResetting(true);
                Thread.sleep(random.nextInt(300));
                discovery.restartVersions(randomAnswer(random));
                discovery.setResetting(false);
            }
            case SLOW -> discovery.setDelays(random.nextInt(200), random.nextInt(60));
            case HOLD_UP -> {
                for (DrainFleet.Sidecar sidecar : fleet.sidecars) {
                    sidecar.program.signal("STOP");
                }
                Thread.sleep(STOPPED_MS - 40);
                for (DrainFleet.Sidecar sidecar : fleet.sidecars) {
                    sidecar.program.signal("CONT");
                }
                Thread.sleep(BETWEEN_STOPS_MS);
            }
            default -> {
                discovery.restartVersions(randomAnswer(random));
                if (takenOut == 0) {
                    takenOut = MAX_TAKEN_OUT;
                    discovery.takeOut(MAJORITY, true);
                }
                fleet.moveDiscoveryOfAll();
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void drainsHoldUnderFaults(long seed) throws Exception {
        Random random = new Random(seed);
        for (int server = 0; server < DrainFleet.SERVERS; server++) {
            servers.add(server);
        }
        Collections.shuffle(servers, random);
        try (DrainFleet fleet = new DrainFleet(folder, 4_000)) {
            fleet.awaitWatches();
            Fault[] faults = Fault.values();
            for (int step = 0; step < STEPS; step++) {
                Fault fault = faults[random.nextInt(faults.length)];
                inject(fault, fleet, random);
                injected.merge(fault, 1, Integer::sum);
                Thread.sleep(random.nextInt(400));
            }
            fleet.discovery.setDelays(0, 0);
            fleet.judge();
            assertThat(fleet.arrivalCount()).isPositive();
            System.out.println("seed " + seed + ": " + fleet.arrivalCount() + " requests, " + injected);
        }
    }
}
