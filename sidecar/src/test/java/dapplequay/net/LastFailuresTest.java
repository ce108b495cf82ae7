package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When the time for a shutdown is over, requests in progress fail, and each client gets an answer. */
@Timeout(60)
class LastFailuresTest {
    private static final long MARGIN_US = 30_000_000;
    private static final long WRITER_DELAY_MS = 5;

    private final CountDownLatch writeBlocked = new CountDownLatch(1);
    private volatile ClientRig.Accepted stuckClient;

    /** One thread wrote all failures in turn, so that a client that did not read held up the answers to all others. */
    @Test
    void clientThatDoesNotReadDoesNotHoldUpFailuresToOtherClients() throws Exception {
        ClientRig.Hooks hooks = new ClientRig.Hooks() {
            @Override
            void beforeWrite(ClientRig.Accepted connection) throws IOException {
                try {
                    if (connection == stuckClient) {
                        writeBlocked.countDown();
                        connection.closed.await();
                    }
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        List<Host.Client> clients = new ArrayList<>();
        try (Host host = new Host((head, request) -> {
            request.socket().getInputStream().read();
            return null;
        }); ClientRig rig = new ClientRig(hooks, 100, host.port())) {
            for (int i = 0; i < 3; i++) {
                clients.add(rig.client());
                clients.get(i).send(ClientRig.pay("held"));
                host.next();
            }
            stuckClient = rig.accepted();              // the first: its failure was written before all others
            Host.daemon(() -> rig.failHeldRequests(MARGIN_US));
            writeBlocked.await();
            for (Host.Client other : clients.subList(1, clients.size())) {
                assertThat(other.answer().status()).isEqualTo(504);
            }
            assertThat(stuckClient.closed.getCount()).as("the write to the first client still blocks").isEqualTo(1);
            stuckClient.close();
        }
    }

    /** A process that stood still until its connections were to be closed closed them without an answer. */
    @Test
    void failureIsWrittenHoweverLateTheProcessIs() throws Exception {
        ClientRig.Hooks hooks = new ClientRig.Hooks() {
            @Override
            void beforeWrite(ClientRig.Accepted connection) throws IOException {
                try {
                    Thread.sleep(WRITER_DELAY_MS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        try (Host host = new Host((head, request) -> {
            request.socket().getInputStream().read();
            return null;
        }); ClientRig rig = new ClientRig(hooks, 100, host.port())) {
            Host.Client client = rig.client();
            client.send(ClientRig.pay("held"));
            host.next();
            rig.failHeldRequests(0);
            assertThat(client.answer().status()).isEqualTo(504);
        }
    }
}
