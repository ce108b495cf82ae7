package dapplequay.lab.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dapplequay.lab.model.HostModel.Admission;
import dapplequay.lab.model.HostModel.EndState;
import dapplequay.lab.model.HostModel.RequestEnd;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class HostModelTest {
    private static final long T0 = 1_000_000_000L;

    private final List<RequestEnd> ended = new ArrayList<>();

    private static UniformRandomProvider random() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    }

    private static HostModel warm(HostSpec spec) {
        return new HostModel(spec, random(), T0, false);
    }

    @Test
    void oneRequestTakesItsWorkAtTheSpeedOfACore() {
        HostModel model = warm(new HostSpec.Builder().cores(4).speed(2).build());
        assertThat(model.offer(T0, 1, 100_000, ended)).isEqualTo(Admission.WORKING);
        assertThat(model.nextEndUs()).isEqualTo(T0 + 50_000);
        model.advance(T0 + 50_000, ended);
        assertThat(ended).containsExactly(new RequestEnd(1, T0 + 50_000, EndState.SERVED, 100_000));
        assertThat(model.held()).isZero();
        assertThat(model.nextEndUs()).isEqualTo(Long.MAX_VALUE);
    }

    /** Six requests on one core, five of them waiting: after 1 s the host is 2.5 times as slow until it recovers. */
    @Test
    void sustainedOverloadSlowsAHostUntilItHasRecovered() {
        HostModel model = warm(new HostSpec.Builder().cores(1).slots(1)
                .chokes(new HostSpec.Choke(4, 1_000_000, 2.5, 0.5, 500_000, 60_000_000)).build());
        for (int i = 0; i < 6; i++) {
            model.offer(T0, i, 2_000_000, ended);
        }
        model.advance(T0 + 900_000, ended);
        assertThat(model.isChoked()).isFalse();
        model.advance(T0 + 1_100_000, ended);
        assertThat(model.isChoked()).isTrue();
        assertThat(model.capacity()).isEqualTo(0.4);
        model.advance(T0 + 1_000_000 + 27_400_000, ended);
        assertThat(ended).as("11 s of work at 0.4 from the first second on").hasSize(5);
        assertThat(model.isChoked()).as("the last request is still in work").isTrue();
        model.advance(T0 + 29_300_000, ended);
        assertThat(ended).hasSize(6);
        assertThat(model.isChoked()).isFalse();
        assertThat(model.chokes()).isOne();
    }

    @Test
    void aRememberedKeyCostsLessWorkUntilItIsForgotten() {
        HostModel model = warm(new HostSpec.Builder().cores(1).remembers(new HostSpec.Keys(0.5, 1_000_000, 2)).build());
        long at = T0;
        long id = 0;
        // Remembered (a), new (b), remembered (a), evicted by the third key (b), and expired (late).
        for (String key : List.of("a", "a", "b", "a", "c", "b", "late", "late")) {
            at += key.equals("late") ? 2_000_000 : 200_000;
            model.offer(at, id++, 100_000, key, ended);
            model.advance(at + 200_000, ended);
        }
        assertThat(ended).extracting(RequestEnd::workUs).containsExactly(100_000.0, 50_000.0, 100_000.0, 50_000.0,
                100_000.0, 100_000.0, 100_000.0, 100_000.0);
    }

    @Test
    void requestsInWorkShareTheCoresEvenly() {
        HostModel model = warm(new HostSpec.Builder().cores(1).slots(2).build());
        model.offer(T0, 1, 100_000, ended);
        model.offer(T0, 2, 40_000, ended);
        model.advance(T0 + 300_000, ended);
        assertThat(ended).extracting(RequestEnd::atUs).containsExactly(T0 + 80_000, T0 + 140_000);
    }

    @Test
    void beyondSlotsRequestsWaitInOrderAndBeyondRoomTheyAreRefused() {
        HostModel model = warm(new HostSpec.Builder().slots(1).room(1).build());
        assertThat(model.offer(T0, 1, 10_000, ended)).isEqualTo(Admission.WORKING);
        assertThat(model.offer(T0, 2, 10_000, ended)).isEqualTo(Admission.WAITING);
        assertThat(model.offer(T0, 3, 10_000, ended)).isEqualTo(Admission.FULL);
        model.advance(T0 + 100_000, ended);
        assertThat(ended).extracting(RequestEnd::id).containsExactly(1L, 2L);
        assertThat(ended.get(1).atUs()).isEqualTo(T0 + 20_000);
    }

    @Test
    void aCrowdedHostIsSlower() {
        HostSpec.Builder spec = new HostSpec.Builder().slots(8).room(100);
        HostModel sound = warm(spec.build());
        HostModel crowded = warm(spec.crowd(2, 1).build());
        for (int i = 0; i < 6; i++) {
            sound.offer(T0, i, 10_000, ended);
            crowded.offer(T0, i, 10_000, ended);
        }
        assertThat(sound.nextEndUs()).isEqualTo(T0 + 60_000);
        assertThat(crowded.nextEndUs()).isEqualTo(T0 + 180_000);
    }

    @Test
    void aColdHostWarmsUpLinearly() {
        HostSpec spec = new HostSpec.Builder().cold(0.5, 10_000_000).build();
        HostModel cold = new HostModel(spec, random(), T0, true);
        assertThat(cold.capacity()).isEqualTo(0.5);
        cold.advance(T0 + 5_000_000, ended);
        assertThat(cold.capacity()).isCloseTo(0.75, within(0.01));
        cold.advance(T0 + 10_000_000, ended);
        assertThat(cold.capacity()).isEqualTo(1);
    }

    @Test
    void aColdHostThatIsSentTooMuchCrashesForGood() {
        HostSpec spec = new HostSpec.Builder().cold(0.31, 8_800_000).tips(3, 3_000_000).build();
        HostModel cold = new HostModel(spec, random(), T0, true);
        int taken = 0;
        while (cold.offer(T0 + taken * 1_000, taken, 100_000, ended) != Admission.FALLEN) {
            taken++;
        }
        // 3 times the capacity just after the start, over 3 s, is 2.79 s of work and a little for the rise.
        assertThat(taken).isBetween(27, 30);
        assertThat(cold.isFallen()).isTrue();
        assertThat(cold.held()).isZero();
        assertThat(cold.offer(T0 + 60_000_000, 999, 1, ended)).isEqualTo(Admission.FALLEN);
        assertThat(cold.connect(T0 + 60_000_000, ended)).isFalse();
        HostModel warm = warm(spec);
        for (int i = 0; i < 34; i++) {
            assertThat(warm.offer(T0, i, 100_000, ended)).isNotEqualTo(Admission.FALLEN);
        }
    }

    @Test
    void cancellingStopsWorkOnlyIfTheHostSupportsIt() {
        HostModel stops = warm(new HostSpec.Builder().build());
        stops.offer(T0, 1, 100_000, ended);
        stops.giveUp(T0 + 30_000, 1, ended);
        assertThat(ended).containsExactly(new RequestEnd(1, T0 + 30_000, EndState.STOPPED, 30_000));
        assertThat(stops.wastedWorkUs()).isEqualTo(30_000);
        assertThat(stops.held()).isZero();
        ended.clear();
        HostModel goesOn = warm(new HostSpec.Builder().stopsOnCancel(false).build());
        goesOn.offer(T0, 1, 100_000, ended);
        goesOn.giveUp(T0 + 30_000, 1, ended);
        assertThat(ended).isEmpty();
        goesOn.advance(T0 + 100_000, ended);
        assertThat(ended).containsExactly(new RequestEnd(1, T0 + 100_000, EndState.STOPPED, 100_000));
        assertThat(goesOn.wastedWorkUs()).isEqualTo(100_000);
    }

    @Test
    void connectionsCostWorkAndAreCapped() {
        HostModel model = warm(new HostSpec.Builder().connections(1, 10_000).build());
        assertThat(model.connect(T0, ended)).isTrue();
        assertThat(model.connect(T0, ended)).isFalse();
        model.offer(T0, 1, 10_000, ended);
        assertThat(model.nextEndUs()).as("the handshake and the request share the core").isEqualTo(T0 + 20_000);
        model.disconnect();
        assertThat(model.connect(T0, ended)).isTrue();
    }

    @Test
    void reportsAreRefreshedPeriodicallyAndShownAfterTheirDelay() {
        HostModel model = warm(new HostSpec.Builder().slots(1).reports(1_000_000, 0, 0).build());
        for (int i = 0; i < 4; i++) {
            model.offer(T0 + 10, i, 60_000_000, ended);
        }
        assertThat(model.report(T0 + 20, ended)).isEqualTo(new LoadReport(0, 0, 0));
        assertThat(model.report(T0 + 1_200_000, ended).queue()).isEqualTo(3);
        assertThat(model.report(T0 + 1_200_000, ended).inFlight()).isEqualTo(4);
        HostModel late = warm(new HostSpec.Builder().slots(1).reports(1_000_000, 3_000_000, 0).build());
        late.offer(T0 + 10, 1, 60_000_000, ended);
        assertThat(late.report(T0 + 2_900_000, ended).inFlight()).isZero();
        assertThat(late.report(T0 + 4_300_000, ended).inFlight()).isEqualTo(1);
    }

    @Test
    void theErrorShareOfRequestsFails() {
        HostModel model = warm(new HostSpec.Builder().errors(0.25, 1_000).room(100_000).build());
        int failed = 0;
        for (int i = 0; i < 4000; i++) {
            model.offer(T0 + i * 50_000L, i, 10_000, ended);
        }
        model.advance(T0 + 500_000_000L, ended);
        for (RequestEnd end : ended) {
            failed += end.state() == EndState.FAILED ? 1 : 0;
        }
        assertThat(ended).hasSize(4000);
        assertThat(failed).isBetween(900, 1100);
    }

    @Test
    void aSlowdownAppliesFromTheMomentItIsSet() {
        HostModel model = warm(new HostSpec.Builder().build());
        model.offer(T0, 1, 100_000, ended);
        model.slowdownFactor(T0 + 50_000, 2, ended);
        assertThat(model.nextEndUs()).isEqualTo(T0 + 150_000);
    }
}
