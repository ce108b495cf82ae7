package dapplequay.limits;

import dapplequay.BalancerApi.ColdStart;

/**
 * Limits what is sent to a cold server: if all instances together send it more than a multiple of what it can serve at
 * present, it fails. Instances share nothing, so that each takes an equal part. Pure; times in microseconds.
 */
public record ColdBudget(ColdStart cold) {
    /** Share of the budget that is used; the rest is for chance, handshakes and buddy sets of uneven size. */
    private static final double USED_SHARE = 0.4;

    /**
     * Returns the least share of its capacity that a server has by its age, up to 1.
     *
     * @param startedUs when it started; 0 or less: long ago
     */
    public double warmth(long now, long startedUs) {
        double age = startedUs <= 0 ? 1 : (double) Math.max(0, now - startedUs) / cold.warmUpUs();
        return Math.min(1, cold.from() + (1 - cold.from()) * age);
    }

    /**
     * Returns the pause that one instance keeps after a send to a cold server.
     *
     * @param paceUs what the server needs for a request when it is warm
     * @param senders how many instances send to it
     */
    public long pauseUs(double paceUs, double senders, double warmth) {
        return 1 + (long) (paceUs * senders / (USED_SHARE * cold.tipMultiple() * warmth));
    }

    /**
     * True if an instance may send, once in each pause. A turn that is not used lapses soon, or all instances would use
     * their unused turns at the same time.
     *
     * @param sinceUs the time since the instance's last send
     */
    public boolean isTurn(double sinceUs, long pauseUs) {
        return sinceUs >= pauseUs && sinceUs % pauseUs < Math.max(pauseUs / 8, cold.tipAfterUs() / 2);
    }

    /** True if the budget covers one request in flight from each instance, and those that are served meanwhile. */
    public boolean bearsOneOfEach(long pauseUs) {
        return USED_SHARE * pauseUs <= (1 - 1 / cold.tipMultiple()) * cold.tipAfterUs();
    }
}
