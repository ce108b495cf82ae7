package dapplequay.time;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

class UnixClockTest {
    @Test
    void clockIsMonotonicAndReturnsUnixTime() {
        UnixClock clock = new UnixClock();
        long first = clock.getAsLong();
        assertThat(first / 1000).isCloseTo(System.currentTimeMillis(), Offset.offset(5_000L));
        assertThat(clock.getAsLong()).isGreaterThanOrEqualTo(first);
    }
}
