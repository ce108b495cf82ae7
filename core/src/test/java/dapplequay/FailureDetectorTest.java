package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.BodyStage;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which servers are avoided for failures or silence, and for how long. */
class FailureDetectorTest {
    /** On a network that resets one attempt in fourteen at all hosts, two resets in a row say little of one host. */
    @Test
    void failuresThatAllHostsShareCountAgainstNone() {
        BalanceRig rig = new BalanceRig().fleet(8, 0);
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 4_000; i++) {
            Outcome outcome = random.nextInt(14) == 0 ? Outcome.RESET : Outcome.OK;
            rig.advance(4_000).module.outcome(rig.now, 0, 0, "a" + i % 8, outcome, 5_000, true, new LoadReport(1, 1));
        }
        long passedOver = rig.logLines.stream().filter(line -> line.startsWith("passed over")).count();
        assertThat(passedOver).isBetween(5L, 34L);
    }

    /** A sound host that is suspected is missing from the fleet for as long as it is avoided. */
    @Test
    void suspectedServerIsTriedAgainSoonAndLaterIfItFailsAgain() {
        BalanceRig rig = new BalanceRig().fleet(6, 0);
        String head = rig.requestAndAnswer(BalanceRig.RETRYABLE, 1).host();
        failTwice(rig, head);
        assertThat(rig.advance(250_000).request(BalanceRig.RETRYABLE).host()).isNotEqualTo(head);
        BalanceRig.Action trial = rig.advance(60_000).request(BalanceRig.RETRYABLE);
        assertThat(trial.host()).isEqualTo(head);
        rig.outcome(trial, Outcome.ERROR);
        assertThat(rig.advance(1_750_000).request(BalanceRig.RETRYABLE).host())
                .as("avoided for longer, as it failed when it was tried")
                .isNotEqualTo(head);
        trial = rig.advance(60_000).request(BalanceRig.RETRYABLE);
        assertThat(trial.host()).isEqualTo(head);
        rig.outcome(trial, 0, Outcome.OK, new LoadReport(1, 1));
        trial = rig.request(BalanceRig.RETRYABLE);
        assertThat(trial.host()).isEqualTo(head);
        rig.outcome(trial, Outcome.ERROR);
        assertThat(rig.advance(310_000).request(BalanceRig.RETRYABLE).host())
                .as("avoided for the shorter time, as it had served meanwhile")
                .isEqualTo(head);
    }

    private static void failTwice(BalanceRig rig, String host) {
        for (int i = 0; i < 2; i++) {
            BalanceRig.Action send = rig.request(BalanceRig.RETRYABLE);
            assertThat(send.host()).isEqualTo(host);
            rig.outcome(send, Outcome.ERROR);
        }
    }

    /**
     * Guards against taking local delay for silence. A used connection rests for 20 ms before it is used again, and an
     * attempt may wait for that. Where answers take 5 ms, eight attempts that wait so do not make a host silent.
     */
    @Test
    void attemptsThatWaitForAConnectionAreNoSilence() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        for (int i = 0; i < 200; i++) {
            BalanceRig.Action send = rig.request(BalanceRig.RETRYABLE);
            rig.advance(5_000).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, 5_000, true,
                    new LoadReport(1, 1));
        }
        int[] sent = new int[2];
        for (int i = 0; i < 16; i++) {
            sent[rig.request(BalanceRig.RETRYABLE).host().charAt(1) - '0']++;
        }
        assertThat(sent).as("at each host").doesNotContain(0);
        assertThat(Math.max(sent[0], sent[1])).isGreaterThanOrEqualTo(8);
        rig.advance(21_000).module.timerFired(rig.now, 1);
        assertThat(rig.count("cancel")).isZero();
        rig.advance(100_000).module.timerFired(rig.now, 1);
        assertThat(rig.count("cancel")).as("nothing came for long").isPositive();
    }

    /** A host is waited for from the time at which this process no longer delays the attempt, however late that is. */
    @Test
    void silenceCountsFromTheStartOfAnAttempt() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        requestAndAnswerMany(rig, BalanceRig.RETRYABLE, 5_000);
        List<BalanceRig.Action> sent = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            sent.add(rig.request(BalanceRig.RETRYABLE));
        }
        rig.advance(60_000);
        sent.forEach(send -> rig.module.attemptStarted(rig.now, send.id()));
        rig.advance(9_000).module.timerFired(rig.now, 1);
        assertThat(rig.count("cancel")).isZero();
        rig.advance(100_000).module.timerFired(rig.now, 1);
        assertThat(rig.count("cancel")).as("nothing came for long").isPositive();
    }

    /** Guards against taking the time in which a long request arrives for silence of its host. */
    @Test
    void silenceCountsFromTheLastByteOfALongRequest() {
        BalanceRig rig = new BalanceRig();
        rig.module.fleet(rig.now, ListKind.RESTORED, Stream.of("a0", "a1", "a2")
                .map(name -> new FleetEntry(name, 0, 0, HostState.READY, 4, 0)).toList());
        requestAndAnswerMany(rig, BalanceRig.RETRYABLE, 5_000);
        BalanceRig.Action slower = rig.request(BalanceRig.DEDUP_ALL);
        BalanceRig.Action upload = rig.request(BalanceRig.RETRYABLE);
        assertThat(upload.host()).isEqualTo(slower.host());
        rig.module.bodyProgress(rig.now, upload.id(), BodyStage.ARRIVING);
        rig.advance(300_000).module.bodyProgress(rig.now, upload.id(), BodyStage.COMPLETE);
        rig.advance(5_000).module.timerFired(rig.now, 1);
        assertThat(rig.logLines).noneMatch(line -> line.startsWith("passed over"));
        rig.advance(200_000).module.timerFired(rig.now, 1);
        assertThat(rig.logLines).as("nothing came for long")
                .anyMatch(line -> line.startsWith("passed over for silence"));
    }

    /** Guards against taking a pause of this process of some milliseconds for silence of hosts that answer in one. */
    @Test
    void shortPauseOfThisProcessIsNoSilenceOfAFastHost() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        requestAndAnswerMany(rig, BalanceRig.RETRYABLE, 1_000);
        for (int i = 0; i < 16; i++) {
            rig.module.attemptStarted(rig.now, rig.request(BalanceRig.RETRYABLE).id());
        }
        rig.advance(30_000).module.timerFired(rig.now, 1);
        assertThat(rig.count("cancel")).isZero();
        rig.advance(20_000).module.timerFired(rig.now, 1);
        assertThat(rig.count("cancel")).as("nothing came for long").isPositive();
    }

    /**
     * Guards against measuring the wait for an answer by its first line. Hosts that write twice, and wait 40 ms for an
     * acknowledgement in between, send the first line fast and the rest late.
     */
    @Test
    void silenceIsMeasuredByTheWaitForWholeAnswers() {
        BalanceRig rig = new BalanceRig().fleet(2, 0);
        for (int i = 0; i < 200; i++) {
            BalanceRig.Action send = rig.request(BalanceRig.RETRYABLE);
            rig.module.attemptStarted(rig.now, send.id());
            rig.advance(40_000).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, 1_000, true,
                    new LoadReport(1, 1));
        }
        rig.module.attemptStarted(rig.now, rig.request(BalanceRig.RETRYABLE).id());
        rig.advance(45_000).module.timerFired(rig.now, 1);
        assertThat(rig.logLines).isEmpty();
        rig.advance(700_000).module.timerFired(rig.now, 1);
        assertThat(rig.logLines).as("nothing came for long").hasSize(1)
                .allMatch(l -> l.startsWith("passed over for silence"));
    }

    private static void requestAndAnswerMany(BalanceRig rig, int type, long tookUs) {
        for (int i = 0; i < 200; i++) {
            BalanceRig.Action send = rig.request(type);
            rig.advance(tookUs).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, tookUs, true,
                    new LoadReport(1, 1));
        }
    }
}
