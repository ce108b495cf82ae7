package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class IdleRiskTest {
    @Test
    void idleTimesAtWhichAttemptsBreakAreAvoidedForAWhile() {
        AtomicLong now = new AtomicLong(1_000_000);
        IdleRisk risk = new IdleRisk(now::get);
        for (int i = 0; i < 40; i++) {
            risk.note(5_000, false);
            risk.note(200_000, i % 2 == 0);
        }
        assertThat(risk.isAccepted(6_000)).isTrue();
        assertThat(risk.isAccepted(190_000)).isFalse();
        assertThat(risk.isAccepted(5_000_000)).as("still longer idle").isFalse();
        now.addAndGet(60_000_000);
        assertThat(risk.isAccepted(190_000)).as("tried again later").isTrue();
    }

    @Test
    void whatBreaksAtAnyIdleTimeIsNoReason() {
        IdleRisk risk = new IdleRisk(() -> 0);
        for (int i = 0; i < 300; i++) {
            risk.note(i % 10 == 0 ? -1 : 1_000L << i % 10, i / 10 % 3 == 0);
        }
        assertThat(risk.isAccepted(400_000)).isTrue();
    }
}
