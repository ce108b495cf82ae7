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

/** Who is passed over for failures, and for how long. */
class FailureDetectorTest {
    /** On a network that resets one attempt in fourteen wherever it goes, two in a short while say little of a host. */
    @Test
    void whatFailsEverywhereIsHeldAgainstNoHost() {
        Bench b = new Bench().fleet(8, 0);
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 4_000; i++) {
            Outcome outcome = random.nextInt(14) == 0 ? Outcome.RESET : Outcome.OK;
            b.pass(4_000).module.outcome(b.now, 0, 0, "a" + i % 8, outcome, 5_000, true, new LoadReport(1, 1));
        }
        long passedOver = b.lines.stream().filter(line -> line.startsWith("passed over")).count();
        assertThat(passedOver).isBetween(5L, 34L);
    }

    /** A wrong suspicion costs a part of the fleet for as long as it lasts. */
    @Test
    void aSuspectIsTriedAgainSoonAndLaterIfThatFailsToo() {
        Bench b = new Bench().fleet(6, 0);
        String head = b.answered(Bench.SAFE, 1).host();
        failTwice(b, head);
        assertThat(b.pass(250_000).request(Bench.SAFE).host()).isNotEqualTo(head);
        Bench.Done trial = b.pass(60_000).request(Bench.SAFE);
        assertThat(trial.host()).isEqualTo(head);
        b.outcome(trial, Outcome.ERROR);
        assertThat(b.pass(1_750_000).request(Bench.SAFE).host()).as("it failed at once").isNotEqualTo(head);
        trial = b.pass(60_000).request(Bench.SAFE);
        assertThat(trial.host()).isEqualTo(head);
        b.outcome(trial, 0, Outcome.OK, new LoadReport(1, 1));
        trial = b.request(Bench.SAFE);
        assertThat(trial.host()).isEqualTo(head);
        b.outcome(trial, Outcome.ERROR);
        assertThat(b.pass(310_000).request(Bench.SAFE).host()).as("it had served meanwhile").isEqualTo(head);
    }

    private static void failTwice(Bench b, String host) {
        for (int i = 0; i < 2; i++) {
            Bench.Done send = b.request(Bench.SAFE);
            assertThat(send.host()).isEqualTo(host);
            b.outcome(send, Outcome.ERROR);
        }
    }

    /**
     * A used connection rests for 20 ms before it is used again, and an attempt may wait for that: eight that wait beside
     * one another, for answers that take 5 ms, are no sign of a host that has fallen silent.
     */
    @Test
    void attemptsThatWaitForTheirConnectionsAreNoSilence() {
        Bench b = new Bench().fleet(2, 0);
        for (int i = 0; i < 200; i++) {
            Bench.Done send = b.request(Bench.SAFE);
            b.pass(5_000).module.outcome(b.now, send.id(), 0, send.host(), Outcome.OK, 5_000, true, new LoadReport(1, 1));
        }
        int[] sent = new int[2];
        for (int i = 0; i < 16; i++) {
            sent[b.request(Bench.SAFE).host().charAt(1) - '0']++;
        }
        assertThat(sent).as("at each host").doesNotContain(0);
        assertThat(Math.max(sent[0], sent[1])).isGreaterThanOrEqualTo(8);
        b.pass(21_000).module.timerFired(b.now, 1);
        assertThat(b.count("cancel")).isZero();
        b.pass(100_000).module.timerFired(b.now, 1);
        assertThat(b.count("cancel")).as("nothing came for long").isPositive();
    }

    /** An attempt is waited for from the moment at which it is held back no longer, however late that is. */
    @Test
    void silenceCountsFromTheStartOfAnAttempt() {
        Bench b = new Bench().fleet(2, 0);
        answered(b, Bench.SAFE, 5_000);
        List<Bench.Done> sent = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            sent.add(b.request(Bench.SAFE));
        }
        b.pass(60_000);
        sent.forEach(send -> b.module.attemptStarted(b.now, send.id()));
        b.pass(9_000).module.timerFired(b.now, 1);
        assertThat(b.count("cancel")).isZero();
        b.pass(100_000).module.timerFired(b.now, 1);
        assertThat(b.count("cancel")).as("nothing came for long").isPositive();
    }

    /** A long request can be answered from its last byte on: the time in which it came was taken for its host's silence. */
    @Test
    void silenceCountsFromTheLastByteOfALongRequest() {
        Bench b = new Bench();
        b.module.fleet(b.now, ListKind.RESTORED, Stream.of("a0", "a1", "a2")
                .map(name -> new FleetEntry(name, 0, 0, HostState.READY, 4, 0)).toList());
        answered(b, Bench.SAFE, 5_000);
        Bench.Done slower = b.request(Bench.KEYED_ALL);
        Bench.Done upload = b.request(Bench.SAFE);
        assertThat(upload.host()).isEqualTo(slower.host());
        b.module.bodyProgress(b.now, upload.id(), BodyStage.ARRIVING);
        b.pass(300_000).module.bodyProgress(b.now, upload.id(), BodyStage.COMPLETE);
        b.pass(5_000).module.timerFired(b.now, 1);
        assertThat(b.lines).noneMatch(line -> line.startsWith("passed over"));
        b.pass(200_000).module.timerFired(b.now, 1);
        assertThat(b.lines).as("nothing came for long").anyMatch(line -> line.startsWith("passed over for silence"));
    }

    /** A pause of some milliseconds, of this process or of the machine, was a silence of hosts that answer in one. */
    @Test
    void aShortPauseIsNoSilenceOfAQuickHost() {
        Bench b = new Bench().fleet(2, 0);
        answered(b, Bench.SAFE, 1_000);
        for (int i = 0; i < 16; i++) {
            b.module.attemptStarted(b.now, b.request(Bench.SAFE).id());
        }
        b.pass(30_000).module.timerFired(b.now, 1);
        assertThat(b.count("cancel")).isZero();
        b.pass(20_000).module.timerFired(b.now, 1);
        assertThat(b.count("cancel")).as("nothing came for long").isPositive();
    }

    /**
     * Answers whose first line is quick and whose rest comes late, as of hosts that write twice and wait for an
     * acknowledgement between, 40 ms: each was waited for as if it was over with its first line.
     */
    @Test
    void silenceIsMeasuredByTheWaitForWholeAnswers() {
        Bench b = new Bench().fleet(2, 0);
        for (int i = 0; i < 200; i++) {
            Bench.Done send = b.request(Bench.SAFE);
            b.module.attemptStarted(b.now, send.id());
            b.pass(40_000).module.outcome(b.now, send.id(), 0, send.host(), Outcome.OK, 1_000, true, new LoadReport(1, 1));
        }
        b.module.attemptStarted(b.now, b.request(Bench.SAFE).id());
        b.pass(45_000).module.timerFired(b.now, 1);
        assertThat(b.lines).isEmpty();
        b.pass(700_000).module.timerFired(b.now, 1);
        assertThat(b.lines).as("nothing came for long").hasSize(1).allMatch(l -> l.startsWith("passed over for silence"));
    }

    private static void answered(Bench b, int type, long tookUs) {
        for (int i = 0; i < 200; i++) {
            Bench.Done send = b.request(type);
            b.pass(tookUs).module.outcome(b.now, send.id(), 0, send.host(), Outcome.OK, tookUs, true, new LoadReport(1, 1));
        }
    }
}
