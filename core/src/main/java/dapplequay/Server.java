package dapplequay;

import dapplequay.BalancerApi.LoadReport;
import dapplequay.membership.PseudoRandom;

/**
 * What is known of one server. Its load figure is the paper's cumulative execution time: the time that a request sent
 * now is expected to take, which is the number of requests in flight there times the time for each.
 */
final class Server {
    /** A report of a load figure up to this, in multiples of the set's pace, sets the share flag. */
    static final double TH_U = 1;
    /** A report of a load figure above this, in multiples of the set's pace, clears the share flag. */
    static final double TH_F = 1.3;
    /** Past this load figure, in multiples of the set's pace, a request would begin to wait: it is sent elsewhere. */
    static final double TH_V = 1.5;
    /** The log-odds that a server fails, without evidence against it. */
    static final double BASE_FAILURE_LOG_ODDS = -3.5;
    /**
     * A server is sent no more requests than it serves, at the set's pace, within this share of the shortest target
     * latency: all classes wait in one queue, and a server that holds far more than it works on stays slow for long.
     */
    private static final double MAX_QUEUE_AIM_SHARE = 0.8;
    /** The share of that room which is open to a request of worth 0: the rest is kept for requests of more worth. */
    private static final double WORTHLESS_ROOM_SHARE = 0.5;
    /** The load stated in a report decays with this time constant: a queue that gets nothing is worked off. */
    private static final double REPORT_DECAY_US = 8_000_000;
    /** Time constant of the mean load from other balancers, in multiples of the interval between new reports. */
    private static final double OTHERS_MEAN_INTERVALS = 2;
    /** The longest time constant of that mean. */
    private static final double OTHERS_MEAN_MAX_US = 3_000_000;
    /** A cleared share flag is set again after this on average: one send then shows how the server is. */
    private static final long SHARE_FLAG_TIMER_US = 2_000_000;
    /** Weight of the newest answer or report in the running means of a server. */
    private static final double SERVER_GAIN = 0.15;
    /** Weight of the newest answer in the set's running means: these bound the load of all, and have to be steady. */
    private static final double SET_GAIN = 0.02;
    /** Weight of the set's pace in a server's pace: it prevails while the server has answered little. */
    private static final double SET_PACE_WEIGHT = 0.5;
    /** Pauses between sends to a cold server are longer by this if the pace is a guess, and before the first send. */
    private static final double COLD_CAUTION = 1.5;
    /** A report of more requests is treated as invalid. */
    private static final double MAX_REPORTED = 10_000;

    final String host;
    final long hash;
    /** Its place in this balancer's permutation of the servers. */
    final double orderKey;
    private final BuddySet set;
    int zone;
    int cell;
    boolean ready;
    boolean draining;
    long startedUs;
    /** Registered weight: how many requests it works on at once. */
    double weight = 1;
    /** Its place in the order for the key at hand; the lowest is first. */
    double keyRank;
    /** Attempts of this balancer in flight. */
    int ownInFlight;
    /** Time of the last answer of any kind. */
    long lastAnswerAt;
    /** How long the attempts in flight have waited, in multiples of their usual answer times, in sum. */
    double awaitedMultiple;
    /** Time of the last outcome of an own attempt. */
    long lastOutcomeAt;
    /** Start of the attempt that was sent when no other was in flight. */
    private long awaitedSince;
    /** Requests in flight as last reported; NaN: never. */
    double reportedInFlight = Double.NaN;
    /** Requests in flight from other balancers, as reported: running mean. */
    private double othersInFlight;
    long lastReportAt;
    /** Time of the last report that differed from the one before. */
    private long reportChangedAt;
    /** Time between two such reports: running mean. */
    private double reportChangeIntervalUs = 1_000_000;
    /** Requests in flight per unit of weight, as reported with answers: running mean. */
    private double meanInFlightPerWeight;
    /** What these answers took: running mean. */
    private double meanAnswerUs;
    /** The share flag counts as set from this time on. */
    long shareFlagSetAt;
    /** Nothing is sent to it before this time, as it failed or was silent. */
    long avoidedUntil;
    /** True if it failed or was silent, and has not proved sound since. */
    boolean suspected;
    double failureLogOdds = BASE_FAILURE_LOG_ODDS;
    /** While cold: when this balancer learned of its start or last sent to it. */
    long coldTurnsFrom;
    /** How many pauses count as over at {@link #coldTurnsFrom}. */
    double coldTurnPhase;

