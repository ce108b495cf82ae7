package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndingTest {
    /** Shortest aim and longest deadline, ms; the platform ends it by force after the deadline, 3 s at most, and 0.7 s. */
    @ParameterizedTest
    @CsvSource({"600, 2000, 2150, 2450", "330, 1100, 1385, 1550", "250, 4000, 3325, 3450", "200, 300, 650, 750",
        "600, 600, 750, 1050"})
    void whoHasAConnectionIsServedAsLongAsItsAnswerFits(long aimMs, long deadlineMs, long serveMs, long heldMs) {
        Ending ending = Ending.of(aimMs * 1_000, deadlineMs * 1_000);
        assertThat(ending.serveUs()).isEqualTo(serveMs * 1_000);
        assertThat(ending.heldUs()).isEqualTo(heldMs * 1_000);
        assertThat(ending.lateUs()).isGreaterThan(400_000).isLessThanOrEqualTo(ending.serveUs());
        assertThat(ending.heldUs()).isLessThan((Math.min(deadlineMs, 3_000) + 700) * 1_000 - 200_000);
        assertThat(ending.closedUs()).isEqualTo((heldMs + 100) * 1_000);
        assertThat(ending.latestUs()).isEqualTo((heldMs + 150) * 1_000);
        assertThat(ending.handingOver()).isEqualTo(new Ending(0, 0, ending.heldUs()));
    }
}
