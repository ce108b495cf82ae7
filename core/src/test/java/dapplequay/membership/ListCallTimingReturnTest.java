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
 * {@link ListCallTiming} against the operators' rule on calls that failed: a change counts as told 6 s after discovery
 * had it and could be reached. Played for all short runs of failures, and for a fleet that one discovery has to serve.
 */
class ListCallTimingReturnTest {
    private static final long SECOND_US = 1_000_000;
    private static final long TOLD_US = 6 * SECOND_US;
    /** The time that is kept free to apply the list. */
    private static final long APPLY_US = 3 * SECOND_US / 10;
    private static final int RUN_LENGTH = 5;
    private static final int FURTHER_CALLS = 8;

    /** How a call ends. NO_CONNECT: it is given up before its limit; LATE: it fails just before its limit. */
    private enum Fate { SILENT, NO_CONNECT, REFUSED, LATE, UNREADABLE, ANSWERED }

    private record Call(long beganUs, long waitUs, long limitUs, long endUs, Fate fate) {
        /** Returns the earliest time at which discovery may have come back although the call failed. */
        long earliestReturnUs() {
            return waitUs > 1 ? endUs : beganUs;
        }
    }

    private static Discovery discovery(long askWithinUs) {
        return new Discovery(askWithinUs > 0, askWithinUs, 250_000);
    }

    /** Settings of a fleet whose sidecars all ask one discovery: more than one call fits into the grace. */
    private static final Discovery FLEET = new Discovery(true, 10 * SECOND_US, 2_500_000);

    /**
     * Returns the calls of one instance that end as given, and then stay silent.
     *
     * @param moved true if the first call is to a new address
     */
    private static List<Call> play(Discovery discovery, List<Fate> fates, boolean moved) {
        SplittableRandom random = new SplittableRandom(fates.hashCode());
        ListCallTiming timing = new ListCallTiming(() -> discovery, random);
        ListCallBackoff backoff = new ListCallBackoff(discovery, 0, random);
        if (moved) {
            timing.addressChanged();
        }
        List<Call> calls = new ArrayList<>();
        long now = 100 * SECOND_US;
        boolean whole = moved;
        for (int i = 0; i < fates.size() + FURTHER_CALLS; i++) {
            Fate fate = i < fates.size() ? fates.get(i) : Fate.SILENT;
            long beganUs = now;
            long waitUs = timing.callBegins(now, whole);
            long limitUs = timing.callLimitUs();
            now = switch (fate) {
                case SILENT -> limitUs;
                case NO_CONNECT -> Math.min(limitUs, beganUs + SECOND_US);
                case LATE -> limitUs - 1;
                default -> beganUs + Math.min(SECOND_US / 100, (limitUs - beganUs) / 2);
            };
            calls.add(new Call(beganUs, waitUs, limitUs, now, fate));
            long pauseUs = discovery.onRequest() ? Long.MAX_VALUE : backoff.failedUs();
            if (fate == Fate.ANSWERED) {
                timing.callSucceeded();
                backoff.answered();
                whole = false;
                pauseUs = 0;
            } else if (fate == Fate.SILENT || fate == Fate.NO_CONNECT) {
                pauseUs = timing.callWasSilent() ? 0 : pauseUs;
            } else {
                timing.callFailed(now, fate == Fate.UNREADABLE);
            }
            now += Math.min(pauseUs, timing.longestPauseUs(now));
        }
        return calls;
    }

    private static List<List<Fate>> allOrders() {
        List<List<Fate>> orders = new ArrayList<>();
        int kinds = Fate.values().length;
        for (int number = 0; number < Math.pow(kinds, RUN_LENGTH); number++) {
            List<Fate> fates = new ArrayList<>();
            for (int rest = number, i = 0; i < RUN_LENGTH; i++, rest /= kinds) {
                fates.add(Fate.values()[rest % kinds]);
            }
            orders.add(fates);
        }
        return orders;
    }

    /** Returns the longest time from a return of discovery to the end of a later call that had {@code callUs}. */
    private static long longestReturnUs(List<Call> calls, long callUs, int first, int last) {
        long longestUs = 0;
        for (int i = first; i < last; i++) {
            if (calls.get(i).fate() == Fate.ANSWERED) {
                continue;
            }
            for (int j = i + 1; j < calls.size() && calls.get(j).fate() != Fate.ANSWERED; j++) {
                if (calls.get(j).limitUs() - calls.get(j).beganUs() >= callUs) {
                    longestUs = Math.max(longestUs, calls.get(j).beganUs() + callUs - calls.get(i).earliestReturnUs());
                    break;
                }
                assertThat(j).as("a call has its full time: %s", calls).isLessThan(calls.size() - 1);
            }
        }
        return longestUs;
    }

