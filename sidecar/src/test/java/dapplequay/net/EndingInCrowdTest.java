package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A shutdown with many idle clients, and many more in the listener's queue. */
@Timeout(60)
class EndingInCrowdTest extends ClosesWhatItOpened {
    private static final int IDLE_CLIENTS = 20;
    private static final int QUEUED_CLIENTS = 200;

    /** A thread for each queued client took all processor time, so that requests already read were cut off. */
    @ParameterizedTest
    @CsvSource({"40, 10", "24, 1000"})
    void queuedClientsAreNotAcceptedAndRequestsInProgressAreAnswered(int maxConnections, int crowdThreshold)
            throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        Host host = open(new Host((head, request) -> {
            mayAnswer.await();
            return Host.ok("done");
        }));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), maxConnections, crowdThreshold, Socket::new,
                host.port()));
        Host.Client asking = rig.client();
        rig.accepted();
        asking.send(ClientRig.pay("asks"));
        host.next();
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            rig.client();
            rig.accepted();
        }
        rig.lifecycle.end(0);
        for (int i = 0; i < QUEUED_CLIENTS; i++) {
            try {
                rig.client();
            } catch (IOException e) {
                break;                  // the listening socket is closed
            }
        }
        mayAnswer.countDown();
        assertThat(asking.answer().status()).isEqualTo(200);
        assertThat(rig.accepted).as("clients accepted since the shutdown began").hasSizeLessThanOrEqualTo(1);
    }
}
