package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How connections are divided where two processes are one to the limits. */
class PlanTest {
    @ParameterizedTest
    @CsvSource({"160,192", "256,192", "1024,192", "1024,512"})
    void twoProcessesAtOneDoorFitTheLimitsTogether(int sockets, int memoryMb) {
        Sidecar.Plan each = new Sidecar.Plan(null, null, null, 0, 1, sockets, memoryMb, null, null, true);
        Sidecar.Plan alone = new Sidecar.Plan(null, null, null, 0, 1, sockets, memoryMb, null, null, false);
        assertThat(each.mostClients() + each.mostUpstreams()).isEqualTo(each.mostConnections());
        assertThat(2 * (32 + each.mostConnections())).isLessThanOrEqualTo(sockets);
        assertThat(2 * (75 + 0.11 * each.mostConnections())).isLessThanOrEqualTo(memoryMb);
        assertThat(each.crowd()).isLessThan(each.mostClients()).isLessThanOrEqualTo(alone.crowd());
        assertThat(alone.crowd()).isEqualTo(sockets / 4);
    }
}
