package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random clients and servers that are slow, break off or leave. {@code -Dfault.seeds=50} plays that many seeds,
 * {@code -Dfault.first=N} begins with seed N, and {@code -Dfault.scenarios=N} plays that many scenarios a seed.
 */
@Timeout(600)
class FaultPlayTest {
    private static final int SEEDS = Integer.getInteger("fault.seeds", 4);
    private static final int FIRST = Integer.getInteger("fault.first", 100);
    private static final int SCENARIOS = Integer.getInteger("fault.scenarios", 150);
    private static final int SERVERS = 20;
    private static final int MAX_PAUSE_MS = 120;
    private static final long PLAY_TIMEOUT_S = 60;

    @TempDir
    private Path folder;

    static LongStream seeds() {
        return LongStream.range(FIRST, FIRST + SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestIsLostLateSentOnOrRunTwice(long seed) throws Exception {
        Random random = new Random(seed);
        try (FaultFleet fleet = new FaultFleet(folder, SERVERS)) {
            List<Future<?>> played = new ArrayList<>();
            for (int i = 0; i < SCENARIOS; i++) {
                played.add(fleet.start(FaultScenario.random(i, random)));
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            }
            for (Future<?> one : played) {
                one.get(PLAY_TIMEOUT_S, TimeUnit.SECONDS);
            }
            List<String> broken = fleet.brokenRules();
            System.out.println("seed " + seed + ": served " + fleet.served() + ", by status " + fleet.countByStatus()
                    + ", rules broken " + broken.size());
            assertThat(broken).as("broken rules").isEmpty();
            assertThat(fleet.served()).isPositive();
        }
    }
}
