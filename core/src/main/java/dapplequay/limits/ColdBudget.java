package dapplequay.limits;

import dapplequay.BalancerApi.ColdStart;

/**
 * What a cold server may be sent. By the rule, all instances together may send it some times what it can do at
 * present; beyond that it falls over and stays down. Instances share nothing, so each takes an equal part of that,
 * divided by how many have the server in their sets. Pure: times are given, in microseconds.
 */
public final class ColdBudget {
    /** Share of the budget that is used: the rest is for chance, handshakes and sets that are unevenly spread. */
    private static final double MARGIN = 0.4;

    private final ColdStart cold;

    public ColdBudget(ColdStart cold) {
        this.cold = cold;
    }

    /** The share of its capacity that a server has at the least, up to 1: from its age. 0 or less: started long ago. */
    public double warmth(long now, long startedUs) {
        double age = startedUs <= 0 ? 1 : (double) Math.max(0, now - startedUs) / cold.warmUpUs();
        return Math.min(1, cold.from() + (1 - cold.from()) * age);
    }

    /** The pause after one instance's send to a cold server that, warm, needs {@code paceUs} for a request. */
    public long pauseUs(double paceUs, double senders, double warmth) {
        return (long) (paceUs * senders / (MARGIN * cold.tipMultiple() * warmth));
    }
}
