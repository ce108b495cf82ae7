package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadTextTest {
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "inflight=7,queue=2,latency_ms=1.5; 2; 7", " queue = 3 ; 3; NaN", "inflight=x,queue=; NaN; NaN",
        "inflight=-1; NaN; NaN", "; ; ",
    })
    void loadReportsAreReadAsFarAsTheyMakeSense(String text, Double queue, Double inFlight) {
        var load = LoadText.read(text);
        if (text == null) {
            assertThat(load).isNull();
        } else {
            assertThat(load.queue()).isEqualTo(queue);
            assertThat(load.inFlight()).isEqualTo(inFlight);
        }
    }
}
