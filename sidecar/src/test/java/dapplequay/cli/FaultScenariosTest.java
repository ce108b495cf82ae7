package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.cli.FaultScenario.Answer;
import dapplequay.cli.FaultScenario.Framing;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Scenarios that once broke the rule on lost requests, each in several sizes and framings. */
@Timeout(120)
class FaultScenariosTest {
    private static final int SERVERS = 20;
    private static final int[] BEHIND_BYTES = {0, 70_000, 1_000_000, 2_500_000, 4_000_000, 6_000_000, 9_000_000};
    private static final int[] REQUEST_BYTES = {0, 50_000};
    private static final int FIRST_ATTEMPT_MS = 300;
    private static final int STAY_MS = 60;
    private static final int[] SLOW_LONG_BYTES = {70_000, 130_000, 250_000};
    private static final int SHORT_BUDGET_MS = 500;
    private static final int SHORT_DEADLINE_MS = 400;
    /** Takes 1.9 s at the pace of a steady client. */
    private static final int SLOW_REQUEST_BYTES = 300_000;
    private static final long PLAY_TIMEOUT_S = 40;

    @TempDir
    private Path folder;

    /** Plays these scenarios at once. */
    private void play(List<FaultScenario> scenarios) throws Exception {
        try (FaultFleet fleet = new FaultFleet(folder, SERVERS)) {
            List<Future<?>> played = new ArrayList<>();
            scenarios.forEach(scenario -> played.add(fleet.start(scenario)));
            for (Future<?> one : played) {
                one.get(PLAY_TIMEOUT_S, TimeUnit.SECONDS);
            }
            assertThat(fleet.brokenRules()).isEmpty();
        }
    }

    @Test
    void requestIsNotSentOnForAClientThatClosedBehindMuchUnreadInput() throws Exception {
        List<FaultScenario> scenarios = new ArrayList<>();
        for (int requestBytes : REQUEST_BYTES) {
            for (int behindBytes : BEHIND_BYTES) {
                FaultScenario scenario = FaultScenario.orderly(scenarios.size())
                        .withRequest(Framing.values()[scenarios.size() % 2], requestBytes);
                scenarios.add(scenario.leaving(behindBytes, STAY_MS, FIRST_ATTEMPT_MS));
            }
        }
        play(scenarios);
    }

    @Test
    void trickledAnswerWithoutALengthEndsInTheRequestsTime() throws Exception {
        List<FaultScenario> scenarios = new ArrayList<>();
        for (Framing framing : List.of(Framing.CHUNKED, Framing.CLOSE)) {
            for (int requestBytes : REQUEST_BYTES) {
                scenarios.add(FaultScenario.orderly(scenarios.size()).withRequest(Framing.LENGTH, requestBytes)
                        .withAnswer(Answer.TRICKLE, framing, 0, 0));
            }
        }
        play(scenarios);
    }

    @Test
    void longAnswerThatItsServerWritesInLumpsIsNotCutOff() throws Exception {
        List<FaultScenario> scenarios = new ArrayList<>();
        for (Answer answer : List.of(Answer.LUMPS, Answer.STEADY)) {
            for (Framing framing : Framing.values()) {
                for (int bytes : SLOW_LONG_BYTES) {
                    scenarios.add(FaultScenario.orderly(scenarios.size()).withBudget(SHORT_BUDGET_MS)
                            .withAnswer(answer, framing, bytes, SHORT_BUDGET_MS / 2));
                }
            }
        }
        play(scenarios);
    }

    @Test
    void idThatComesAgainWhileItsLongRequestIsStillBeingWrittenIsNotRunTwice() throws Exception {
        FaultScenario slow = FaultScenario.orderly(0).withRequest(Framing.LENGTH, SLOW_REQUEST_BYTES)
                .withPace(FaultScenario.Pace.STEADY).withBudget(SHORT_DEADLINE_MS);
        try (FaultFleet fleet = new FaultFleet(folder, SERVERS, SHORT_DEADLINE_MS)) {
            Future<FaultRecord> first = fleet.start(slow, "77");
            Thread.sleep(3 * SHORT_DEADLINE_MS);
            FaultRecord again = fleet.start(FaultScenario.orderly(1).withBudget(SHORT_DEADLINE_MS), "77")
                    .get(PLAY_TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(again.status).isEqualTo(409);
            assertThat(first.get(PLAY_TIMEOUT_S, TimeUnit.SECONDS).status).isEqualTo(200);
            assertThat(again.attempts).isEmpty();
        }
    }
}
