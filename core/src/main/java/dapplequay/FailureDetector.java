package dapplequay;

import dapplequay.BalancerApi.Actions;
import dapplequay.BalancerApi.Outcome;

/** Failure diversion: which servers are passed over, and when one is tried again. */
record FailureDetector(BuddySet set, Actions actions) {
    /** Who fails or has fallen silent is passed over for so long, us; a lost zone for three times as long. */
    static final long SHUN_US = 300_000;
    /** One that has failed at once when it was tried again. */
    private static final long FAILED_US = 1_800_000;
    // To the odds, in logarithms, that a server fails: what a failure adds and an answer takes away.
    private static final double DOUBT_ADD = 3;
    private static final double DOUBT_TAKE = 0.9;
    private static final double FAILING_SHARE = 0.6;      // of one that fails; what all fail alike says nothing of one
    private static final double FAILURES_GAIN = 0.01;

    /** What an outcome says about the server's health and its flag. */
    void judge(long now, Server s, Outcome outcome, boolean silent) {
        switch (outcome) {
            case OK -> {
                set.failures -= FAILURES_GAIN * set.failures;
                s.doubt = Math.max(Server.DOUBT_NONE, s.doubt - DOUBT_TAKE);
                if (s.trial && s.doubt < -2 * DOUBT_TAKE) {
                    s.trial = false;
                    actions.log("sound again: " + s.host);
                }
            }
            case REFUSED -> s.full(now);
            case TIMEOUT -> {
                s.clearFlag(now);
                if (silent) {
                    silent(now, s);
                }
            }
            case ERROR, RESET, CONNECT_FAILED -> {
                double more = Math.max(0, Math.min(DOUBT_ADD, Math.log(FAILING_SHARE / set.failures)));
                s.doubt += more;
                set.failures += FAILURES_GAIN * ((set.zoneLoss.isLost(s.zone) ? 0 : 1) - set.failures);
                if (s.doubt >= 0) {
                    s.clearFlag(now);
                    shun(now, s, outcome.name(), s.trial && s.doubt >= more ? FAILED_US : SHUN_US, 0);
                }
            }
        }
    }

    /** A server that fails fast has a short queue and would look idle: its answers count, not its figure. */
    private void shun(long now, Server s, String why, long forUs, double doubt) {
        if (!s.trial && 2 * set.buddies.stream().filter(o -> o.trial).count() >= set.buddies.size() - 1) {
            return;               // where half are suspects, the trouble is not with single servers
        }
        if (!s.trial) {
            actions.log("passed over for " + why + ": " + s.host);
        }
        s.shunUntil = now + forUs;
        s.trial = true;
        s.doubt = doubt;
    }

    /** One that has fallen silent has not failed: it is tried again soon, and one answer clears it. */
    void silent(long now, Server s) {
        shun(now, s, "silence", SHUN_US, s.trial ? s.doubt : -1.5 * DOUBT_TAKE);
    }
}