    /** Each balancer has its own order, so that balancers that share a head don't share a second choice (the paper). */
    Server(String host, int position, BuddySet set) {
        this.host = host;
        this.set = set;
        hash = PseudoRandom.mixBits(host.hashCode());
        orderKey = PseudoRandom.exponential(host.hashCode() * 31L + position * 0x9E3779B97F4AL);
    }

    /** Forgets what was known of the process that ran before. */
    void processRestarted(long now) {
        reportedInFlight = Double.NaN;
        avoidedUntil = 0;
        beginColdStart(now, startedUs);
        suspected = false;
        failureLogOdds = BASE_FAILURE_LOG_ODDS;
        clearShareFlag(now);
    }

    /** Many balancers learn of a start at once: a random phase gives each a first turn at a time of its own. */
    void beginColdStart(long now, long startUs) {
        startedUs = startUs;
        coldTurnsFrom = now;
        coldTurnPhase = 1 + set.random.nextDouble();
    }

    /** An own attempt was sent to it, which this process may still delay. */
    void attemptSent(long now) {
        awaitedSince = ownInFlight++ == 0 ? now + PendingRequest.MAX_LOCAL_DELAY_US : awaitedSince;
    }

    /** An own attempt is no longer delayed by this process. */
    void attemptStarted(long now) {
        awaitedSince = Math.min(awaitedSince, now);
    }

    /** Returns since when there has been no outcome of the attempts in flight. */
    long silentSince() {
        return Math.max(lastOutcomeAt, awaitedSince);
    }

    /**
     * Returns the requests in flight: what others hold as last reported, and this balancer's own. If good answers come
     * without a count, the other balancers that use the server are assumed to have as many in flight as this one.
     */
    double estimatedInFlight(long now) {
        double balancers = lastAnswerAt > 0 && failureLogOdds <= BASE_FAILURE_LOG_ODDS
                && Double.isNaN(reportedInFlight) ? set.balancersPerServer : 1;
        return Math.exp((lastReportAt - now) / REPORT_DECAY_US) * othersInFlight + ownInFlight * balancers;
    }

    /** Returns the load figure: the time, us, that a request sent now is expected to take. */
    double loadFigureUs(long now) {
        double timeUs = (estimatedInFlight(now) + 1) / weight * paceUs() / warmth(now);
        // At least the time without any outcome: a server that hangs sends no report that would show it.
        return ownInFlight > 0 ? Math.max(timeUs, now - silentSince()) : timeUs;
    }

    /** Returns the time per request in flight and unit of weight; near the set's while the server answered little. */
    private double paceUs() {
        return (meanAnswerUs + SET_PACE_WEIGHT * set.meanInFlightPerWeight * set.paceUs())
                / (meanInFlightPerWeight + SET_PACE_WEIGHT * set.meanInFlightPerWeight);
    }

    /** True if the server has room for a request of this share of its class's worth. */
    boolean hasRoom(long now, double worthShare) {
        return estimatedInFlight(now) + 1
                <= maxInFlight() * (WORTHLESS_ROOM_SHARE + (1 - WORTHLESS_ROOM_SHARE) * worthShare);
    }

    /** Returns the most requests that it may hold, from all balancers. */
    private double maxInFlight() {
        return MAX_QUEUE_AIM_SHARE * set.shortestAimUs / set.paceUs() * weight;
    }

