package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.Group;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalancerApi.Semantics;
import dapplequay.BalancerApi.ServiceClass;
import dapplequay.BalancerApi.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Hosts that report no load: only the answer times of own requests show how fast they are. */
class UnreportedLoadTest {
    /**
     * Four hosts answer in 20 ms, one request after the other: five in flight at each take a third of the aim of
     * 300 ms. The tenant is over its share, but no other tenant sends requests.
     */
    @Test
    void capacityShownByAnswerTimesIsUsed() {
        assertThat(sentAtOnceAfter(20_000)).isGreaterThanOrEqualTo(4 * 5);
    }

    /** An answer may take long without a queue, as the host waits for others: that alone makes no host full. */
    @Test
    void longAnswerTimesAloneAreNoQueue() {
        assertThat(sentAtOnceAfter(150_000)).isGreaterThanOrEqualTo(4 * 4);
    }

    /** Returns how many requests are sent before one is refused, after many that took this long, one at a time. */
    private static int sentAtOnceAfter(long tookUs) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.balancers = 1;
        setup.classes = List.of(new ServiceClass("quote", 300_000, 0, 1_000_000, 0, 1, Semantics.RETRYABLE, Group.ALL,
                4_000_000, false));
        setup.tenants = List.of(new Tenant("a", 0.6, 2_000), new Tenant("b", 0.4, 2_000));
        BalanceRig rig = new BalanceRig(setup).fleet(4, 0);
        for (int i = 0; i < 300; i++) {
            BalanceRig.Action send = rig.request(0);
            assertThat(send.kind()).isEqualTo("send");
            rig.advance(tookUs).module.outcome(rig.now, send.id(), 0, send.host(), Outcome.OK, tookUs, true, null);
        }
        int sent = 0;
        while (rig.request(0).kind().equals("send")) {
            sent++;
        }
        return sent;
    }
}
