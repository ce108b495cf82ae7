package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

class SendPaceTest {
    private final SendPace pace = new SendPace();
    private final Endpoints.Endpoint upstream = endpoint(1);
    private long nowUs = 1_000_000;

    private static Endpoints.Endpoint endpoint(int port) {
        return new Endpoints.Endpoint("s" + port, new InetSocketAddress("127.0.0.1", port), 0);
    }

    private void send(Endpoints.Endpoint to, int many, long gapUs) {
        for (int i = 0; i < many; i++) {
            pace.sent(to, nowUs);
            nowUs += gapUs;
        }
    }

    /** A handshake is work for the upstream: a connection that would be closed again unused is not worth it. */
    @Test
    void aSpareConnectionIsWantedAtASteadyPaceAlone() {
        send(upstream, SendPace.WINDOW, 10 * SendPace.STEADY_GAP_US);
        assertThat(pace.wantsSpare(upstream, nowUs, 1)).as("too slow").isFalse();
        send(upstream, SendPace.WINDOW - 1, SendPace.STEADY_GAP_US / 2);
        assertThat(pace.wantsSpare(upstream, nowUs, 1)).as("too few").isFalse();
        send(upstream, 1, 0);
        assertThat(pace.wantsSpare(upstream, nowUs, 1)).isTrue();
        assertThat(pace.wantsSpare(endpoint(2), nowUs, 1)).as("another upstream").isFalse();
        assertThat(pace.wantsSpare(upstream, nowUs + SendPace.WINDOW * SendPace.STEADY_GAP_US, 1)).as("later").isFalse();
    }

    /** Where connections come up late, each attempt that waits would open a further one. */
    @Test
    void noMoreComeUpAtOnceThanAllowed() {
        send(upstream, SendPace.WINDOW, 1_000);
        pace.opening(upstream);
        assertThat(pace.wantsSpare(upstream, nowUs, 2)).isTrue();
        pace.opening(upstream);
        assertThat(pace.wantsSpare(upstream, nowUs, 2)).isFalse();
        pace.opened(upstream, true, nowUs);
        assertThat(pace.wantsSpare(upstream, nowUs, 2)).isTrue();
    }

    /** An upstream that takes no more connections is not asked for one by each attempt. */
    @Test
    void afterAFailureNoneIsOpenedForAWhile() {
        pace.opening(upstream);
        pace.opened(upstream, false, nowUs);
        long failedUs = nowUs;
        send(upstream, SendPace.WINDOW, 1_000);
        assertThat(pace.wantsSpare(upstream, nowUs, 2)).isFalse();
        nowUs = failedUs + UpstreamPool.SPARE_IDLE_US;
        send(upstream, SendPace.WINDOW, 1_000);
        assertThat(pace.wantsSpare(upstream, nowUs, 2)).isTrue();
    }
}
