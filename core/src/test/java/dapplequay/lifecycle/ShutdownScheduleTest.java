package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ShutdownScheduleTest {
    /** The platform kills the process after the longest deadline, counted as at most 3 s, plus 0.7 s. */
    @ParameterizedTest
    @CsvSource({"600, 2000, 2150, 2450", "330, 1100, 1385, 1550", "250, 4000, 3325, 3450", "200, 300, 650, 750",
        "600, 600, 750, 1050"})
    void keepsConnectionsAliveWhileAnAnswerStillFits(long aimMs, long deadlineMs, long keepAliveUntilMs,
            long answerUntilMs) {
        ShutdownSchedule schedule = ShutdownSchedule.of(aimMs * 1_000, deadlineMs * 1_000);
        assertThat(schedule.keepAliveUntilUs()).isEqualTo(keepAliveUntilMs * 1_000);
        assertThat(schedule.answerUntilUs()).isEqualTo(answerUntilMs * 1_000);
        assertThat(schedule.acceptUntilUs()).isGreaterThan(400_000).isLessThanOrEqualTo(schedule.keepAliveUntilUs());
        assertThat(schedule.answerUntilUs()).isLessThan((Math.min(deadlineMs, 3_000) + 700) * 1_000 - 200_000);
        assertThat(schedule.closeConnectionsAtUs()).isEqualTo((answerUntilMs + 100) * 1_000);
        assertThat(schedule.exitByUs()).isEqualTo((answerUntilMs + 150) * 1_000);
        assertThat(schedule.forHandover()).isEqualTo(new ShutdownSchedule(0, 0, schedule.answerUntilUs()));
    }
}
