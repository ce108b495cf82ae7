package dapplequay;

import dapplequay.BalancerApi.*;
import java.util.ArrayList;
import java.util.List;

/** A request without its final answer, and the rules on which servers it may be sent to. */
final class PendingRequest {
    /** What a thread and the network may take to bring the first byte of a repeat to its server. */
    private static final long REPEAT_DELIVERY_US = 20_000;
    /** How long this process may delay an attempt: for a used connection to rest, and for a thread to write it. */
    static final long MAX_LOCAL_DELAY_US = 40_000;

    private static final long NOT_STARTED = Long.MAX_VALUE;

    /** An attempt, and its server's place at the time: since then the list may have moved or restarted the server. */
    private record SentAttempt(Server server, int zone, int cell, long sentAt) { }

    final Request request;
    final ServiceClass serviceClass;
    /** Share of the worth of its class: less than 1 for a try that can only be late, or a tenant over its share. */
    final double worthShare;
    /** An answer after this time is worth nothing. */
    long usefulUntil;
    /** Most attempts that it may have. */
    int sendCap;
    /** True while its body is still arriving: no attempt of it runs yet. */
    boolean uploading;
    /** The servers of its attempts, in order. */
    final List<Server> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** The number of its attempts when the last of them was cancelled, as its server was silent; 0: none was. */
    int attemptsWhenCancelled;
    /** The first attempt that may have run; an attempt in flight counts until its outcome proves that it did not. */
    private SentAttempt firstMayHaveRun;
    private long lastSentAt;
    /** Start of its last attempt; {@link #NOT_STARTED} while this process may be delaying it. */
    private long lastStartedAt;

    PendingRequest(Request request, ServiceClass serviceClass, double worthShare, long usefulUntil, int sendCap) {
        this.request = request;
        this.serviceClass = serviceClass;
        this.worthShare = worthShare;
        this.usefulUntil = usefulUntil;
        this.sendCap = sendCap;
    }

    /**
     * True if the rules against repeated effects (rule 2) and on draining servers (rule 3), and the site's limits on
     * attempts, permit a next attempt at this server.
     */
    boolean maySendTo(long now, Server server, Limits limits) {
        if (!server.ready || attempts.size() >= sendCap || attemptsInFlight > 0 && !limits.secondCopies()) {
            return false;
        }
        SentAttempt ran = firstMayHaveRun;
        return ran == null || switch (serviceClass.semantics()) {
            case RETRYABLE -> true;
            case FRAGILE -> false;
            case DEDUP -> now < beginBy() && (serviceClass.group() == Group.ALL
                    || server.zone == ran.zone && (serviceClass.group() == Group.ZONE || server.cell == ran.cell));
        };
    }

    /**
     * Returns the time before which the first byte of its next attempt must go out: a repeat must reach its server
     * within the window in which repeats are discarded. Long.MAX_VALUE: no limit.
     */
    long beginBy() {
        return isRefusable() ? Long.MAX_VALUE : firstMayHaveRun.sentAt + serviceClass.windowUs() - REPEAT_DELIVERY_US;
    }

    /** True if the client may safely try again: no attempt may have run, or running twice does no harm. */
    boolean isRefusable() {
        return firstMayHaveRun == null || serviceClass.semantics() == Semantics.RETRYABLE;
    }

    void attemptSent(long now, Server server) {
        attempts.add(server);
        attemptsInFlight++;
        lastSentAt = now;
        lastStartedAt = NOT_STARTED;
        firstMayHaveRun = firstMayHaveRun != null ? firstMayHaveRun
                : new SentAttempt(server, server.zone, server.cell, now);
    }

    void attemptStarted(long now) {
        lastStartedAt = now;
    }

    /**
     * Returns how long the server of its last attempt has been waited for, us. An attempt whose start is not reported
     * counts as started when it was sent, once it can't be delayed by this process any more.
     */
    long awaitedUs(long now) {
        long since = lastStartedAt != NOT_STARTED ? lastStartedAt
                : now - lastSentAt > MAX_LOCAL_DELAY_US ? lastSentAt : now;
        return now - Math.max(since, lastServer().lastOutcomeAt);
    }

    /** Returns how long its last attempt waited for the received response; {@code tookUs} if no start was reported. */
    long waitedUs(long now, long tookUs) {
        return lastStartedAt != NOT_STARTED ? now - lastStartedAt : tookUs;
    }

    void attemptEnded(boolean neverRan) {
        attemptsInFlight--;
        if (neverRan && attemptsInFlight == 0 && firstMayHaveRun.server == lastServer()
                && firstMayHaveRun.sentAt == lastSentAt) {
            firstMayHaveRun = null;
        }
    }

    Server lastServer() {
        return attempts.get(attempts.size() - 1);
    }
}
