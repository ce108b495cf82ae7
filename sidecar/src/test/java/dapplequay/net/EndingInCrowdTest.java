package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An ending with many idle clients, and as many at the door. */
@Timeout(60)
class EndingInCrowdTest extends ClosesWhatItOpened {
    private static final int IDLE = 20;
    private static final int WAITING = 200;

    /** A thread for each who waited took all processor time, and requests that had been read were cut off. */
    @ParameterizedTest
    @CsvSource({"40, 10", "24, 1000"})
    void whoWaitsAtTheDoorIsNotLetInAndWhoHasAskedIsAnswered(int most, int crowd) throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        Host host = open(new Host((head, seen) -> {
            answers.await();
            return Host.ok("done");
        }));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), most, crowd, Socket::new, host.port()));
        Host.Client asks = rig.client();
        rig.accepted();
        asks.send(ClientRig.pay("asks"));
        host.next();
        for (int i = 0; i < IDLE; i++) {
            rig.client();
            rig.accepted();
        }
        rig.lifetime.end(0);
        for (int i = 0; i < WAITING; i++) {
            try {
                rig.client();
            } catch (IOException e) {
                break;                  // the door is shut
            }
        }
        answers.countDown();
        assertThat(asks.answer().status()).isEqualTo(200);
        assertThat(rig.accepted).as("who was let in since").hasSizeLessThanOrEqualTo(1);
    }
}
