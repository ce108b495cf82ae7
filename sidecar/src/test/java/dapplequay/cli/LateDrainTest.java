package dapplequay.cli;

import dapplequay.cli.SharedDiscovery.UnknownVersion;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that begin at draining or removed servers after the grace, while reloads move discovery from
 * address to address.
 *
 * <p>A sidecar closed its outstanding discovery call at each move and time-out. Discovery still wrote that answer, or
 * handled the call before the next one, so the sidecar learnt of the drain seconds late: it sent for up to 2.6 s after
 * the grace with the answer in transit, and to the end of the run with queued calls. With lower versions, a change that
 * takes servers out waited for another answer, without a deadline over all such waits.
 */
@Timeout(120)
class LateDrainTest {
    private static final int MOVE_COUNT = 6;
    private static final long SEED = 8131;
    private static final List<Integer> MAJORITY = List.of(0, 1, 2, 3, 4);
    private static final List<Integer> MINORITY = List.of(0, 1, 2);

    @TempDir
    private Path folder;
    private DrainFleet fleet;
    private SharedDiscovery discovery;

    enum Case {
        /** The answer with the drain is in transit at SIGHUP; the new address is slow to answer. */
        ANSWER_CROSSES_A_MOVE,
        /** Calls are handled one after the other, and each move adds one. */
        MOVES_FILL_THE_QUEUE,
        /** The new address restarts its versions, and its list leaves out more than half of the servers. */
        LOWER_VERSION_AFTER_A_MOVE,
        /** The same at an unchanged address, which was unreachable for a while. */
        LOWER_VERSION_AFTER_RESETS,
        /** A call after the known version is answered with no changes and a lower version. */
        NO_CHANGES_OF_A_LOWER_VERSION,
        /** The address moves before the first call has been made. */
        MOVED_BEFORE_THE_FIRST_CALL
    }

    private void runCase(Case testCase) throws Exception {
        switch (testCase) {
            case ANSWER_CROSSES_A_MOVE -> {
                discovery.setDelays(0, 100);
                discovery.takeOut(MINORITY, false);
                SidecarProcess.await("the drain is written",
                        () -> fleet.sidecars.stream().allMatch(s -> discovery.isInformed(s.number, MINORITY.get(0))));
                discovery.setDelays(2_000, 0);
                fleet.moveDiscoveryOfAll();
            }
            case MOVES_FILL_THE_QUEUE -> {
                Random random = new Random(SEED);
                discovery.setDelays(250, 0);
                for (int i = 0; i < MOVE_COUNT; i++) {
                    fleet.moveDiscoveryOfAll();
                    if (i == 0) {
                        discovery.takeOut(MINORITY, false);
                    }
                    Thread.sleep(200 + random.nextInt(200));
                }
            }
            case LOWER_VERSION_AFTER_A_MOVE -> {
                discovery.restartVersions(UnknownVersion.WHOLE_LIST);
                discovery.takeOut(MAJORITY, true);
                fleet.moveDiscoveryOfAll();
            }
            case LOWER_VERSION_AFTER_RESETS -> loseCountWhileAway(UnknownVersion.WHOLE_LIST, MAJORITY, true);
            case NO_CHANGES_OF_A_LOWER_VERSION -> loseCountWhileAway(UnknownVersion.NO_CHANGES, MINORITY, false);
            default -> {
                discovery.restartVersions(UnknownVersion.NO_CHANGES);
                discovery.takeOut(MINORITY, false);
                fleet.moveDiscoveryOfAll();
            }
        }
    }

    private void loseCountWhileAway(UnknownVersion answer, List<Integer> servers, boolean gone) throws Exception {
        discovery.setResetting(true);
        Thread.sleep(500);
        discovery.restartVersions(answer);
        discovery.takeOut(servers, gone);
        discovery.setResetting(false);
    }

    @ParameterizedTest
    @EnumSource
    void noRequestBeginsAtADrainingServerAfterTheGrace(Case testCase) throws Exception {
        boolean beforeTheFirstCall = testCase == Case.MOVED_BEFORE_THE_FIRST_CALL;
        try (DrainFleet started = new DrainFleet(folder, beforeTheFirstCall ? 10_000 : 4_000)) {
            fleet = started;
            discovery = started.discovery;
            if (!beforeTheFirstCall) {
                fleet.awaitWatches();
            }
            runCase(testCase);
            fleet.judge();
        }
    }
}
