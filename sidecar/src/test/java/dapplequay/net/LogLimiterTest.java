package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** How many lines of one kind are logged. */
class LogLimiterTest {
    private static final long INTERVAL_US = 1_000;

    private long nowUs;

    @Test
    void linesBeyondTheBurstAreCountedAndToldWithTheNextOne() {
        LogLimiter limiter = new LogLimiter(() -> nowUs, INTERVAL_US, 2);
        assertThat(limiter.tryAcquire()).isZero();
        assertThat(limiter.tryAcquire()).isZero();
        assertThat(limiter.tryAcquire()).isNegative();
        assertThat(limiter.tryAcquire()).isNegative();
        nowUs += INTERVAL_US;
        long omitted = limiter.tryAcquire();
        assertThat(omitted).isEqualTo(2);
        assertThat(LogLimiter.omittedNote(omitted)).isEqualTo("; 2 such lines left out");
        assertThat(limiter.tryAcquire()).isZero();
        assertThat(LogLimiter.omittedNote(0)).isEmpty();
    }
}
