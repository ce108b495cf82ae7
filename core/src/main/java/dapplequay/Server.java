package dapplequay;

import dapplequay.BalancerApi.LoadReport;
import dapplequay.membership.PseudoRandom;

/**
 * What is known of one server. Its load figure is the paper's cumulative execution time: the time, us, that a request
 * sent now is thought to take, which is what the server would hold times the pace that it shows.
 */
final class Server {
    // In times that the set takes for a request with nobody before it. Past TH_v a send would begin to wait.
    static final double TH_U = 1;
    static final double TH_F = 1.3;
    static final double TH_V = 1.5;
    /** Odds that it fails, in logarithms, where nothing speaks against it. */
    static final double DOUBT_NONE = -3.5;
    // Nobody is sent more than takes, at the set's pace, this share of the shortest aim, as all classes wait in one
    // queue, and a server that holds far more than it works on slows down, for long.
    private static final double QUEUE_SHARE = 0.8;
    /** The share of that room for a request worth nothing: the rest is kept for better ones. */
    private static final double LITTLE_WORTH = 0.5;
    /** What a report tells fades with this time constant, us: a queue nobody feeds is worked off. */
    private static final double FADE_US = 8_000_000;
    // Of the mean of what it holds for others: in times that its reports usually stay the same, and the longest, us.
    private static final double OTHERS_REFRESHES = 2;
    private static final double OTHERS_US = 3_000_000;
    /** A cleared flag is set again after about this, us: one send then tells how the server is. */
    private static final long FLAG_TIMER_US = 2_000_000;
    /** Weight of the newest answer in a server's pace, and in the set's: that bounds all, and has to be steady. */
    private static final double PACE_GAIN = 0.15;
    private static final double SET_GAIN = 0.02;
    private static final double PACE_PRIOR = 0.5;
    /** While cold, a pause is so many times as long where the pace is a guess, and before the first own send. */
    private static final double WARY = 1.5;
    private static final double MAX_HELD = 10_000;     // a report of more is broken

    final String host;
    final long hash;
    final double orderKey;        // place in this balancer's permutation
    private final BuddySet set;
    int zone;
    int cell;
    boolean ready;
    boolean draining;
    long startedUs;
    double size = 1;              // registered weight: how many requests it works on at once
    double keyPlace;              // in the order of the key in hand
    int own;                      // own attempts out
    long answeredAt;              // the last answer of any kind
    double awaited;               // by the attempts that are out, in times that their answers usually take
    long outcomeAt;               // the last outcome of an own attempt
    private long awaitedFrom;     // the start of the attempt that ended its idleness
    double reported = Double.NaN;
    private double others;        // held for others, as told, running mean
    long reportAt;
    private long changedAt;       // the last report that told another figure
    private double refresh = 1_000_000;   // usual time between two such, us, running mean
    private double heldSeen;      // requests held a unit of size as told with answers, running mean
    private double took;          // what those answers took, us, running mean
    long flagSetAt;               // the share flag: from then on it counts as set
    long shunUntil;
    boolean trial;                // failed, and not yet proved sound again
    double doubt = DOUBT_NONE;
    long turnsFrom;               // while cold: the news of its start, or the last own send
    double turnPhase;             // how many pauses count as over by then

    /** The paper permutes orders so that balancers that share a head do not share a second choice too. */
    Server(String host, int position, BuddySet set) {
        this.host = host;
        this.set = set;
        hash = PseudoRandom.mixBits(host.hashCode());
        orderKey = PseudoRandom.exponential(host.hashCode() * 31L + position * 0x9E3779B97F4AL);
    }

    /** A new process: what was known is of one that is gone. */
    void restarted(long now) {
        reported = Double.NaN;
        shunUntil = 0;
        startedCold(now, startedUs);
        trial = false;
        doubt = DOUBT_NONE;
        clearFlag(now);
    }

    /** Of many balancers that learn of a start together, each has its first turn at a moment of its own. */
    void startedCold(long now, long at) {
        startedUs = at;
        turnsFrom = now;
        turnPhase = 1 + set.random.nextDouble();
    }

    /** An own attempt was sent to it, which may still be held back on this side. */
    void sent(long now) {
        awaitedFrom = own++ == 0 ? now + PendingRequest.HELD_BACK_US : awaitedFrom;
    }

