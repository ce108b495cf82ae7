package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

class SpareConnectionPolicyTest {
    private final SpareConnectionPolicy policy = new SpareConnectionPolicy();
    private final Endpoints.Endpoint upstream = endpoint(1);
    private long nowUs = 1_000_000;

    private static Endpoints.Endpoint endpoint(int port) {
        return new Endpoints.Endpoint("s" + port, new InetSocketAddress("127.0.0.1", port), 0);
    }

    private void sendAttempts(Endpoints.Endpoint to, int count, long gapUs) {
        for (int i = 0; i < count; i++) {
            policy.attemptSent(to, nowUs);
            nowUs += gapUs;
        }
    }

    /** A handshake costs the upstream time: a connection that would be closed unused is not worth it. */
    @Test
    void wantsSpareConnectionOnlyAtASteadyHighRate() {
        sendAttempts(upstream, SpareConnectionPolicy.WINDOW_ATTEMPTS, 10 * SpareConnectionPolicy.MAX_MEAN_GAP_US);
        assertThat(policy.wantsSpare(upstream, nowUs, 1)).as("mean gap too long").isFalse();
        sendAttempts(upstream, SpareConnectionPolicy.WINDOW_ATTEMPTS - 1, SpareConnectionPolicy.MAX_MEAN_GAP_US / 2);
        assertThat(policy.wantsSpare(upstream, nowUs, 1)).as("too few attempts").isFalse();
        sendAttempts(upstream, 1, 0);
        assertThat(policy.wantsSpare(upstream, nowUs, 1)).isTrue();
        assertThat(policy.wantsSpare(endpoint(2), nowUs, 1)).as("another upstream").isFalse();
        assertThat(policy.wantsSpare(upstream,
                nowUs + SpareConnectionPolicy.WINDOW_ATTEMPTS * SpareConnectionPolicy.MAX_MEAN_GAP_US, 1))
                .as("after a pause").isFalse();
    }

    /** If connects are slow, each waiting attempt would open a further connection. */
    @Test
    void limitsConnectionsThatAreOpeningAtTheSameTime() {
        sendAttempts(upstream, SpareConnectionPolicy.WINDOW_ATTEMPTS, 1_000);
        policy.openStarted(upstream);
        assertThat(policy.wantsSpare(upstream, nowUs, 2)).isTrue();
        policy.openStarted(upstream);
        assertThat(policy.wantsSpare(upstream, nowUs, 2)).isFalse();
        policy.openEnded(upstream, true, nowUs);
        assertThat(policy.wantsSpare(upstream, nowUs, 2)).isTrue();
    }

    /** An upstream that accepts no more connections must not get a connect for each attempt. */
    @Test
    void opensNoneForAWhileAfterAFailedConnect() {
        policy.openStarted(upstream);
        policy.openEnded(upstream, false, nowUs);
        long failedUs = nowUs;
        sendAttempts(upstream, SpareConnectionPolicy.WINDOW_ATTEMPTS, 1_000);
        assertThat(policy.wantsSpare(upstream, nowUs, 2)).isFalse();
        nowUs = failedUs + UpstreamPool.SPARE_IDLE_US;
        sendAttempts(upstream, SpareConnectionPolicy.WINDOW_ATTEMPTS, 1_000);
        assertThat(policy.wantsSpare(upstream, nowUs, 2)).isTrue();
    }
}
