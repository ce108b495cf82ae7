package dapplequay.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.recovery.LostCount.Belief;
import org.junit.jupiter.api.Test;

class LostCountTest {
    private static final long S = 1_000_000;

    @Test
    void anOlderListIsBelievedStepByStep() {
        LostCount count = new LostCount();
        assertThat(count.isLost()).isFalse();
        assertThat(count.heard(0)).isEqualTo(Belief.NAMED);
        assertThat(count.pauseUs(0)).as("a mistake is over by the next call").isZero();
        assertThat(count.heard(S / 10)).isEqualTo(Belief.NAMED);
        assertThat(count.pauseUs(S / 10)).isEqualTo(9 * S / 10);
        assertThat(count.heard(S)).isEqualTo(Belief.ENDS);
        assertThat(count.heard(30 * S - 1)).isEqualTo(Belief.ENDS);
        assertThat(count.heard(30 * S)).isEqualTo(Belief.ALL);
        count.forget();
        assertThat(count.isLost()).isFalse();
        assertThat(count.heard(31 * S)).isEqualTo(Belief.NAMED);
    }

    /** Calls far apart are few; one that never gives what it is asked for is not asked without a pause. */
    @Test
    void itTakesSeveralCallsAndTheyDoNotFollowWithoutEnd() {
        LostCount count = new LostCount();
        assertThat(count.heard(0)).isEqualTo(Belief.NAMED);
        assertThat(count.heard(5 * S)).as("a second one").isEqualTo(Belief.NAMED);
        assertThat(count.pauseUs(5 * S)).isZero();
        for (long now = 6 * S; now < 40 * S; now += S) {
            assertThat(count.heard(now)).isNotEqualTo(Belief.NAMED);
            assertThat(count.pauseUs(now)).isEqualTo(S);
        }
    }
}
