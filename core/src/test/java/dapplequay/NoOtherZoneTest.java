package dapplequay;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.Bench.Done;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A zone is left for another one. Where there is none, failures in a row are single hosts' failures. */
class NoOtherZoneTest {
    private static Bench fleet(int zones) {
        Bench.Setup setup = new Bench.Setup();
        setup.zones = zones;
        return new Bench(setup).fleet(8, 0);
    }

    private static void failInARow(Bench b, int count) {
        for (int i = 0; i < count; i++) {
            Done send = b.request(Bench.UNSAFE);
            b.pass(1_000);
            b.outcome(send, Outcome.CONNECT_FAILED);
        }
    }

    /** The only zone was lost by four failures, and all went to one host; settings may name zones that have no hosts. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void theOnlyZoneWithHostsIsNotLost(int zones) {
        Bench b = fleet(zones);
        failInARow(b, 6);
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            b.pass(10_000);
            Done send = b.request(Bench.UNSAFE);
            assertThat(send.what()).isEqualTo("send");
            met.add(send.host());
        }
        assertThat(met).hasSizeGreaterThan(2);
        assertThat(b.lines).noneMatch(line -> line.startsWith("zone lost") || line.startsWith("zone back"));
    }

    /** Whoever came back in it was taken for cold, and got next to nothing for as long as a start takes. */
    @Test
    void noHostIsTakenForColdAsOthersFailed() {
        Bench b = fleet(1);
        failInARow(b, 6);
        for (int i = 0; i < 20; i++) {
            b.pass(10_000);
            b.answered(Bench.SAFE, 1);
        }
        assertThat(b.module.set.servers.values()).allSatisfy(s -> assertThat(s.warmth(b.now)).isEqualTo(1));
    }

    @Test
    void whereAllZonesFailNoneCountsAsLostAndTheFirstToAnswerIsNotTakenForCold() {
        Bench b = new Bench().fleet(6, 6);
        for (int i = 0; i < 40; i++) {
            b.pass(20_000);
            Done send = b.request(Bench.SAFE);
            for (int attempt = 0; send != null && send.what().equals("send"); attempt++) {
                b.pass(1_000);
                send = b.outcome(send, attempt, Outcome.CONNECT_FAILED, null);
            }
        }
        assertThat(b.module.set.zoneLoss.isLost(0) && b.module.set.zoneLoss.isLost(1)).isFalse();
        b.pass(2_000_000);
        for (int i = 0; i < 30; i++) {
            b.pass(50_000);
            Done send = b.request(Bench.SAFE);
            if (send.host() != null) {
                b.outcome(send, 0, Outcome.OK, new LoadReport(1, 1));
            }
        }
        assertThat(b.module.set.servers.values()).filteredOn(s -> s.lastAnswerAt > 0)
                .anySatisfy(s -> assertThat(s.warmth(b.now)).isEqualTo(1));
    }

    /** As before: with another zone there, a lost one is left, and what is back is taken for cold. */
    @Test
    void aZoneIsStillLeftForAnother() {
        Bench b = new Bench().fleet(6, 6);
        failInARow(b, 5);
        assertThat(b.module.set.zoneLoss.isLost(0)).isTrue();
        assertThat(b.lines).contains("zone lost: zone0");
        for (int i = 0; i < 5; i++) {
            b.pass(10_000);
            Done send = b.request(Bench.SAFE);
            assertThat(send.host()).startsWith(i == 0 ? "" : "b");
        }
    }
}
