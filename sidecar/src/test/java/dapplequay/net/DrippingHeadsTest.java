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

/** Many clients that send their request head byte by byte, beside clients that send whole requests. */
@Timeout(90)
class DrippingHeadsTest {
    private static final int MAX_CONNECTIONS = 20;
    private static final int WHOLE_REQUESTS = 30;
    private static final long DRIP_INTERVAL_MS = 40;
    private static final long HEAD_TIMEOUT_MS = 2_000;
    /** Twice the 2.3 s for a head and 1 s for the client's close, and time until queued clients are accepted. */
    private static final long END_TIMEOUT_S = 10;

    private static CompletableFuture<String> dripHead(Host.Client dripping) {
        CompletableFuture<String> end = new CompletableFuture<>();
        Host.daemon(() -> {
            try {
                end.complete("" + dripping.answer().status());
            } catch (SocketTimeoutException e) {
                end.complete("not ended");
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

    /** Half as many dripping clients as may be connected, and three times as many as may be. */
    @ParameterizedTest
    @ValueSource(ints = {MAX_CONNECTIONS / 2, 3 * MAX_CONNECTIONS})
    void wholeRequestsAreServedAndDrippingClientsAreDisconnected(int drippingClients) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"));
                ClientRig rig = new ClientRig(new ClientRig.Hooks(), MAX_CONNECTIONS, host.port())) {
            Host.Client known = rig.client();
            known.send(ClientRig.pay("known"));
            assertThat(known.answer().status()).isEqualTo(200);
            List<CompletableFuture<String>> ends = new ArrayList<>();
            for (int i = 0; i < drippingClients; i++) {
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
            assertThat(slowestMs).as("no client waits until a dripping head times out").isLessThan(HEAD_TIMEOUT_MS);
            for (CompletableFuture<String> end : ends) {
                assertThat(end.get(END_TIMEOUT_S, TimeUnit.SECONDS)).isIn("408", "closed");
            }
        }
    }
}
