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
 * silent nobody here can tell, so that its beginning stands for it. From this follow
 * <ul>
 * <li>the limit of a call that does not wait: half of {@link #MISSED_US}, so that one more of the same length is
 *     whole before anything counts. An agent of the sidecar's own answers at once and is left no longer than a sixth;
 *     after a new configuration, what the new address has counts {@link #MOVED_US} later, and two calls fit into that;
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
 * The call after a silent one does not wait: it either brings what was missed, or is seen to be silent in its turn,
 * after half of what is left until the missed counts. Where discovery stays silent there is nothing to know: the list
 * stays as it is, and calls go on at the module's pace.
 */
public final class ListClock {
    /** What a call that has fallen silent missed counts as told so much later. */
    public static final long MISSED_US = 6_000_000;
    /** The same after the wait of one that may wait is over, if that is later. */
    public static final long AFTER_WAIT_US = 2_000_000;
    /** What discovery at a new address has counts so long after the configuration that named it. */
    public static final long MOVED_US = 4_000_000;
    /** The longest wait that is asked for. */
    public static final long LONGEST_WAIT_US = 20_000_000;
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
    private boolean isUnsure;       // the last call was silent: what there is now is asked for, without a wait
    private long beganUs;
    private long waitUs;
    private long limitUs;
    private long toldUs = NEVER;    // from then on what was missed since discovery was last heard counts as told
    private long nextToldUs = NEVER;        // the same of what the last silent call missed

    /**
     * {@code settings}: of the moment, as they may change; {@code random}: spreads this one's calls among the others'.
     */
    public ListClock(Supplier<Discovery> settings, SplittableRandom random) {
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
        waitUs = all ? 0 : isUnsure ? 1 : longestWaitUs(discovery);
        if (waitUs > 1) {
            limitUs = now + waitUs + AFTER_WAIT_US / 3;
        } else {
            long usualUs = isMoved ? MOVED_US / 2 : discovery.onRequest() ? MISSED_US / 2 : MISSED_US / 6;
            limitUs = now + (now >= toldUs ? usualUs : Math.min(usualUs, Math.max(LEAST_LIMIT_US, (toldUs - now) / 2)));
        }
        return waitUs;
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

    /** It was answered whole, and that was taken over. */
    public void heard() {
        isMoved = false;
        settle();
    }

    private void settle() {
        isUnsure = false;
        toldUs = NEVER;
        nextToldUs = NEVER;
    }

    /** It was given up: true where the next one follows at once, false where the module's pace is kept. */
    public boolean silent() {
        nextToldUs = beganUs + Math.max(MISSED_US, waitUs + AFTER_WAIT_US);
        toldUs = Math.min(toldUs, nextToldUs);
        boolean first = !isUnsure;
        isUnsure = true;
        return first;
    }

    /** Discovery is at another address: what was missed at the old one is of no use to anybody. */
    public void moved() {
        isMoved = true;
        settle();
    }

    /**
     * The longest pause before the next call: {@link Long#MAX_VALUE} where nothing that was missed is about to count.
     */
    public long longestPauseUs(long now) {
        long countsUs = now < toldUs ? toldUs : nextToldUs;
        return countsUs == NEVER || now >= countsUs ? NEVER : Math.max(1, (long) (PAUSE_SHARE * (countsUs - now)));
    }

    /**
     * What is left of the drain's grace for what has just come, after a silence that may have eaten of it; 0 or more.
     */
    public long graceLeftUs(long now) {
        long graceUs = settings.get().drainGraceUs();
        return toldUs > now ? graceUs : Math.max(0, graceUs - (now - toldUs));
    }
}
