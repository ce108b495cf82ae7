package dapplequay.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.Discovery;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The clock of the list against the operators' page, over all short runs of what can become of a call. */
class ListCallTimingTest {
    private static final long S = 1_000_000;
    private static final int DEPTH = 5;

    /** What becomes of a call; DRIPPED: its answer begins to come and never ends. */
    private enum Fate { ANSWERED, SILENT, DRIPPED, RESET, MOVED }

    /** One call as the page sees it: what it may have missed counts from {@code toldUs} on. */
    private record Call(long beganUs, long toldUs, Fate fate) { }

    private static Discovery discovery(boolean onRequest, long askWithinUs) {
        return new Discovery(onRequest, askWithinUs, 250_000);
    }

    /** Plays the fates one after the other; an answer takes 0.3 s, and what follows the last is all answered. */
    private static List<Call> play(Discovery discovery, List<Fate> fates) {
        SplittableRandom random = new SplittableRandom(fates.hashCode());
        ListCallTiming clock = new ListCallTiming(() -> discovery, random);
        ListCallBackoff pace = new ListCallBackoff(discovery, 0, random);
        List<Call> calls = new ArrayList<>();
        long now = 100 * S;
        boolean all = false;
        for (int i = 0; i < fates.size() + 2; i++) {
            Fate fate = i < fates.size() ? fates.get(i) : Fate.ANSWERED;
            long beganUs = now;
            long waitUs = clock.callBegins(now, all);
            long limitUs = clock.callLimitUs();
            long toldUs = beganUs + Math.max(ListCallTiming.MISSED_TOLD_US,
                    waitUs > 1 ? waitUs + ListCallTiming.WATCH_MISSED_TOLD_US : 0);
            calls.add(new Call(beganUs, toldUs, fate));
            assertThat(limitUs).as("a call has time, and ends before what it may miss counts").isGreaterThan(now)
                    .isLessThan(toldUs);
            if (fate == Fate.DRIPPED) {
                now += S / 10;
                for (int more = 0; more < 100; more++) {
                    clock.answerBegins(now + more * S / 10);
                }
                assertThat(clock.callLimitUs()).as("bytes do not prolong it").isLessThanOrEqualTo(limitUs);
            }
            if (fate == Fate.SILENT || fate == Fate.DRIPPED) {
                now = clock.callLimitUs();
                now += clock.callWasSilent() ? 0 : Math.min(pace.failedUs(), clock.longestPauseUs(now));
            } else if (fate == Fate.ANSWERED) {
                now += Math.min(3 * S / 10, clock.callLimitUs() - now);
                clock.callSucceeded();
                pace.answered();
                all = false;
                assertThat(clock.longestPauseUs(now)).isEqualTo(Long.MAX_VALUE);
                assertThat(clock.graceLeftUs(now + 60 * S)).isEqualTo(250_000);
            } else if (fate == Fate.MOVED) {
                clock.addressChanged();
                all = true;
            } else {
                now += Math.min(pace.failedUs(), clock.longestPauseUs(now));
            }
        }
        return calls;
    }

    private static List<Fate> fates(int number) {
        List<Fate> fates = new ArrayList<>();
        for (int rest = number, i = 0; i < DEPTH; i++, rest /= Fate.values().length) {
            fates.add(Fate.values()[rest % Fate.values().length]);
        }
        return fates;
    }

    /** After each silence, before what was missed counts: one call that is answered suffices, and it has its time. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3 * S, 10 * S, 60 * S})
    void whatASilentCallMissedIsAskedForBeforeItCounts(long askWithinUs) {
        Discovery discovery = discovery(askWithinUs > 0, askWithinUs);
        for (int number = 0; number < Math.pow(Fate.values().length, DEPTH); number++) {
            List<Call> calls = play(discovery, fates(number));
            for (int i = 0; i + 1 < calls.size(); i++) {
                Call call = calls.get(i);
                if (call.fate() != Fate.SILENT && call.fate() != Fate.DRIPPED) {
                    continue;
                }
                long askedAgain = calls.stream().skip(i + 1).filter(c -> c.fate() != Fate.MOVED).findFirst()
                        .map(Call::beganUs).orElse(call.beganUs());
                assertThat(askedAgain).as("%s of %s", i, calls).isLessThanOrEqualTo(call.toldUs() - S / 4);
            }
        }
    }

    /** Silent for good, then back: asked again and again before it counts, and no more than the pace allows after. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10 * S})
    void aLongSilenceIsAskedThroughAtLeastTwiceBeforeItCounts(long askWithinUs) {
        List<Fate> silent = new ArrayList<>(java.util.Collections.nCopies(30, Fate.SILENT));
        List<Call> calls = play(discovery(askWithinUs > 0, askWithinUs), silent);
        long told = calls.get(0).toldUs();
        assertThat(calls.stream().skip(1).filter(c -> c.beganUs() < told)).hasSizeBetween(2, 8);
    }

    @Test
    void watchesThatEndTogetherDoNotEndTogetherAgain() {
        Discovery asked = discovery(true, 10 * S);
        long[] waits = new SplittableRandom(1).ints(100).mapToLong(seed -> new ListCallTiming(() -> asked,
                new SplittableRandom(seed)).callBegins(0, false)).sorted().toArray();
        assertThat(waits[0]).isGreaterThan(5 * S);
        assertThat(waits[99]).isLessThanOrEqualTo(10 * S);
        assertThat(waits[90] - waits[10]).as("spread").isGreaterThan(S);
    }

    @Test
    void afterASilenceNothingIsWaitedForAndDoubtHasWhatIsLeftOfTheGrace() {
        ListCallTiming clock = new ListCallTiming(() -> discovery(true, 10 * S), new SplittableRandom(1));
        long wait = clock.callBegins(0, false);
        assertThat(clock.callWasSilent()).isTrue();
        long told = wait + ListCallTiming.WATCH_MISSED_TOLD_US;
        assertThat(clock.callBegins(clock.callLimitUs(), false)).isEqualTo(1);
        assertThat(clock.callWasSilent()).as("a second one keeps the pace").isFalse();
        assertThat(clock.graceLeftUs(told - 1)).isEqualTo(250_000);
        assertThat(clock.graceLeftUs(told + 100_000)).isEqualTo(150_000);
        assertThat(clock.graceLeftUs(told + S)).isZero();
        clock.callSucceeded();
        assertThat(clock.callBegins(0, false)).as("waits again").isGreaterThan(S);
    }
}
