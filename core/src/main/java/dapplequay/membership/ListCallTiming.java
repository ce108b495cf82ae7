package dapplequay.membership;

import dapplequay.BalancerApi.Discovery;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Times the calls for the server list: how long each call to discovery may wait for a change, when it is given up, and
 * when the next one begins. Pure; times in microseconds of any monotonic clock. Not thread-safe.
 *
 * <p>A call that waits for a change is a watch. A call that stays silent is broken. A change counts as announced at a
 * time that the operators set, whether the sidecar has it or not, and then the drain's grace begins:
 * <ul>
 * <li>what a silent call missed: {@link #MISSED_TOLD_US} after the call fell silent, but for a watch no sooner than
 *     {@link #WATCH_MISSED_TOLD_US} after its wait is over. When a call fell silent can't be seen here: the time of its
 *     beginning is used instead;
 * <li>after a call that failed, was refused or was given up: {@link #MISSED_TOLD_US} after discovery had the change and
 *     could be reached. This bound takes precedence.
 * </ul>
 * After a failure, calls therefore don't wait until one has succeeded, and the next call begins no later than {@link
 * #RETRY_WITHIN_US} after the failed one began (after a watch: ended). Discovery may come back just after a call began
 * and leave it hanging. Then the next call is answered {@link #RETRY_WITHIN_US} + {@link #MIN_CALL_US} = 5.6 s after
 * the return, if discovery answers within {@link #MIN_CALL_US} with connect and queueing; 0.4 s and the whole grace are
 * left to apply the list.
 *
 * <p>The call after a silent watch follows at once. It either brings what was missed, or is given up after half of the
 * time until that counts as announced; later calls have their full time. While discovery stays silent nothing can be
 * learnt: the list stays as it is, and calls go on within the bound.
 */
public final class ListCallTiming {
    /** What a silent call missed counts as announced this long after the call fell silent. */
    public static final long MISSED_TOLD_US = 6_000_000;
    /** What a silent watch missed counts as announced no sooner than this after its wait is over. */
    public static final long WATCH_MISSED_TOLD_US = 2_000_000;
    /** What discovery at a new address has counts as announced this long after the configuration that named it. */
    public static final long NEW_ADDRESS_TOLD_US = 4_000_000;
    /** The longest wait that a watch asks for. */
    public static final long LONGEST_WAIT_US = 20_000_000;
    /**
     * The longest time from the beginning of a call that failed to that of the next one. It is also the limit of a call
     * that does not wait: giving up sooner would gain nothing, and a discovery with too many callers works in vain if
     * all have hung up before they are served.
     */
    static final long RETRY_WITHIN_US = 3_250_000;
    /** The time that is left to a call after a failure for connect and answer. */
    static final long MIN_CALL_US = 2_350_000;
    /** How long discovery works on a call. */
    private static final long DISCOVERY_WORK_US = 250_000;
    /** An answer that takes longer than two calls' work had to queue. */
    private static final long QUEUED_ANSWER_US = 2 * DISCOVERY_WORK_US;
    /** The pause before a watch, in multiples of the time for which the answer before it had to queue. */
    private static final long PAUSE_PER_QUEUE_TIME = 5;
    /** What such a pause leaves of the drain's grace, for the call that follows and for a delay of this process. */
    private static final long GRACE_FOR_CALL_US = QUEUED_ANSWER_US + 150_000;
    /** As {@link #RETRY_WITHIN_US}, at a new address; with the call that follows 3.8 of the 4 s that are given. */
    static final long NEW_ADDRESS_RETRY_WITHIN_US = 1_950_000;
    /** The limit of a call at a new address, so that two calls fit into the time that is given. */
    static final long NEW_ADDRESS_CALL_US = 1_850_000;
    /** The least time between the first calls to two new addresses. */
    static final long NEW_ADDRESS_INTERVAL_US = 500_000;
    /**
     * The wait of a watch at an agent beside the sidecar, whose calls are cheap. A watch that breaks is noticed only
     * when its wait is over: with this wait, what it missed counts no sooner than with a call that does not wait.
     */
    static final long AGENT_WAIT_US = MISSED_TOLD_US - WATCH_MISSED_TOLD_US;
    /** The longest wait of a watch at a service that all ask, as a share of the time within which each has to ask. */
    private static final double WAIT_SHARE = 0.75;
    /** The share of that wait that is random, so that watches ended by one change don't end together again. */
    private static final double WAIT_RANDOM_SHARE = 0.25;
    private static final long MIN_WAIT_US = 1_000_000;
    private static final long MIN_LIMIT_US = 300_000;
    /** How long an answer that has begun may take to be complete: what counts is the whole answer, not its bytes. */
    private static final long ANSWER_LIMIT_US = MISSED_TOLD_US / 4;
    /** The longest pause before the next call, as a share of the time until something missed counts as announced. */
    private static final double PAUSE_SHARE = 0.25;
    private static final long NEVER = Long.MAX_VALUE;

    private final Supplier<Discovery> settings;
    private final SplittableRandom random;
    /** True from a change of discovery's address until the first call there succeeds. */
    private boolean addressIsNew;
    /** When the first call to the new address began. */
    private long newAddressCalledUs = NEVER;
    /** The same of the last new address; Long.MIN_VALUE: there was none. */
    private long lastNewAddressCallUs = Long.MIN_VALUE;
    /** True if the last call failed: the next one asks for the present list, without a wait. */
    private boolean lastCallFailed;
    /** True if the last call was a watch that stayed silent. */
    private boolean lastWasSilentWatch;
    private long callBeganUs;
    private long callWaitUs;
    private long callLimitUs;
    /** When the next call begins after one that failed; NEVER: none failed. */
    private long retryUs = NEVER;
    /** When what was missed since discovery last answered begins to count as announced. */
    private long missedToldUs = NEVER;
    /** The same of what the last silent call missed. */
    private long lastMissedToldUs = NEVER;
    /** The same of what discovery had after the last call that failed. */
    private long returnToldUs = NEVER;

    /**
     * @param settings gives the settings in use, which may change
     * @param random spreads this instance's calls among those of the others
     */
    public ListCallTiming(Supplier<Discovery> settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * A call begins now. Returns the wait that it asks for, at least 1; 0 for the whole list.
     *
     * @param whole true if the call asks for the whole list, which can't wait; false if for changes
     */
    public long callBegins(long now, boolean whole) {
        Discovery discovery = settings.get();
        callBeganUs = now;
        retryUs = NEVER;
        if (addressIsNew && newAddressCalledUs == NEVER) {
            newAddressCalledUs = now;
            lastNewAddressCallUs = now;
        }
        callWaitUs = whole ? 0 : lastCallFailed ? 1 : longestWaitUs(discovery);
        if (callWaitUs > 1) {
            // Two thirds of that time and the grace are left to connect anew, ask for the present list and act on it.
            callLimitUs = now + callWaitUs + WATCH_MISSED_TOLD_US / 3;
        } else {
            // An agent beside the sidecar answers at once.
            long usualUs = isNewAddressUntold(now) ? NEW_ADDRESS_CALL_US
                    : discovery.onRequest() ? RETRY_WITHIN_US : MISSED_TOLD_US / 6;
            long leftUs = lastWasSilentWatch && now < missedToldUs ? (missedToldUs - now) / 2 : usualUs;
            callLimitUs = now + Math.min(usualUs, Math.max(MIN_LIMIT_US, leftUs));
        }
        lastWasSilentWatch = false;
        return callWaitUs;
    }

    /** True if discovery has a new address, and what it has there does not yet count as announced. */
    private boolean isNewAddressUntold(long now) {
        return addressIsNew && now - newAddressCalledUs < NEW_ADDRESS_TOLD_US;
    }

    private long longestWaitUs(Discovery discovery) {
        if (!discovery.onRequest()) {
            return AGENT_WAIT_US;
        }
        double waitUs = discovery.askWithinUs() * WAIT_SHARE * (1 - WAIT_RANDOM_SHARE * random.nextDouble());
        return (long) Math.max(MIN_WAIT_US, Math.min(LONGEST_WAIT_US, waitUs));
    }

    /** Returns when the call in progress is given up. */
    public long callLimitUs() {
        return callLimitUs;
    }

    /** The first byte of the call's answer has arrived. */
    public void answerBegins(long now) {
        callLimitUs = Math.min(callLimitUs, now + ANSWER_LIMIT_US);
    }

    /**
     * Returns when the watch after the answer just received may begin. To be called before {@link #callSucceeded}.
     *
     * <p>That is at once, except after a failure if the answer shows that other callers queue, as the failure met them,
     * too. Then the watch lets them go first: the longer the queue, the later, up to the latest time at which a
     * caller without an answer would call again, within half of the time for which no call is needed, and early enough
     * to leave the grace the time for the watch, as what discovery has may count as announced at once.
     */
    public long watchFromUs(long now) {
        Discovery discovery = settings.get();
        long tookUs = now - callBeganUs;
        if (!lastCallFailed || !discovery.onRequest() || tookUs <= QUEUED_ANSWER_US) {
            return now;
        }
        long pauseUs = Math.min(PAUSE_PER_QUEUE_TIME * (tookUs - DISCOVERY_WORK_US),
                Math.max(0, discovery.drainGraceUs() - GRACE_FOR_CALL_US));
        return Math.min(now + pauseUs, callBeganUs + Math.min(RETRY_WITHIN_US, discovery.askWithinUs() / 2));
    }

    /** The call was answered whole, and the answer was applied. */
    public void callSucceeded() {
        addressIsNew = false;
        reset();
    }

    private void reset() {
        lastCallFailed = false;
        lastWasSilentWatch = false;
        newAddressCalledUs = NEVER;
        retryUs = NEVER;
        missedToldUs = NEVER;
        lastMissedToldUs = NEVER;
        returnToldUs = NEVER;
    }

    /** The call was given up at its limit; returns true if the next one follows at once, false after a pause. */
    public boolean callWasSilent() {
        lastMissedToldUs = callBeganUs + Math.max(MISSED_TOLD_US, callWaitUs + WATCH_MISSED_TOLD_US);
        missedToldUs = Math.min(missedToldUs, lastMissedToldUs);
        lastWasSilentWatch = callWaitUs > 1;
        boolean isFirst = !lastCallFailed;
        scheduleRetry(callBeganUs);
        retryUs = isFirst ? callBeganUs : retryUs;
        return isFirst;
    }

    /**
     * The call failed before its limit.
     *
     * @param answered true if an answer arrived that can't be used: discovery could be reached, perhaps since an
     *     earlier failure. False if it could not: then the time until its changes count as announced begins anew
     */
    public void callFailed(long now, boolean answered) {
        long toldUs = now + MISSED_TOLD_US;
        returnToldUs = answered ? Math.min(returnToldUs, toldUs) : toldUs;
        scheduleRetry(callWaitUs > 1 ? now : callBeganUs);
    }

    /**
     * Draws the time of the next call: after a first failure from the whole interval, as one event has met the whole
     * fleet at the same time; after further ones from its second half, which makes for fewer calls.
     */
    private void scheduleRetry(long fromUs) {
        long longestUs = isNewAddressUntold(fromUs) ? NEW_ADDRESS_RETRY_WITHIN_US : RETRY_WITHIN_US;
        long shortestUs = lastCallFailed ? longestUs / 2 : 0;
        retryUs = fromUs + shortestUs + random.nextLong(longestUs - shortestUs + 1);
        lastCallFailed = true;
    }

    /** Discovery has a new address, which has not failed yet; what was missed at the old one counts as before. */
    public void addressChanged() {
        addressIsNew = true;
        lastCallFailed = false;
        lastWasSilentWatch = false;
        newAddressCalledUs = NEVER;
        retryUs = NEVER;
    }

    /**
     * Returns when the first call to a new address may begin, so that address changes in a row don't crowd a service;
     * Long.MIN_VALUE: at any time.
     */
    public long newAddressCallFromUs() {
        boolean isLimited = settings.get().onRequest() && lastNewAddressCallUs != Long.MIN_VALUE;
        return isLimited ? lastNewAddressCallUs + NEW_ADDRESS_INTERVAL_US : Long.MIN_VALUE;
    }

    /**
     * Returns the longest pause before the next call; Long.MAX_VALUE if no call has failed and nothing that was missed
     * is about to count as announced.
     */
    public long longestPauseUs(long now) {
        long pauseUs = retryUs == NEVER ? NEVER : Math.max(1, retryUs - now);
        long toldUs = now < missedToldUs ? missedToldUs : lastMissedToldUs;
        return toldUs == NEVER || now >= toldUs ? pauseUs
                : Math.min(pauseUs, Math.max(1, (long) (PAUSE_SHARE * (toldUs - now))));
    }

    /** True if lists are pushed to an agent beside the instance, whose content counts as announced at any time. */
    public boolean asksAgent() {
        return !settings.get().onRequest();
    }

    /**
     * True if this pause is kept in full even if the module asks for a call sooner, as many share one discovery. How
     * soon an agent is asked again is up to the module, within this pause.
     */
    public boolean keepsPause() {
        return settings.get().onRequest();
    }

    /** Returns what earlier failures leave of the drain's grace for the list just received; 0 or more. */
    public long graceLeftUs(long now) {
        long graceUs = settings.get().drainGraceUs();
        long toldUs = Math.min(missedToldUs, returnToldUs);
        return toldUs > now ? graceUs : Math.max(0, graceUs - (now - toldUs));
    }
}
