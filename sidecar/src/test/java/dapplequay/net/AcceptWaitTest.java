package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests whose connection waited to be accepted, as the limit of connections was reached. */
@Timeout(60)
class AcceptWaitTest extends ClosesWhatItOpened {
    private static final int MAX_CONNECTIONS = 2;
    private static final int BUDGET_MS = 2_000;
    /** How long the places stay taken, and how much less of it the request may have waited. */
    private static final int TAKEN_MS = 400;
    private static final int MARGIN_MS = 60;

    /** The time that a request waited in the accept queue was added to its budget. */
    @Test
    void timeInTheAcceptQueueCountsAsTimeOfTheRequest() throws Exception {
        Host host = open(new Host((head, request) -> {
            Thread.sleep(head.startLine[1].contains("late") ? 0 : TAKEN_MS);
            return Host.ok("done");
        }));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), MAX_CONNECTIONS, host.port()));
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            rig.client().send(ClientRig.pay("busy"));
        }
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            host.received.take();
        }
        Host.Client late = rig.client();
        late.send(ClientRig.pay("late", BUDGET_MS, 0).replace("/pay/x", "/pay/late"));
        assertThat(late.answer().status()).isEqualTo(200);
        long leftMs = Long.parseLong(host.received.take().head().get("X-Budget-Ms"));
        assertThat(leftMs).as("ms left of the budget").isLessThan(BUDGET_MS - TAKEN_MS + MARGIN_MS);
    }
}
