package dapplequay.membership;

import dapplequay.BalancerApi.Discovery;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The one clock of the list: how long each call to discovery may wait, by when it is given up, and how soon the next
 * one follows. Pure; times in microseconds of any clock that does not run backwards. Not thread-safe.
 *
 * <p>What it is held to (the operators' page on the standing test): a call that stays silent is broken. What it missed
 * counts as told {@link #MISSED_US} after it fell silent, and of a call that may wait no sooner than {@link
 * #AFTER_WAIT_US} after that wait is over, whether it arrived or not; then the drain's grace begins. When a call fell
 * silent nobody here can tell, so that its beginning stands for it. And before all else: after a call that failed, was
 * refused or was given up, a change counts {@link #MISSED_US} after discovery had it and could be reached. From this
 * follow
 * <ul>
 * <li>after any failure: calls do not wait until one has succeeded, and the next one begins no later than {@link
 *     #AGAIN_US} after the failed one began (after one that waited: ended). Discovery may have come back just after
 *     that one began, and left it hanging: then the next one is whole {@link #AGAIN_US} + {@link #CALL_US} = 5.6 s
 *     after the return where discovery answers within {@link #CALL_US}, its connect and its queue included. 0.4 s
 *     and the whole of the grace are left for taking it over;
 * <li>the limit of a call that does not wait: all of {@link #AGAIN_US}. Giving up sooner would bring nothing sooner,
 *     and a discovery that has too many callers works for nobody where all have hung up by the time of their turn. An
 *     agent of the sidecar's own answers at once and is left no longer than a sixth of {@link #MISSED_US}. After a
 *     new configuration, what the new address has counts {@link #MOVED_US} later, and two calls fit into that;
 * <li>the pause before it: drawn from all of that time after the first failure, as one event has met the whole fleet
 *     at one moment, and from its second half after further ones, as fewer calls do then. How soon an agent is asked
 *     again, the module says, within the same bound;
 * <li>the watch after the first success: at once where discovery is idle. Where the answer shows that others queue,
 *     it leaves them their turn, for longer the more they are: up to {@link #AGAIN_US} after the call that was
 *     answered, which is behind the first calls of all. What discovery has meanwhile may count at once, so that the
 *     pause leaves of the drain's grace what the watch then needs;
 * <li>the limit of one that waits: its wait and a third of {@link #AFTER_WAIT_US}, which leaves two thirds and the
 *     grace for connecting anew, asking what there is now, and acting on it;
 * <li>an answer that has begun to come has a quarter of {@link #MISSED_US} for the rest, within the limit: it is
 *     not the bytes that count but the whole answer;
 * <li>the wait that is asked for: a watch that breaks in silence is found only when it is over, so that it is as
 *     short as calls are cheap. An agent's cost nobody anything: what has waited for {@link #AGENT_WAIT_US} counts no
 *     sooner than a call that does not wait. A service that all ask is left a call in three quarters of the time
 *     within which each has to ask anyhow, a quarter of them taken at random: watches that one change has ended do not
 *     end together again.
 * </ul>
 * The call after a silent watch follows at once: it either brings what was missed, or is seen to be silent in its turn,
 * after half of what is left until the missed counts; the next ones have their full time. Where discovery stays silent
 * there is nothing to know: the list stays as it is, and calls go on within the bound.
 */
public final class ListCallTiming {
    /** What a call that has fallen silent missed counts as told so much later. */
    public static final long MISSED_US = 6_000_000;
    /** The same after the wait of one that may wait is over, if that is later. */
    public static final long AFTER_WAIT_US = 2_000_000;
    /** What discovery at a new address has counts so long after the configuration that named it. */
    public static final long MOVED_US = 4_000_000;
    /** The longest wait that is asked for. */
    public static final long LONGEST_WAIT_US = 20_000_000;
    /** From the beginning of a call that failed to that of the next one, at the most. */
    static final long AGAIN_US = 3_250_000;
    /** What a call after a failure has for connect and answer, at the least. */
    static final long CALL_US = 2_350_000;
    /** Discovery works for so long on a call, us. */
    private static final long WORK_US = 250_000;
    /** An answer that takes longer than two calls had to queue, us. */
    private static final long QUEUED_US = 2 * WORK_US;
    /** The pause before a watch, in times of what the answer before it had to queue. */
    private static final long PAUSE_PER_QUEUED = 5;
    /** Of the drain's grace, kept for the call that follows on such a pause, and for a hold-up of this process, us. */
    private static final long GRACE_FOR_CALL_US = QUEUED_US + 150_000;
    /** The two in the time that a new address is left: 3.8 s of 4 together. */
    static final long MOVED_AGAIN_US = 1_950_000;
    static final long MOVED_CALL_US = 1_850_000;
    /** The first calls to new addresses that follow on each other begin at least so far apart. */
    static final long MOVES_APART_US = 500_000;
    /** That it has nothing to tell yet: what was missed counts as told after {@link #MISSED_US} all the same. */
    static final long AGENT_WAIT_US = MISSED_US - AFTER_WAIT_US;
    private static final double ASKED_SHARE = 0.75;
    private static final double SPREAD = 0.25;
    private static final long LEAST_WAIT_US = 1_000_000;
    private static final long LEAST_LIMIT_US = 300_000;
    private static final long ANSWER_US = MISSED_US / 4;
    /** Of what is left until something counts as told: the longest pause before it is asked again. */
    private static final double PAUSE_SHARE = 0.25;
    private static final long NEVER = Long.MAX_VALUE;

    private final Supplier<Discovery> settings;
    private final SplittableRandom random;
    private boolean isMoved;
    private long movedUs = NEVER;   // the first call to the new address began then
    private long lastMoveCallUs = Long.MIN_VALUE;
    private boolean isUnsure;       // the last call failed: what there is now is asked for, without a wait
    private boolean watchWasSilent;         // it was the last call
    private long beganUs;
    private long waitUs;
    private long limitUs;
    private long againUs = NEVER;   // the next call begins then: one that failed came before
    private long toldUs = NEVER;    // from then on what was missed since discovery was last heard counts as told
    private long nextToldUs = NEVER;        // the same of what the last silent call missed
    private long returnToldUs = NEVER;      // the same of what came after the last call that failed

    /**
     * {@code settings}: of the moment, as they may change; {@code random}: spreads this one's calls among the others'.
     */
    public ListCallTiming(Supplier<Discovery> settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Another call begins now, for {@code all} of the list or for changes: the wait that it asks for, at least 1; what
     * is asked for all can't wait.
     */
    public long begin(long now, boolean all) {
        Discovery discovery = settings.get();
        beganUs = now;
        againUs = NEVER;
        if (isMoved && movedUs == NEVER) {
            movedUs = now;
            lastMoveCallUs = now;
        }
        waitUs = all ? 0 : isUnsure ? 1 : longestWaitUs(discovery);
        if (waitUs > 1) {
            limitUs = now + waitUs + AFTER_WAIT_US / 3;
        } else {
            long usualUs = isNewThere(now) ? MOVED_CALL_US : discovery.onRequest() ? AGAIN_US : MISSED_US / 6;
            long leftUs = watchWasSilent && now < toldUs ? (toldUs - now) / 2 : usualUs;
            limitUs = now + Math.min(usualUs, Math.max(LEAST_LIMIT_US, leftUs));
        }
        watchWasSilent = false;
        return waitUs;
    }

    /** Whether what a new address has is about to count. */
    private boolean isNewThere(long now) {
        return isMoved && now - movedUs < MOVED_US;
    }

    private long longestWaitUs(Discovery discovery) {
        if (!discovery.onRequest()) {
            return AGENT_WAIT_US;
        }
        double wait = discovery.askWithinUs() * ASKED_SHARE * (1 - SPREAD * random.nextDouble());
        return (long) Math.max(LEAST_WAIT_US, Math.min(LONGEST_WAIT_US, wait));
    }

    /** When the call under way is given up. */
    public long limitUs() {
        return limitUs;
    }

    /** The first byte of its answer has come. */
    public void answering(long now) {
        limitUs = Math.min(limitUs, now + ANSWER_US);
    }

    /**
     * When the watch may begin that follows on the answer which has just come: at once, but after a failure that has
     * met others, too, where the answer shows that they queue. Then it leaves them their turn: it begins no later than
     * a further call of one that had not been heard yet would, within half of the time for which none is needed, and
     * early enough for what the grace has to cover. To be asked before {@link #heard}.
     */
    public long watchFromUs(long now) {
        Discovery discovery = settings.get();
        long tookUs = now - beganUs;
        if (!isUnsure || !discovery.onRequest() || tookUs <= QUEUED_US) {
            return now;
        }
        long pauseUs = Math.min(PAUSE_PER_QUEUED * (tookUs - WORK_US),
                Math.max(0, discovery.drainGraceUs() - GRACE_FOR_CALL_US));
        return Math.min(now + pauseUs, beganUs + Math.min(AGAIN_US, discovery.askWithinUs() / 2));
    }

    /** It was answered whole, and that was taken over. */
    public void heard() {
        isMoved = false;
        settle();
    }

    private void settle() {
        isUnsure = false;
        watchWasSilent = false;
        movedUs = NEVER;
        againUs = NEVER;
        toldUs = NEVER;
        nextToldUs = NEVER;
        returnToldUs = NEVER;
    }

    /** It was given up: true where the next one follows at once, false where a pause is kept. */
    public boolean silent() {
        nextToldUs = beganUs + Math.max(MISSED_US, waitUs + AFTER_WAIT_US);
        toldUs = Math.min(toldUs, nextToldUs);
        watchWasSilent = waitUs > 1;
        boolean first = !isUnsure;
        again(beganUs);
        againUs = first ? beganUs : againUs;
        return first;
    }

    /**
     * It failed before its time was over. {@code spoke}: by an answer that can't be used, so that discovery was there,
     * and may have been since an earlier failure; else it was not, and what it has to tell begins to count anew.
     */
    public void failed(long now, boolean spoke) {
        long countsUs = now + MISSED_US;
        returnToldUs = spoke ? Math.min(returnToldUs, countsUs) : countsUs;
        again(waitUs > 1 ? now : beganUs);
    }

    private void again(long fromUs) {
        long mostUs = isNewThere(fromUs) ? MOVED_AGAIN_US : AGAIN_US;
        long leastUs = isUnsure ? mostUs / 2 : 0;
        againUs = fromUs + leastUs + random.nextLong(mostUs - leastUs + 1);
        isUnsure = true;
    }

    /** Discovery is at another address, and has not failed yet; what was missed at the old one counts as it did. */
    public void moved() {
        isMoved = true;
        isUnsure = false;
        watchWasSilent = false;
        movedUs = NEVER;
        againUs = NEVER;
    }

    /** When the first call to a new address may begin: right after another such call it would only crowd a service. */
    public long moveCallFromUs() {
        boolean isLimited = settings.get().onRequest() && lastMoveCallUs != Long.MIN_VALUE;
        return isLimited ? lastMoveCallUs + MOVES_APART_US : Long.MIN_VALUE;
    }

    /**
     * The longest pause before the next call: {@link Long#MAX_VALUE} where none failed, and nothing that was missed
     * is about to count.
     */
    public long longestPauseUs(long now) {
        long pauseUs = againUs == NEVER ? NEVER : Math.max(1, againUs - now);
        long countsUs = now < toldUs ? toldUs : nextToldUs;
        return countsUs == NEVER || now >= countsUs ? pauseUs
                : Math.min(pauseUs, Math.max(1, (long) (PAUSE_SHARE * (countsUs - now))));
    }

    /** Whether that pause is kept in full, whatever the module wants: many share one discovery. */
    public boolean keepsPause() {
        return settings.get().onRequest();
    }

    /**
     * What is left of the drain's grace for what has just come, after failures that may have eaten of it; 0 or more.
     */
    public long graceLeftUs(long now) {
        long graceUs = settings.get().drainGraceUs();
        long countsUs = Math.min(toldUs, returnToldUs);
        return countsUs > now ? graceUs : Math.max(0, graceUs - (now - countsUs));
    }
}