    /** An own attempt is held back no longer. */
    void started(long now) {
        awaitedFrom = Math.min(awaitedFrom, now);
    }

    /** Since when nothing has come of the attempts that are out. */
    long silentSince() {
        return Math.max(outcomeAt, awaitedFrom);
    }

    /** Requests held, as last reported, with own sends since; where good answers tell no count, others do the same. */
    double held(long now) {
        double alike = answeredAt > 0 && doubt <= DOUBT_NONE && Double.isNaN(reported) ? set.senders : 1;
        return Math.exp((reportAt - now) / FADE_US) * others + own * alike;
    }

    double figure(long now) {
        double time = (held(now) + 1) / size * pace() / warmth(now);
        // No outcome for so long while own requests are out: a hanging server sends no report to say so.
        return own > 0 ? Math.max(time, now - silentSince()) : time;
    }

    /** As the set's, on which it leans where little was sent. */
    private double pace() {
        return (took + PACE_PRIOR * set.held * set.pace()) / (heldSeen + PACE_PRIOR * set.held);
    }

    boolean hasRoom(long now, double worthShare) {
        return held(now) + 1 <= room() * (LITTLE_WORTH + (1 - LITTLE_WORTH) * worthShare);
    }

    /** The most that it may hold, for all. */
    private double room() {
        return QUEUE_SHARE * set.leastAim / set.pace() * size;
    }

    void heard(long now, LoadReport report) {
        double requests = report == null ? Double.NaN
                : !Double.isNaN(report.inFlight()) ? report.inFlight() : report.queue();
        if (!(requests >= 0 && requests <= MAX_HELD)) {
            return;                   // also NaN: one broken report must not upset the running means for good
        }
        boolean first = Double.isNaN(reported);
        if (requests != reported) {
            refresh += first ? 0 : PACE_GAIN * (now - changedAt - refresh);
            changedAt = now;
        }
        reported = requests;
        double gain = first ? 1 : 1 - Math.exp((reportAt - now) / Math.min(OTHERS_US, OTHERS_REFRESHES * refresh));
        others += gain * (Math.max(0, requests - own - 1) - others);
        reportAt = now;
        double figure = requests / size * pace() / set.pace();
        if (figure > TH_F) {
            clearFlag(now);
        } else if (figure <= TH_U && !trial) {
            flagSetAt = now;
        }
    }

    /** An answer to a request of its own, which took so long; with it came the report just heard. */
    void answered(long tookUs) {
        double heldPerSize = Math.max(1, reported / size);
        heldSeen += PACE_GAIN * (heldPerSize - heldSeen);
        took += PACE_GAIN * (tookUs - took);
        double gain = Math.max(SET_GAIN, 1.0 / ++set.answers);
        set.held += gain * (heldPerSize - set.held);
        set.took += gain * (tookUs - set.took);
    }

    /** It turned a request away. */
    void full(long now) {
        clearFlag(now);
        others = Math.max(others, room());   // until it says otherwise, or that has faded
        reportAt = now;
    }

    void clearFlag(long now) {
        flagSetAt = now + FLAG_TIMER_US / 2 + set.random.nextLong(FLAG_TIMER_US);
    }

    double warmth(long now) {
        return set.cold.warmth(now, startedUs);
    }

    /** Whether this balancer may send to it though it is cold; {@code alone}: as nothing better is left. */
    boolean hasTurn(long now, boolean alone) {
        // Past the aim the slowest answers are no longer waited for: the pace that the others show looks too good.
        double late = set.answers == 1 ? WARY : Math.pow(Math.max(1, set.took / set.leastAim), 2);
        long pause = set.cold.pauseUs(late * (turnPhase > 0 ? WARY : 1) * pace() / size, set.senders, warmth(now));
        boolean turn = (alone || set.buddies.stream().anyMatch(s -> s.answeredAt > 0))
                && set.cold.isTurn(now - turnsFrom + turnPhase * pause, pause);
        boolean next = alone && turnPhase == 0 && answeredAt > turnsFrom && doubt <= DOUBT_NONE && hasRoom(now, 1);
        return own == 0 && (turn || next && set.cold.bearsOneOfEach(pause));
    }
}
