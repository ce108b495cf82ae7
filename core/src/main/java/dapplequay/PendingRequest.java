package dapplequay;

import dapplequay.BalancerApi.*;
import java.util.ArrayList;
import java.util.List;

/** A request taken and not yet answered, and the rules on where it may go. */
final class PendingRequest {
    /** What a repeat's first byte may take to its server, and a thread to write it, us. */
    private static final long WAY_US = 20_000;
    /** So long an attempt may be held back here: for a used connection to rest, and for a thread to write it, us. */
    static final long HELD_BACK_US = 40_000;

    private static final long NOT_YET = Long.MAX_VALUE;

    /** An attempt, and where its server was listed when it went out: the list may move it, or start it anew, since. */
    private record Sent(Server server, int zone, int cell, long at) { }

    final Request request;
    final ServiceClass type;
    final double worthShare;      // of its class's worth: less than 1 for a try that can only be late
    long usefulUntil;             // an answer after this is worth nothing
    int sendCap;                  // attempts that it may have
    boolean uploading;            // its body is still coming: no attempt of it runs yet
    final List<Server> attempts = new ArrayList<>(2);
    int out;
    int cut;                      // attempts of which the last was given up as its server is silent
    private Sent firstMayHaveRun; // out counts as may have run, until its outcome proves that it did not
    private long sentAt;
    private long startedAt;       // of its last attempt; NOT_YET: it may be held back on this side

    PendingRequest(Request request, ServiceClass type, double worthShare, long usefulUntil, int sendCap) {
        this.request = request;
        this.type = type;
        this.worthShare = worthShare;
        this.usefulUntil = usefulUntil;
        this.sendCap = sendCap;
    }

    /** Rules 2 and 3, and the site's limits on attempts. */
    boolean mayGo(long now, Server s, Limits limits) {
        if (!s.ready || attempts.size() >= sendCap || out > 0 && !limits.secondCopies()) {
            return false;
        }
        Sent ran = firstMayHaveRun;
        return ran == null || switch (type.semantics()) {
            case RETRYABLE -> true;
            case FRAGILE -> false;
            case DEDUP -> now < beginBy() && (type.group() == Group.ALL
                    || s.zone == ran.zone && (type.group() == Group.ZONE || s.cell == ran.cell));
        };
    }

    /** Until when the first byte of its next attempt may go out: a repeat has to reach its server in the window. */
    long beginBy() {
        return isRefusable() ? Long.MAX_VALUE : firstMayHaveRun.at + type.windowUs() - WAY_US;
    }

    /** Whether the client may safely try again; of what may have run, only where running again does nothing. */
    boolean isRefusable() {
        return firstMayHaveRun == null || type.semantics() == Semantics.RETRYABLE;
    }

    void sent(long now, Server s) {
        attempts.add(s);
        out++;
        sentAt = now;
        startedAt = NOT_YET;
        firstMayHaveRun = firstMayHaveRun != null ? firstMayHaveRun : new Sent(s, s.zone, s.cell, now);
    }

    void started(long now) {
        startedAt = now;
    }

    /** How long its last attempt's server is waited for, us; one whose start nobody tells began when it was sent. */
    long awaitedUs(long now) {
        long since = startedAt != NOT_YET ? startedAt : now - sentAt > HELD_BACK_US ? sentAt : now;
        return now - Math.max(since, last().outcomeAt);
    }

    /** How long its last attempt has waited for its answer, which is here; where no start was told, what it took. */
    long waitedUs(long now, long tookUs) {
        return startedAt != NOT_YET ? now - startedAt : tookUs;
    }

    void ended(boolean neverRan) {
        out--;
        if (neverRan && out == 0 && firstMayHaveRun.server == last() && firstMayHaveRun.at == sentAt) {
            firstMayHaveRun = null;
        }
    }

    Server last() {
        return attempts.get(attempts.size() - 1);
    }
}
