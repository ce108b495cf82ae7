package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LagMonitorTest {
    private static final long START_US = 1_000_000;

    @Test
    void isLateForAWhileAfterTheStart() {
        LagMonitor monitor = new LagMonitor(START_US);
        assertThat(monitor.isLate(START_US + 10_000)).isTrue();
        for (long timeUs = START_US; timeUs < START_US + 2_000_000; timeUs += 10_000) {
            monitor.recordWakeUp(timeUs);
        }
        assertThat(monitor.isLate(START_US + 2_000_000)).isFalse();
    }

    @Test
    void isLateWhileAWakeUpIsOverdueAndForAWhileAfter() {
        LagMonitor monitor = new LagMonitor(START_US);
        long lastUs = START_US + 2_000_000;
        monitor.recordWakeUp(lastUs - 10_000);
        monitor.recordWakeUp(lastUs);
        long quietUs = lastUs + 600_000;
        for (long timeUs = lastUs; timeUs <= quietUs; timeUs += 10_000) {
            monitor.recordWakeUp(timeUs);
        }
        assertThat(monitor.isLate(quietUs + 30_000)).isFalse();
        assertThat(monitor.isLate(quietUs + 50_000)).isTrue();
        monitor.recordWakeUp(quietUs + 300_000);
        assertThat(monitor.isLate(quietUs + 301_000)).isTrue();
        monitor.recordWakeUp(quietUs + 310_000);
        assertThat(monitor.isLate(quietUs + 400_000)).isTrue();
    }

    @Test
    void isLateAfterALongWaitForRoom() {
        LagMonitor monitor = new LagMonitor(START_US - 10_000_000);
        monitor.recordWakeUp(START_US - 10_000);
        monitor.recordWakeUp(START_US);
        for (long timeUs = START_US; timeUs < START_US + 600_000; timeUs += 10_000) {
            monitor.recordWakeUp(timeUs);
        }
        long nowUs = START_US + 600_000;
        monitor.recordWait(nowUs - 20_000, nowUs);
        assertThat(monitor.isLate(nowUs)).isFalse();
        monitor.recordWait(nowUs - 60_000, nowUs);
        assertThat(monitor.isLate(nowUs)).isTrue();
    }
}