    /** Takes over a load report. {@code report} may be null. */
    void reportReceived(long now, LoadReport report) {
        double requests = report == null ? Double.NaN
                : !Double.isNaN(report.inFlight()) ? report.inFlight() : report.queue();
        if (!(requests >= 0 && requests <= MAX_REPORTED)) {
            return;                   // NaN, too: one broken report must not corrupt the running means for good
        }
        boolean first = Double.isNaN(reportedInFlight);
        if (requests != reportedInFlight) {
            reportChangeIntervalUs += first ? 0 : SERVER_GAIN * (now - reportChangedAt - reportChangeIntervalUs);
            reportChangedAt = now;
        }
        reportedInFlight = requests;
        double gain = first ? 1 : 1 - Math.exp((lastReportAt - now)
                / Math.min(OTHERS_MEAN_MAX_US, OTHERS_MEAN_INTERVALS * reportChangeIntervalUs));
        othersInFlight += gain * (Math.max(0, requests - ownInFlight - 1) - othersInFlight);
        lastReportAt = now;
        double figure = requests / weight * paceUs() / set.paceUs();
        if (figure > TH_F) {
            clearShareFlag(now);
        } else if (figure <= TH_U && !suspected) {
            shareFlagSetAt = now;
        }
    }

    /** An own request was answered after this time; the report just received was part of that answer. */
    void answerReceived(long tookUs) {
        double inFlightPerWeight = Math.max(1, reportedInFlight / weight);
        meanInFlightPerWeight += SERVER_GAIN * (inFlightPerWeight - meanInFlightPerWeight);
        meanAnswerUs += SERVER_GAIN * (tookUs - meanAnswerUs);
        double gain = Math.max(SET_GAIN, 1.0 / ++set.answerCount);
        set.meanInFlightPerWeight += gain * (inFlightPerWeight - set.meanInFlightPerWeight);
        set.meanAnswerUs += gain * (tookUs - set.meanAnswerUs);
    }

    /** It refused a request: it counts as full until it reports otherwise or that has decayed. */
    void requestRefused(long now) {
        clearShareFlag(now);
        othersInFlight = Math.max(othersInFlight, maxInFlight());
        lastReportAt = now;
    }

    /** Clears the share flag until a random time, between half and one and a half of the flag's timer. */
    void clearShareFlag(long now) {
        shareFlagSetAt = now + SHARE_FLAG_TIMER_US / 2 + set.random.nextLong(SHARE_FLAG_TIMER_US);
    }

    /** Returns the share of its capacity that it has by now, up to 1. */
    double warmth(long now) {
        return set.coldBudget.warmth(now, startedUs);
    }

    /**
     * True if this balancer may send to it now although it is cold.
     *
     * @param alone true if no better server is left
     */
    boolean hasColdTurn(long now, boolean alone) {
        // Past the aim, the slowest answers are no longer waited for: the pace that the others show is too good.
        double late = set.answerCount == 1 ? COLD_CAUTION
                : Math.pow(Math.max(1, set.meanAnswerUs / set.shortestAimUs), 2);
        long pauseUs = set.coldBudget.pauseUs(late * (coldTurnPhase > 0 ? COLD_CAUTION : 1) * paceUs() / weight,
                set.balancersPerServer, warmth(now));
        boolean hasRegularTurn = (alone || set.buddies.stream().anyMatch(s -> s.lastAnswerAt > 0))
                && set.coldBudget.isTurn(now - coldTurnsFrom + coldTurnPhase * pauseUs, pauseUs);
        boolean hasAnsweredLast = alone && coldTurnPhase == 0 && lastAnswerAt > coldTurnsFrom
                && failureLogOdds <= BASE_FAILURE_LOG_ODDS && hasRoom(now, 1);
        return ownInFlight == 0 && (hasRegularTurn || hasAnsweredLast && set.coldBudget.bearsOneOfEach(pauseUs));
    }
}
