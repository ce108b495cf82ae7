package dapplequay;

import dapplequay.BalancerApi.Actions;
import dapplequay.BalancerApi.Outcome;

/** Decides which servers are avoided because they fail or are silent, and when one is tried again. */
record FailureDetector(BuddySet set, Actions actions) {
    /** How long a server that fails or is silent is avoided; a lost zone is avoided three times as long. */
    static final long AVOID_US = 300_000;
    /** How long a server is avoided that failed again when it was tried. */
    private static final long AVOID_AGAIN_US = 1_800_000;
    /** What a failure adds to the log-odds that a server fails, at most. */
    private static final double FAILURE_LOG_ODDS = 3;
    /** What an answer takes from these log-odds. */
    private static final double ANSWER_LOG_ODDS = 0.9;
    /**
     * The share of attempts that fail at a failing server. A failure is evidence against a server only as far as this
     * exceeds the share at all servers.
     */
    private static final double FAILING_SERVER_SHARE = 0.6;
    /** Weight of the newest outcome in the share of failures at all servers. */
    private static final double FAILURE_SHARE_GAIN = 0.01;

    /** Updates the server's health and share flag by the outcome of an attempt. */
    void judge(long now, Server server, Outcome outcome, boolean silent) {
        switch (outcome) {
            case OK -> {
                set.failureShare -= FAILURE_SHARE_GAIN * set.failureShare;
                server.failureLogOdds = Math.max(Server.BASE_FAILURE_LOG_ODDS, server.failureLogOdds - ANSWER_LOG_ODDS);
                if (server.suspected && server.failureLogOdds < -2 * ANSWER_LOG_ODDS) {
                    server.suspected = false;
                    actions.log("sound again: " + server.host);
                }
            }
            case REFUSED -> server.requestRefused(now);
            case TIMEOUT -> {
                server.clearShareFlag(now);
                if (silent) {
                    silent(now, server);
                }
            }
            case ERROR, RESET, CONNECT_FAILED -> {
                double evidence = Math.max(0, Math.min(FAILURE_LOG_ODDS,
                        Math.log(FAILING_SERVER_SHARE / set.failureShare)));
                server.failureLogOdds += evidence;
                set.failureShare += FAILURE_SHARE_GAIN
                        * ((set.zoneLoss.isLost(server.zone) ? 0 : 1) - set.failureShare);
                if (server.failureLogOdds >= 0) {
                    server.clearShareFlag(now);
                    avoid(now, server, outcome.name(),
                            server.suspected && server.failureLogOdds >= evidence ? AVOID_AGAIN_US : AVOID_US, 0);
                }
            }
        }
    }

    /**
     * Avoids a server for a while and suspects it from then on. Its load figure can't show this: a server that fails
     * fast has a short queue and looks idle.
     */
    private void avoid(long now, Server server, String reason, long forUs, double failureLogOdds) {
        if (!server.suspected && 2 * set.buddies.stream().filter(o -> o.suspected).count() >= set.buddies.size() - 1) {
            return;               // with half of the buddies suspected, the cause is not in single servers
        }
        if (!server.suspected) {
            actions.log("passed over for " + reason + ": " + server.host);
        }
        server.avoidedUntil = now + forUs;
        server.suspected = true;
        server.failureLogOdds = failureLogOdds;
    }

    /** Avoids a server that has fallen silent. It has not failed: it is tried again soon, and one answer clears it. */
    void silent(long now, Server server) {
        avoid(now, server, "silence", AVOID_US, server.suspected ? server.failureLogOdds : -1.5 * ANSWER_LOG_ODDS);
    }
}
