package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Who is passed over for failures, and for how long. */
class SuspectsTest {
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
}
