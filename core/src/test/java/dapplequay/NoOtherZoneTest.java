package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalanceRig.Action;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A zone is lost only if there is another to use; otherwise failures in a row count against single hosts. */
class NoOtherZoneTest {
    private static BalanceRig fleet(int zones) {
        BalanceRig.Setup setup = new BalanceRig.Setup();
        setup.zones = zones;
        return new BalanceRig(setup).fleet(8, 0);
    }

    private static void failInARow(BalanceRig rig, int count) {
        for (int i = 0; i < count; i++) {
            Action send = rig.request(BalanceRig.FRAGILE);
            rig.advance(1_000);
            rig.outcome(send, Outcome.CONNECT_FAILED);
        }
    }

    /**
     * Guards against losing the only zone after four failures, when one host got all requests. The settings may name
     * further zones that have no hosts.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void theOnlyZoneWithHostsIsNotLost(int zones) {
        BalanceRig rig = fleet(zones);
        failInARow(rig, 6);
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            rig.advance(10_000);
            Action send = rig.request(BalanceRig.FRAGILE);
            assertThat(send.kind()).isEqualTo("send");
            met.add(send.host());
        }
        assertThat(met).hasSizeGreaterThan(2);
        assertThat(rig.logLines).noneMatch(line -> line.startsWith("zone lost") || line.startsWith("zone back"));
    }

    /** Guards against taking hosts of the only zone for cold when they answer again: they got few requests for long. */
    @Test
    void noHostCountsAsColdBecauseOthersFailed() {
        BalanceRig rig = fleet(1);
        failInARow(rig, 6);
        for (int i = 0; i < 20; i++) {
            rig.advance(10_000);
            rig.requestAndAnswer(BalanceRig.RETRYABLE, 1);
        }
        assertThat(rig.module.set.servers.values()).allSatisfy(s -> assertThat(s.warmth(rig.now)).isEqualTo(1));
    }

    @Test
    void ifAllZonesFailNoneIsLostAndTheFirstHostToAnswerIsNotCold() {
        BalanceRig rig = new BalanceRig().fleet(6, 6);
        for (int i = 0; i < 40; i++) {
            rig.advance(20_000);
            Action send = rig.request(BalanceRig.RETRYABLE);
            for (int attempt = 0; send != null && send.kind().equals("send"); attempt++) {
                rig.advance(1_000);
                send = rig.outcome(send, attempt, Outcome.CONNECT_FAILED, null);
            }
        }
        assertThat(rig.module.set.zoneLoss.isLost(0) && rig.module.set.zoneLoss.isLost(1)).isFalse();
        rig.advance(2_000_000);
        for (int i = 0; i < 30; i++) {
            rig.advance(50_000);
            Action send = rig.request(BalanceRig.RETRYABLE);
            if (send.host() != null) {
                rig.outcome(send, 0, Outcome.OK, new LoadReport(1, 1));
            }
        }
        assertThat(rig.module.set.servers.values()).filteredOn(s -> s.lastAnswerAt > 0)
                .anySatisfy(s -> assertThat(s.warmth(rig.now)).isEqualTo(1));
    }

    /** With another zone to use, a lost zone is avoided. */
    @Test
    void lostZoneIsAvoidedIfThereIsAnother() {
        BalanceRig rig = new BalanceRig().fleet(6, 6);
        failInARow(rig, 5);
        assertThat(rig.module.set.zoneLoss.isLost(0)).isTrue();
        assertThat(rig.logLines).contains("zone lost: zone0");
        for (int i = 0; i < 5; i++) {
            rig.advance(10_000);
            Action send = rig.request(BalanceRig.RETRYABLE);
            assertThat(send.host()).startsWith(i == 0 ? "" : "b");
        }
    }
}
