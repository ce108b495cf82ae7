package dapplequay.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.BalancerApi.Discovery;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The clock of the list against the operators' word on calls that failed: a change counts 6 s after discovery had it
 * and could be reached. Over all short runs of failures, and for a fleet that one discovery has to serve.
 */
class ListCallTimingReturnTest {
    private static final long S = 1_000_000;
    private static final long COUNTS_US = 6 * S;
    /** Kept free for taking it over. */
    private static final long ROOM_US = 3 * S / 10;
    private static final int DEPTH = 5;
    private static final int MORE = 8;

    /** What becomes of a call. NO_CONNECT: given up before its limit; LATE: an end just before the limit. */
    private enum Fate { SILENT, NO_CONNECT, REFUSED, LATE, UNREADABLE, ANSWERED }

    private record Call(long beganUs, long waitUs, long limitUs, long endUs, Fate fate) {
        /** Discovery may have come back as early as this, and the call failed all the same. */
        long backUs() {
            return waitUs > 1 ? endUs : beganUs;
        }
    }

    private static Discovery discovery(long askWithinUs) {
        return new Discovery(askWithinUs > 0, askWithinUs, 250_000);
    }

    /** What fleets are set to whose sidecars all ask one discovery: a grace in which more than one call fits. */
    private static final Discovery FLEET = new Discovery(true, 10 * S, 2_500_000);

    /** The calls of one instance, with one fate after the other and then silence; {@code moved}: at a new address. */
    private static List<Call> play(Discovery discovery, List<Fate> fates, boolean moved) {
        SplittableRandom random = new SplittableRandom(fates.hashCode());
        ListCallTiming clock = new ListCallTiming(() -> discovery, random);
        ListCallBackoff pace = new ListCallBackoff(discovery, 0, random);
        if (moved) {
            clock.addressChanged();
        }
        List<Call> calls = new ArrayList<>();
        long now = 100 * S;
        boolean all = moved;
        for (int i = 0; i < fates.size() + MORE; i++) {
            Fate fate = i < fates.size() ? fates.get(i) : Fate.SILENT;
            long beganUs = now;
            long waitUs = clock.callBegins(now, all);
            long limitUs = clock.callLimitUs();
            now = switch (fate) {
                case SILENT -> limitUs;
                case NO_CONNECT -> Math.min(limitUs, beganUs + S);
                case LATE -> limitUs - 1;
                default -> beganUs + Math.min(S / 100, (limitUs - beganUs) / 2);
            };
            calls.add(new Call(beganUs, waitUs, limitUs, now, fate));
            long paceUs = discovery.onRequest() ? Long.MAX_VALUE : pace.failedUs();
            if (fate == Fate.ANSWERED) {
                clock.callSucceeded();
                pace.answered();
                all = false;
                paceUs = 0;
            } else if (fate == Fate.SILENT || fate == Fate.NO_CONNECT) {
                paceUs = clock.callWasSilent() ? 0 : paceUs;
            } else {
                clock.callFailed(now, fate == Fate.UNREADABLE);
            }
            now += Math.min(paceUs, clock.longestPauseUs(now));
        }
        return calls;
    }

    private static List<List<Fate>> allOrders() {
        List<List<Fate>> orders = new ArrayList<>();
        int kinds = Fate.values().length;
        for (int number = 0; number < Math.pow(kinds, DEPTH); number++) {
            List<Fate> fates = new ArrayList<>();
            for (int rest = number, i = 0; i < DEPTH; i++, rest /= kinds) {
                fates.add(Fate.values()[rest % kinds]);
            }
            orders.add(fates);
        }
        return orders;
    }

    /** The longest from a return to the end of a call that began after it and had its time, over one run of calls. */
    private static long worstUs(List<Call> calls, long callUs, int first, int last) {
        long worst = 0;
        for (int i = first; i < last; i++) {
            if (calls.get(i).fate() == Fate.ANSWERED) {
                continue;
            }
            for (int j = i + 1; j < calls.size() && calls.get(j).fate() != Fate.ANSWERED; j++) {
                if (calls.get(j).limitUs() - calls.get(j).beganUs() >= callUs) {
                    worst = Math.max(worst, calls.get(j).beganUs() + callUs - calls.get(i).backUs());
                    break;
                }
                assertThat(j).as("some call has its time: %s", calls).isLessThan(calls.size() - 1);
            }
        }
        return worst;
    }

