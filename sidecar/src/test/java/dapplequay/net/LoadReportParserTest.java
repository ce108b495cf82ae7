package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadReportParserTest {
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "inflight=7,queue=2,latency_ms=1.5; 2; 7", " queue = 3 ; 3; NaN", "inflight=x,queue=; NaN; NaN",
        "inflight=-1; NaN; NaN", "; ; ",
    })
    void parsesTheValidFieldsOfAReport(String text, Double queue, Double inFlight) {
        var report = LoadReportParser.parse(text);
        if (text == null) {
            assertThat(report).isNull();
        } else {
            assertThat(report.queue()).isEqualTo(queue);
            assertThat(report.inFlight()).isEqualTo(inFlight);
        }
    }
}
