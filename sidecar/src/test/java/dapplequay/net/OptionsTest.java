package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the limits are divided if two processes share a listening socket and the limits. */
class OptionsTest {
    @ParameterizedTest
    @CsvSource({"160,192", "256,192", "1024,192", "1024,512"})
    void twoProcessesAtOneSocketFitTheLimitsTogether(int sockets, int memoryMb) {
        Sidecar.Options sharing = new Sidecar.Options(null, null, null, 0, 1, sockets, memoryMb, null, null, true);
        Sidecar.Options single = new Sidecar.Options(null, null, null, 0, 1, sockets, memoryMb, null, null, false);
        assertThat(sharing.maxClients() + sharing.maxUpstreams()).isEqualTo(sharing.maxConnections());
        assertThat(2 * (32 + sharing.maxConnections())).isLessThanOrEqualTo(sockets);
        assertThat(2 * (75 + 0.11 * sharing.maxConnections())).isLessThanOrEqualTo(memoryMb);
        assertThat(sharing.crowdThreshold()).isLessThan(sharing.maxClients())
                .isLessThanOrEqualTo(single.crowdThreshold());
        assertThat(single.crowdThreshold()).isEqualTo(sockets / 4);
    }
}
