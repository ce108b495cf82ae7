package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LongBodyThrottleTest {
    private static final long INTERVAL_US = 150_000;

    @Test
    void pausesBeforeTheCpuShareIsUsedUpAndStopsWhenIdle() {
        LongBodyThrottle throttle = new LongBodyThrottle(0.5);
        throttle.recordCpuUse(INTERVAL_US / 5, INTERVAL_US);
        assertThat(throttle.pauseMs()).as("two fifths of the share used: no pause").isZero();
        for (int i = 0; i < 3; i++) {
            long before = throttle.pauseMs();
            throttle.recordCpuUse(INTERVAL_US * 2 / 5, INTERVAL_US);
            assertThat(throttle.pauseMs()).as("four fifths of the share used: the pause grows").isGreaterThan(before);
        }
        for (int i = 0; i < 100; i++) {
            throttle.recordCpuUse(INTERVAL_US, INTERVAL_US);
        }
        assertThat(throttle.pauseMs()).as("the pause is bounded").isLessThan(2_000);
        for (int i = 0; i < 50; i++) {
            throttle.recordCpuUse(0, INTERVAL_US);
        }
        assertThat(throttle.pauseMs()).isZero();
    }

    @Test
    void pausesAfterALateWakeUp() {
        LongBodyThrottle throttle = new LongBodyThrottle(1);
        throttle.recordWakeUp(500);
        assertThat(throttle.pauseMs()).isZero();
        throttle.recordWakeUp(20_000);
        assertThat(throttle.pauseMs()).isPositive();
    }
}
