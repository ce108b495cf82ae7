package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients whose heads drip in byte by byte, many at once, beside such that send whole requests. */
@Timeout(90)
class DrippingHeadsTest {
    private static final int MAX_CONNECTIONS = 20;
    private static final int WHOLE_REQUESTS = 30;
    private static final long DRIP_INTERVAL_MS = 40;
    private static final long HEAD_TIMEOUT_MS = 2_000;
    /** A head has 2.3 s, a client 1 s for its own close: twice that, and for those at the door until they are in. */
    private static final long END_TIMEOUT_S = 10;

    private static CompletableFuture<String> dripHead(Host.Client dripping) {
        CompletableFuture<String> end = new CompletableFuture<>();
        Host.daemon(() -> {
            try {
                end.complete("" + dripping.answer().status());
            } catch (SocketTimeoutException e) {
                end.complete("left alone");
            } catch (IOException e) {
                end.complete("closed");
            }
        });
        Host.daemon(() -> {
            dripping.send("POST /pay/x HTTP/1.1\r\nX-Drip: ");
            while (!end.isDone()) {
                dripping.send("x");
                Thread.sleep(DRIP_INTERVAL_MS);
            }
        });
        return end;
    }

    /** Half of what may be connected, and three times as much. */
    @ParameterizedTest
    @ValueSource(ints = {MAX_CONNECTIONS / 2, 3 * MAX_CONNECTIONS})
    void clientsWithWholeRequestsAreServedAndTheOthersEnd(int dripping) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"));
                ClientRig rig = new ClientRig(new ClientRig.Hooks(), MAX_CONNECTIONS, host.port())) {
            Host.Client known = rig.client();
            known.send(ClientRig.pay("known"));
            assertThat(known.answer().status()).isEqualTo(200);
            List<CompletableFuture<String>> ends = new ArrayList<>();
            for (int i = 0; i < dripping; i++) {
                ends.add(dripHead(rig.client()));
            }
            long slowestMs = 0;
            for (int i = 0; i < WHOLE_REQUESTS; i++) {
                long from = System.nanoTime();
                try (Host.Client whole = rig.client()) {
                    whole.send(ClientRig.pay("whole"));
                    assertThat(whole.answer().status()).isEqualTo(200);
                }
                slowestMs = Math.max(slowestMs, (System.nanoTime() - from) / 1_000_000);
                known.send(ClientRig.pay("known"));
                assertThat(known.answer().status()).isEqualTo(200);
            }
            assertThat(slowestMs).as("nobody waits for a head to be too late").isLessThan(HEAD_TIMEOUT_MS);
            for (CompletableFuture<String> end : ends) {
                assertThat(end.get(END_TIMEOUT_S, TimeUnit.SECONDS)).isIn("408", "closed");
            }
        }
    }
}
