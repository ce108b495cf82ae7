package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class IdleFailureRatesTest {
    @Test
    void avoidsIdleTimesWithFailuresUntilTheirRateHasDecayed() {
        AtomicLong now = new AtomicLong(1_000_000);
        IdleFailureRates rates = new IdleFailureRates(now::get);
        for (int i = 0; i < 40; i++) {
            rates.recordAttempt(5_000, false);
            rates.recordAttempt(200_000, i % 2 == 0);
        }
        assertThat(rates.isAcceptable(6_000)).isTrue();
        assertThat(rates.isAcceptable(190_000)).isFalse();
        assertThat(rates.isAcceptable(5_000_000)).as("idle for even longer").isFalse();
        now.addAndGet(60_000_000);
        assertThat(rates.isAcceptable(190_000)).as("tried again later").isTrue();
    }

    @Test
    void acceptsAllIdleTimesIfNewConnectionsFailAsOften() {
        IdleFailureRates rates = new IdleFailureRates(() -> 0);
        for (int i = 0; i < 300; i++) {
            rates.recordAttempt(i % 10 == 0 ? -1 : 1_000L << i % 10, i / 10 % 3 == 0);
        }
        assertThat(rates.isAcceptable(400_000)).isTrue();
    }
}