    /** The call that a return left hanging, the pause, and the next one with its connect and its answer. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3 * S, 10 * S, 60 * S})
    void fromAnyMomentOnACallIsWholeWithinTheBound(long askWithinUs) {
        Discovery discovery = discovery(askWithinUs);
        long callUs = discovery.onRequest() ? ListCallTiming.MIN_CALL_US : ListCallTiming.MISSED_TOLD_US / 6;
        long worst = 0;
        for (List<Fate> fates : allOrders()) {
            worst = Math.max(worst, worstUs(play(discovery, fates, false), callUs, 0, DEPTH));
        }
        assertThat(worst).isBetween(S, COUNTS_US - ROOM_US);
    }

    /** Whatever becomes of the first call to a new address: a second one is whole before what it has counts. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10 * S})
    void aNewAddressIsAskedTwiceBeforeWhatItHasCounts(long askWithinUs) {
        Discovery discovery = discovery(askWithinUs);
        for (List<Fate> fates : allOrders()) {
            long callUs = discovery.onRequest() ? ListCallTiming.NEW_ADDRESS_CALL_US
                    : ListCallTiming.MISSED_TOLD_US / 6;
            assertThat(worstUs(play(discovery, fates, true), callUs, 0, 1)).as("%s", fates)
                    .isLessThan(ListCallTiming.NEW_ADDRESS_TOLD_US - S / 10);
        }
    }

    /** Until one succeeds no call waits, as one that may wait can't be told from one that hangs. */
    @Test
    void noCallWaitsUntilOneHasSucceeded() {
        for (List<Fate> fates : allOrders()) {
            List<Call> calls = play(discovery(10 * S), fates, false);
            for (int i = 1; i < calls.size(); i++) {
                assertThat(calls.get(i).waitUs() > 1).as("call %s of %s", i, calls)
                        .isEqualTo(calls.get(i - 1).fate() == Fate.ANSWERED);
            }
        }
    }

    @Test
    void doubtHasWhatFailuresLeaveOfTheGrace() {
        ListCallTiming clock = new ListCallTiming(() -> discovery(10 * S), new SplittableRandom(1));
        clock.callBegins(0, false);
        clock.callFailed(S, false);
        clock.callBegins(2 * S, false);
        clock.callFailed(20 * S, false);
        assertThat(clock.graceLeftUs(25 * S)).as("not there until 20 s").isEqualTo(250_000);
        clock.callFailed(21 * S, true);
        clock.callFailed(30 * S, true);
        assertThat(clock.graceLeftUs(26 * S + 100_000)).as("there, and not understood").isEqualTo(150_000);
        clock.callSucceeded();
        assertThat(clock.graceLeftUs(60 * S)).isEqualTo(250_000);
    }

    /**
     * One discovery that works through its calls in turn, drops what has waited for 3 s, and does not notice who has
     * hung up. All watches were reset at one moment and refused for a while; then it is back.
     */
    private static final class Queue {
        private static final long PATIENCE_US = 3 * S;
        private static final long BACK_US = 8 * S;
        private final List<Sidecar> sidecars = new ArrayList<>();
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private final long workUs;
        private int worked;
        private int inVain;
        private long heardUs;

        private static final class Sidecar {
            private ListCallTiming clock;
            private long nextUs;
            private boolean calls;
            private boolean heard;
            private boolean watches;
            private long beganUs;
        }

        private record Waiting(Sidecar who, long beganUs) {
            boolean isThere() {
                return who.calls && who.beganUs == beganUs;
            }
        }

        Queue(int fleet, double callsPerS) {
            workUs = (long) (S / callsPerS);
            for (int i = 0; i < fleet; i++) {
                Sidecar one = new Sidecar();
                one.clock = new ListCallTiming(() -> FLEET, new SplittableRandom(i));
                one.clock.callBegins(0, false);
                one.clock.callFailed(1, false);
                one.nextUs = 1 + one.clock.longestPauseUs(1);
                sidecars.add(one);
            }
        }

        /** Runs until all have been heard and watch again. */
        void play() {
            long freeUs = BACK_US;
            for (long now = 0; sidecars.stream().anyMatch(one -> !one.watches); now += S / 1_000) {
                assertThat(now).as("all watch again").isLessThan(120 * S);
                for (Sidecar one : sidecars) {
                    turn(one, now);
                }
                while (freeUs <= now && !waiting.isEmpty()) {
                    Waiting call = waiting.poll();
                    if (now - call.beganUs() > PATIENCE_US) {
                        continue;       // its 503 costs nothing
                    }
                    freeUs = now + workUs;
                    worked++;
                    if (call.isThere()) {
                        answered(call.who(), freeUs);
                    } else {
                        inVain++;
                    }
                }
            }
        }

