package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An idle connection is to be closed just when its thread has read a request from the socket. */
@Timeout(60)
class RequestInHandTest extends ClosesWhatItOpened {
    /** The request was read and then dropped without an answer, as its thread had not recorded the read yet. */
    @Test
    void requestThatHasJustBeenReadIsAnsweredThoughItsConnectionIsToBeClosed() throws Exception {
        AtomicBoolean closes = new AtomicBoolean();
        ClientRig[] rig = new ClientRig[1];
        Host host = open(new Host((head, request) -> Host.ok("done")));
        rig[0] = open(new ClientRig(new ClientRig.Hooks() {
            @Override
            void afterRead() {
                if (closes.getAndSet(false)) {
                    rig[0].lifecycle.end(0);
                    rig[0].tick();
                }
            }
        }, 100, host.port()));
        Host.Client client = rig[0].client();
        client.send(ClientRig.pay("first"));
        assertThat(client.answer().status()).isEqualTo(200);
        Thread.sleep(50);           // its thread is back in the read
        closes.set(true);
        client.send(ClientRig.pay("second"));
        assertThat(client.answer().status()).isEqualTo(200);
        assertThat(closes).isFalse();
        assertThat(client.atEnd()).as("the connection ends after this answer").isTrue();
    }
}
