package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients at the limit of connections. */
@Timeout(60)
class RoomForClientsTest extends ClosesWhatItOpened {
    private static final int MAX_CONNECTIONS = 2;
    /** Longer than an unproven client is kept when there is no room. */
    private static final long OLD_ENOUGH_US = 60_000;
    private static final int SERVICE_MS = 100;

    /** At the limit, a client without a request was disconnected though no other client waited for its place. */
    @Test
    void clientIsKeptWhileNobodyWaitsForItsPlace() throws Exception {
        Host host = open(new Host((head, request) -> {
            Thread.sleep(SERVICE_MS);
            return Host.ok("done");
        }));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), MAX_CONNECTIONS, host.port()));
        rig.stopClock(0);
        Host.Client quiet = rig.client();
        Host.Client asking = rig.client();
        rig.accepted();
        rig.accepted();
        rig.stopClock(OLD_ENOUGH_US);
        asking.send(ClientRig.pay("asking"));
        assertThat(asking.answer().status()).isEqualTo(200);
        rig.stopClock(UpstreamPool.SETTLE_US);
        quiet.send(ClientRig.pay("quiet"));
        assertThat(quiet.answer().status()).isEqualTo(200);
    }
}