        private void turn(Sidecar one, long now) {
            if (one.calls && now >= one.clock.callLimitUs()) {
                one.calls = false;
                one.nextUs = one.clock.callWasSilent() ? now : now + one.clock.longestPauseUs(now);
            } else if (one.calls && now - one.beganUs > PATIENCE_US) {
                one.calls = false;
                one.clock.callFailed(now, false);
                one.nextUs = now + one.clock.longestPauseUs(now);
            } else if (!one.calls && !one.watches && now >= one.nextUs) {
                one.beganUs = now;
                one.clock.callBegins(now, false);
                if (now < BACK_US) {
                    one.clock.callFailed(now, false);
                    one.nextUs = now + one.clock.longestPauseUs(now);
                } else {
                    one.calls = true;
                    waiting.add(new Waiting(one, now));
                }
            }
        }

        private void answered(Sidecar one, long now) {
            one.calls = false;
            one.nextUs = one.clock.watchFromUs(now);
            one.clock.callSucceeded();
            one.watches = one.heard;
            if (!one.heard) {
                one.heard = true;
                heardUs = Math.max(heardUs, now - BACK_US);
            }
        }
    }

    /**
     * Each comes back with two calls, what there is and a watch. A fleet that discovery can answer once in 6 s is
     * answered then; of a larger one it goes on with as many a second as it can, and with none in vain.
     */
    @ParameterizedTest
    @CsvSource({"6, 4, 4", "6, 6, 4", "30, 4, 12", "30, 6, 6", "100, 4, 50", "100, 6, 34"})
    void aFleetThatComesBackIsNoStampede(int fleet, double callsPerS, long withinS) {
        Queue queue = new Queue(fleet, callsPerS);
        queue.play();
        assertThat(queue.heardUs).isLessThanOrEqualTo(withinS * S);
        assertThat(queue.worked).isEqualTo(2 * fleet);
        assertThat(queue.inVain).isZero();
    }

    @Test
    void theWatchAfterAFailureWaitsOnlyWhereOthersQueue() {
        ListCallTiming clock = new ListCallTiming(() -> FLEET, new SplittableRandom(1));
        clock.callBegins(0, false);
        assertThat(clock.watchFromUs(5 * S)).as("no failure came before").isEqualTo(5 * S);
        clock.callFailed(5 * S, false);
        clock.callBegins(6 * S, false);
        assertThat(clock.watchFromUs(6 * S + S / 4)).isEqualTo(6 * S + S / 4);
        assertThat(clock.watchFromUs(8 * S)).isEqualTo(6 * S + ListCallTiming.RETRY_WITHIN_US);
    }

    /** A drain that discovery had just after the answer was met 2.7 s later, at a grace of 2.5 s. */
    @ParameterizedTest
    @CsvSource({"510, 2500", "550, 2500", "750, 2500", "1000, 2500", "2350, 2500", "550, 700", "2000, 250"})
    void theWatchAfterAFailureLeavesTheGraceItsCall(long answeredMs, long graceMs) {
        ListCallTiming clock = new ListCallTiming(() -> new Discovery(true, 10 * S, graceMs * 1_000),
                new SplittableRandom(1));
        clock.callBegins(0, false);
        clock.callFailed(5 * S, false);
        clock.callBegins(6 * S, false);
        long answeredUs = 6 * S + answeredMs * 1_000;
        long pauseUs = clock.watchFromUs(answeredUs) - answeredUs;
        assertThat(pauseUs).isBetween(0L, Math.max(0, graceMs * 1_000 - S / 2 - 150_000));
    }

    /** One event resets all watches: the next calls are spread over all of the time that there is. */
    @Test
    void watchesThatWereResetTogetherDoNotComeBackTogether() {
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ListCallTiming clock = new ListCallTiming(() -> discovery(10 * S), new SplittableRandom(i));
            clock.callBegins(0, false);
            clock.callFailed(S, false);
            pauses.add(clock.longestPauseUs(S));
        }
        Collections.sort(pauses);
        assertThat(pauses.get(99)).isLessThanOrEqualTo(ListCallTiming.RETRY_WITHIN_US);
        for (int i = 0; i + 20 < 100; i++) {
            assertThat(pauses.get(i + 20) - pauses.get(i)).as("twenty of a hundred").isGreaterThan(S / 4);
        }
    }
}
