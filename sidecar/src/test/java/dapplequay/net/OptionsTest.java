package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How connections are divided where two processes are one to the limits. */
class OptionsTest {
    @ParameterizedTest
    @CsvSource({"160,192", "256,192", "1024,192", "1024,512"})
    void twoProcessesAtOneDoorFitTheLimitsTogether(int sockets, int memoryMb) {
        Sidecar.Options each = new Sidecar.Options(null, null, null, 0, 1, sockets, memoryMb, null, null, true);
        Sidecar.Options alone = new Sidecar.Options(null, null, null, 0, 1, sockets, memoryMb, null, null, false);
        assertThat(each.maxClients() + each.maxUpstreams()).isEqualTo(each.maxConnections());
        assertThat(2 * (32 + each.maxConnections())).isLessThanOrEqualTo(sockets);
        assertThat(2 * (75 + 0.11 * each.maxConnections())).isLessThanOrEqualTo(memoryMb);
        assertThat(each.crowdThreshold()).isLessThan(each.maxClients()).isLessThanOrEqualTo(alone.crowdThreshold());
        assertThat(alone.crowdThreshold()).isEqualTo(sockets / 4);
    }
}
