package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.Group;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalancerApi.Semantics;
import dapplequay.BalancerApi.ServiceClass;
import dapplequay.BalancerApi.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Hosts whose answers tell no load: nothing but what requests of one's own take shows how fast they are. */
class UnreportedLoadTest {
    /**
     * Four hosts that answer in 20 ms, one after the other: five out at each are a third of the aim of 300 ms. The
     * tenant is alone, beyond its share, and nobody else wants what they can do.
     */
    @Test
    void whatSuchHostsAreSeenToDoIsUsed() {
        assertThat(sentAtOnceAfter(20_000)).isGreaterThanOrEqualTo(4 * 5);
    }

    /** An answer may take long as it waits for others, and not for a queue: that alone makes no host full. */
    @Test
    void whatTakesLongIsNoQueue() {
        assertThat(sentAtOnceAfter(150_000)).isGreaterThanOrEqualTo(4 * 4);
    }

    /** How many requests are sent at once before one is refused, after many that took so long, one after the other. */
    private static int sentAtOnceAfter(long takesUs) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.balancers = 1;
        setup.classes = List.of(new ServiceClass("quote", 300_000, 0, 1_000_000, 0, 1, Semantics.RETRYABLE, Group.ALL,
                4_000_000, false));
        setup.tenants = List.of(new Tenant("a", 0.6, 2_000), new Tenant("b", 0.4, 2_000));
        BalanceRig rig = new BalanceRig(setup).fleet(4, 0);
        for (int i = 0; i < 300; i++) {
            BalanceRig.Action send = rig.request(0);
            assertThat(send.kind()).isEqualTo("send");
            rig.advance(takesUs).balance.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, takesUs, true, null);
        }
        int sent = 0;
        while (rig.request(0).kind().equals("send")) {
            sent++;
        }
        return sent;
    }
}
