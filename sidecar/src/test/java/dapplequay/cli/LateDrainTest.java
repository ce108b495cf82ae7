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
 * What users saw: requests sent to servers that were draining or gone, after the grace. The order of events: new
 * configurations in a row move discovery from address to address, and servers begin to drain in between.
 *
 * <p>The cause: a call was closed while its answer was outstanding, at each move and each time-out. Discovery writes
 * such an answer all the same, which makes it known, or works the call through before the next one; the news came with
 * a later call, after seconds. The evidence: with the answer held back on its way, all four processes sent on for up to
 * 2.6 s after the grace; with calls worked through in turn, up to the end of the run. The cases of lower versions have
 * the same class of cause: what takes a server out waited for another answer, with no deadline over all such waits.
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
        /** The answer with the drain is on its way when SIGHUP comes; the new address is slow to answer. */
        ANSWER_CROSSES_A_MOVE,
        /** Calls are worked through in turn, and each move adds one more. */
        MOVES_FILL_THE_QUEUE,
        /** The new address counts its versions anew, and its list leaves out more than half of the servers. */
        LOWER_VERSION_AFTER_A_MOVE,
        /** The same at the same address, which was away for a while. */
        LOWER_VERSION_AFTER_RESETS,
        /** A call after the known version is answered with no changes, of a lower one. */
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
