package dapplequay.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.Discovery;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** {@link ListCallTiming} against the operators' rules on silent calls, for all short runs of calls. */
class ListCallTimingTest {
    private static final long SECOND_US = 1_000_000;
    private static final int RUN_LENGTH = 5;

    /** How a call ends; DRIPPED: its answer begins and never ends. */
    private enum Fate { ANSWERED, SILENT, DRIPPED, RESET, MOVED }

    /** One call by these rules: what it may have missed counts as told from {@code toldUs} on. */
    private record Call(long beganUs, long toldUs, Fate fate) { }

    private static Discovery discovery(boolean onRequest, long askWithinUs) {
        return new Discovery(onRequest, askWithinUs, 250_000);
    }

    /** Plays calls that end as given and then two that are answered; an answer takes 0.3 s. */
    private static List<Call> play(Discovery discovery, List<Fate> fates) {
        SplittableRandom random = new SplittableRandom(fates.hashCode());
        ListCallTiming timing = new ListCallTiming(() -> discovery, random);
        ListCallBackoff backoff = new ListCallBackoff(discovery, 0, random);
        List<Call> calls = new ArrayList<>();
        long now = 100 * SECOND_US;
        boolean whole = false;
        for (int i = 0; i < fates.size() + 2; i++) {
            Fate fate = i < fates.size() ? fates.get(i) : Fate.ANSWERED;
            long beganUs = now;
            long waitUs = timing.callBegins(now, whole);
            long limitUs = timing.callLimitUs();
            long toldUs = beganUs + Math.max(ListCallTiming.MISSED_TOLD_US,
                    waitUs > 1 ? waitUs + ListCallTiming.WATCH_MISSED_TOLD_US : 0);
            calls.add(new Call(beganUs, toldUs, fate));
            assertThat(limitUs).as("a call's limit lies in the future, and before what it misses counts as told")
                    .isGreaterThan(now)
                    .isLessThan(toldUs);
            if (fate == Fate.DRIPPED) {
                now += SECOND_US / 10;
                for (int tenths = 0; tenths < 100; tenths++) {
                    timing.answerBegins(now + tenths * SECOND_US / 10);
                }
                assertThat(timing.callLimitUs()).as("further bytes do not extend the limit")
                        .isLessThanOrEqualTo(limitUs);
            }
            if (fate == Fate.SILENT || fate == Fate.DRIPPED) {
                now = timing.callLimitUs();
                now += timing.callWasSilent() ? 0 : Math.min(backoff.failedUs(), timing.longestPauseUs(now));
            } else if (fate == Fate.ANSWERED) {
                now += Math.min(3 * SECOND_US / 10, timing.callLimitUs() - now);
                timing.callSucceeded();
                backoff.answered();
                whole = false;
                assertThat(timing.longestPauseUs(now)).isEqualTo(Long.MAX_VALUE);
                assertThat(timing.graceLeftUs(now + 60 * SECOND_US)).isEqualTo(250_000);
            } else if (fate == Fate.MOVED) {
                timing.addressChanged();
                whole = true;
            } else {
                now += Math.min(backoff.failedUs(), timing.longestPauseUs(now));
            }
        }
        return calls;
    }

    private static List<Fate> fates(int number) {
        List<Fate> fates = new ArrayList<>();
        for (int rest = number, i = 0; i < RUN_LENGTH; i++, rest /= Fate.values().length) {
            fates.add(Fate.values()[rest % Fate.values().length]);
        }
        return fates;
    }

    /** After a silent call, the next one begins at least 0.25 s before what was missed counts as told. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3 * SECOND_US, 10 * SECOND_US, 60 * SECOND_US})
    void discoveryIsCalledAgainBeforeWhatASilentCallMissedCountsAsTold(long askWithinUs) {
        Discovery discovery = discovery(askWithinUs > 0, askWithinUs);
        for (int number = 0; number < Math.pow(Fate.values().length, RUN_LENGTH); number++) {
            List<Call> calls = play(discovery, fates(number));
            for (int i = 0; i + 1 < calls.size(); i++) {
                Call call = calls.get(i);
                if (call.fate() != Fate.SILENT && call.fate() != Fate.DRIPPED) {
                    continue;
                }
                long nextCallUs = calls.stream().skip(i + 1).filter(c -> c.fate() != Fate.MOVED).findFirst()
                        .map(Call::beganUs).orElse(call.beganUs());
                assertThat(nextCallUs).as("%s of %s", i, calls).isLessThanOrEqualTo(call.toldUs() - SECOND_US / 4);
            }
        }
    }

    /** If discovery stays silent it is called several times before the missed changes count as told, but not often. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10 * SECOND_US})
    void silentDiscoveryIsCalledAtLeastTwiceBeforeWhatWasMissedCountsAsTold(long askWithinUs) {
        List<Fate> silent = new ArrayList<>(java.util.Collections.nCopies(30, Fate.SILENT));
        List<Call> calls = play(discovery(askWithinUs > 0, askWithinUs), silent);
        long toldUs = calls.get(0).toldUs();
        assertThat(calls.stream().skip(1).filter(c -> c.beganUs() < toldUs)).hasSizeBetween(2, 8);
    }

    @Test
    void waitsOfWatchesAreSpread() {
        Discovery discovery = discovery(true, 10 * SECOND_US);
        long[] waits = new SplittableRandom(1).ints(100).mapToLong(seed -> new ListCallTiming(() -> discovery,
                new SplittableRandom(seed)).callBegins(0, false)).sorted().toArray();
        assertThat(waits[0]).isGreaterThan(5 * SECOND_US);
        assertThat(waits[99]).isLessThanOrEqualTo(10 * SECOND_US);
        assertThat(waits[90] - waits[10]).as("spread of the waits").isGreaterThan(SECOND_US);
    }

    @Test
    void afterASilentWatchCallsDoNotWaitAndTheGraceLeftShrinks() {
        ListCallTiming timing = new ListCallTiming(() -> discovery(true, 10 * SECOND_US), new SplittableRandom(1));
        long waitUs = timing.callBegins(0, false);
        assertThat(timing.callWasSilent()).isTrue();
        long toldUs = waitUs + ListCallTiming.WATCH_MISSED_TOLD_US;
        assertThat(timing.callBegins(timing.callLimitUs(), false)).isEqualTo(1);
        assertThat(timing.callWasSilent()).as("a pause follows a second silent call").isFalse();
        assertThat(timing.graceLeftUs(toldUs - 1)).isEqualTo(250_000);
        assertThat(timing.graceLeftUs(toldUs + 100_000)).isEqualTo(150_000);
        assertThat(timing.graceLeftUs(toldUs + SECOND_US)).isZero();
        timing.callSucceeded();
        assertThat(timing.callBegins(0, false)).as("wait of the call after a success").isGreaterThan(SECOND_US);
    }
}