    /** Covers the call that a return left hanging, the pause, and the next call with its connect and its answer. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3 * SECOND_US, 10 * SECOND_US, 60 * SECOND_US})
    void afterAReturnAtAnyTimeACallIsAnsweredWithinTheBound(long askWithinUs) {
        Discovery discovery = discovery(askWithinUs);
        long callUs = discovery.onRequest() ? ListCallTiming.MIN_CALL_US : ListCallTiming.MISSED_TOLD_US / 6;
        long longestUs = 0;
        for (List<Fate> fates : allOrders()) {
            longestUs = Math.max(longestUs, longestReturnUs(play(discovery, fates, false), callUs, 0, RUN_LENGTH));
        }
        assertThat(longestUs).isBetween(SECOND_US, TOLD_US - APPLY_US);
    }

    /** However the first call to a new address ends, a second one is answered before changes there count as told. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10 * SECOND_US})
    void newAddressIsCalledTwiceBeforeItsChangesCountAsTold(long askWithinUs) {
        Discovery discovery = discovery(askWithinUs);
        for (List<Fate> fates : allOrders()) {
            long callUs = discovery.onRequest() ? ListCallTiming.NEW_ADDRESS_CALL_US
                    : ListCallTiming.MISSED_TOLD_US / 6;
            assertThat(longestReturnUs(play(discovery, fates, true), callUs, 0, 1)).as("%s", fates)
                    .isLessThan(ListCallTiming.NEW_ADDRESS_TOLD_US - SECOND_US / 10);
        }
    }

    /** A call that may wait can't be told from one that hangs. */
    @Test
    void afterAFailureNoCallWaitsUntilOneSucceeds() {
        for (List<Fate> fates : allOrders()) {
            List<Call> calls = play(discovery(10 * SECOND_US), fates, false);
            for (int i = 1; i < calls.size(); i++) {
                assertThat(calls.get(i).waitUs() > 1).as("call %s of %s", i, calls)
                        .isEqualTo(calls.get(i - 1).fate() == Fate.ANSWERED);
            }
        }
    }

    @Test
    void graceLeftShrinksWithTheTimeSinceAFailedCallCounts() {
        ListCallTiming timing = new ListCallTiming(() -> discovery(10 * SECOND_US), new SplittableRandom(1));
        timing.callBegins(0, false);
        timing.callFailed(SECOND_US, false);
        timing.callBegins(2 * SECOND_US, false);
        timing.callFailed(20 * SECOND_US, false);
        assertThat(timing.graceLeftUs(25 * SECOND_US)).as("discovery could not be reached until 20 s")
                .isEqualTo(250_000);
        timing.callFailed(21 * SECOND_US, true);
        timing.callFailed(30 * SECOND_US, true);
        assertThat(timing.graceLeftUs(26 * SECOND_US + 100_000))
                .as("discovery was reached, but its answers could not be used").isEqualTo(150_000);
        timing.callSucceeded();
        assertThat(timing.graceLeftUs(60 * SECOND_US)).isEqualTo(250_000);
    }

    /**
     * One discovery that serves its calls in turn, drops those that have waited for 3 s, and does not notice callers
     * that have hung up. All watches were reset at the same time and calls were refused for a while; then it is back.
     */
    private static final class QueueingDiscovery {
        private static final long MAX_QUEUE_US = 3 * SECOND_US;
        private static final long RETURN_US = 8 * SECOND_US;
        private final List<Sidecar> sidecars = new ArrayList<>();
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private final long workUs;
        private int servedCalls;
        private int wastedCalls;
        private long lastAnswerUs;

        private static final class Sidecar {
            private ListCallTiming timing;
            private long nextUs;
            private boolean isCalling;
            private boolean wasAnswered;
            private boolean isWatching;
            private long beganUs;
        }

        private record Waiting(Sidecar caller, long beganUs) {
            boolean isStillWaiting() {
                return caller.isCalling && caller.beganUs == beganUs;
            }
        }

        QueueingDiscovery(int sidecarCount, double callsPerS) {
            workUs = (long) (SECOND_US / callsPerS);
            for (int i = 0; i < sidecarCount; i++) {
                Sidecar sidecar = new Sidecar();
                sidecar.timing = new ListCallTiming(() -> FLEET, new SplittableRandom(i));
                sidecar.timing.callBegins(0, false);
                sidecar.timing.callFailed(1, false);
                sidecar.nextUs = 1 + sidecar.timing.longestPauseUs(1);
                sidecars.add(sidecar);
            }
        }

        /** Runs until all sidecars have been answered and watch again. */
        void play() {
            long freeUs = RETURN_US;
            for (long now = 0; sidecars.stream().anyMatch(sidecar -> !sidecar.isWatching); now += SECOND_US / 1_000) {
                assertThat(now).as("time until all watch again").isLessThan(120 * SECOND_US);
                for (Sidecar sidecar : sidecars) {
                    advance(sidecar, now);
                }
                while (freeUs <= now && !waiting.isEmpty()) {
                    Waiting call = waiting.poll();
                    if (now - call.beganUs() > MAX_QUEUE_US) {
                        continue;       // dropped with a 503 that costs no work
                    }
                    freeUs = now + workUs;
                    servedCalls++;
                    if (call.isStillWaiting()) {
                        answered(call.caller(), freeUs);
                    } else {
                        wastedCalls++;
                    }
                }
            }
        }

