package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The status of a failed request tells a host that did not answer in time (504) from one that failed (502). */
class FailureStatusTest {
    private static final int MAX_CONNECTIONS = 1;

    private final Exchange exchange = new UpstreamRig(MAX_CONNECTIONS).attempt("s0", Long.MAX_VALUE).exchange;

    /** An attempt that was cancelled because its host had fallen silent counted as a failure of the host. */
    @ParameterizedTest
    @EnumSource(value = AttemptEnd.class, names = {"TIMED_OUT", "SILENT"})
    void attemptWithoutAnAnswerInTimeIsATimeout(AttemptEnd end) {
        exchange.lastAttemptEnded(end);
        assertThat(exchange.failureStatus()).isEqualTo(504);
    }

    @ParameterizedTest
    @EnumSource(value = AttemptEnd.class, names = {"ERROR", "RESET", "NOT_CONNECTED"})
    void failedAttemptIsAnUpstreamFailure(AttemptEnd end) {
        exchange.lastAttemptEnded(end);
        assertThat(exchange.failureStatus()).isEqualTo(502);
    }

    @Test
    void statusIsThatOfTheLastAttempt() {
        exchange.lastAttemptEnded(AttemptEnd.SILENT);
        exchange.lastAttemptEnded(AttemptEnd.ERROR);
        assertThat(exchange.failureStatus()).isEqualTo(502);
    }
}