        private void advance(Sidecar sidecar, long now) {
            if (sidecar.isCalling && now >= sidecar.timing.callLimitUs()) {
                sidecar.isCalling = false;
                sidecar.nextUs = sidecar.timing.callWasSilent() ? now : now + sidecar.timing.longestPauseUs(now);
            } else if (sidecar.isCalling && now - sidecar.beganUs > MAX_QUEUE_US) {
                sidecar.isCalling = false;
                sidecar.timing.callFailed(now, false);
                sidecar.nextUs = now + sidecar.timing.longestPauseUs(now);
            } else if (!sidecar.isCalling && !sidecar.isWatching && now >= sidecar.nextUs) {
                sidecar.beganUs = now;
                sidecar.timing.callBegins(now, false);
                if (now < RETURN_US) {
                    sidecar.timing.callFailed(now, false);
                    sidecar.nextUs = now + sidecar.timing.longestPauseUs(now);
                } else {
                    sidecar.isCalling = true;
                    waiting.add(new Waiting(sidecar, now));
                }
            }
        }

        private void answered(Sidecar sidecar, long now) {
            sidecar.isCalling = false;
            sidecar.nextUs = sidecar.timing.watchFromUs(now);
            sidecar.timing.callSucceeded();
            sidecar.isWatching = sidecar.wasAnswered;
            if (!sidecar.wasAnswered) {
                sidecar.wasAnswered = true;
                lastAnswerUs = Math.max(lastAnswerUs, now - RETURN_US);
            }
        }
    }

    /**
     * Each sidecar comes back with two calls, one for the present list and a watch. A fleet that discovery can answer
     * once in 6 s is answered in that time; a larger one at the rate that discovery can serve, with no wasted call.
     */
    @ParameterizedTest
    @CsvSource({"6, 4, 4", "6, 6, 4", "30, 4, 12", "30, 6, 6", "100, 4, 50", "100, 6, 34"})
    void fleetThatCallsAgainDoesNotOverloadDiscovery(int sidecarCount, double callsPerS, long withinS) {
        QueueingDiscovery discovery = new QueueingDiscovery(sidecarCount, callsPerS);
        discovery.play();
        assertThat(discovery.lastAnswerUs).isLessThanOrEqualTo(withinS * SECOND_US);
        assertThat(discovery.servedCalls).isEqualTo(2 * sidecarCount);
        assertThat(discovery.wastedCalls).isZero();
    }

    @Test
    void watchAfterAFailureIsDelayedOnlyIfOthersQueue() {
        ListCallTiming timing = new ListCallTiming(() -> FLEET, new SplittableRandom(1));
        timing.callBegins(0, false);
        assertThat(timing.watchFromUs(5 * SECOND_US)).as("no failure before").isEqualTo(5 * SECOND_US);
        timing.callFailed(5 * SECOND_US, false);
        timing.callBegins(6 * SECOND_US, false);
        assertThat(timing.watchFromUs(6 * SECOND_US + SECOND_US / 4)).isEqualTo(6 * SECOND_US + SECOND_US / 4);
        assertThat(timing.watchFromUs(8 * SECOND_US)).isEqualTo(6 * SECOND_US + ListCallTiming.RETRY_WITHIN_US);
    }

    /** Guards against learning of a drain 2.7 s after discovery had it, just after an answer, at a grace of 2.5 s. */
    @ParameterizedTest
    @CsvSource({"510, 2500", "550, 2500", "750, 2500", "1000, 2500", "2350, 2500", "550, 700", "2000, 250"})
    void pauseBeforeTheWatchAfterAFailureLeavesTimeForItsCall(long answeredMs, long graceMs) {
        ListCallTiming timing = new ListCallTiming(() -> new Discovery(true, 10 * SECOND_US, graceMs * 1_000),
                new SplittableRandom(1));
        timing.callBegins(0, false);
        timing.callFailed(5 * SECOND_US, false);
        timing.callBegins(6 * SECOND_US, false);
        long answeredUs = 6 * SECOND_US + answeredMs * 1_000;
        long pauseUs = timing.watchFromUs(answeredUs) - answeredUs;
        assertThat(pauseUs).isBetween(0L, Math.max(0, graceMs * 1_000 - SECOND_US / 2 - 150_000));
    }

    /** After one event that resets all watches, the next calls are spread over the whole interval. */
    @Test
    void callsAfterACommonResetAreSpread() {
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ListCallTiming timing = new ListCallTiming(() -> discovery(10 * SECOND_US), new SplittableRandom(i));
            timing.callBegins(0, false);
            timing.callFailed(SECOND_US, false);
            pauses.add(timing.longestPauseUs(SECOND_US));
        }
        Collections.sort(pauses);
        assertThat(pauses.get(99)).isLessThanOrEqualTo(ListCallTiming.RETRY_WITHIN_US);
        for (int i = 0; i + 20 < 100; i++) {
            assertThat(pauses.get(i + 20) - pauses.get(i)).as("interval of twenty calls of a hundred")
                    .isGreaterThan(SECOND_US / 4);
        }
    }
}
