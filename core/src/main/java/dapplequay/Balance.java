// Interface: BalancerApi.java (the events that come in, the actions that go out, the values of both).
package dapplequay;

import dapplequay.fairness.TenantWorth;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Makes all decisions of one balancer, by buddy-set load sharing (Shin and Chang). The balancer sends to a small buddy
 * set in a fixed order: to the head, unless this takes the head past TH_v; then to the first buddy in order whose share
 * flag is set; else to the head. Only {@link #send} sends, and only {@link #answer} answers. Instances share nothing.
 * Not thread-safe.
 */
public final class Balance implements BalancerApi {
    /** No attempt is made with less time than this: a network round trip and the shortest work. */
    private static final long MIN_ATTEMPT_US = 2_000;
    /**
     * A connect that took longer than this share of the shortest target latency before it failed says nothing about the
     * server: this process itself may have been late.
     */
    private static final double PROMPT_CONNECT_AIM_SHARE = 0.5;
    /**
     * A server counts as silent once its attempts together have waited this many times their usual answer time, and
     * nothing was received from it for at least the interval between two checks.
     */
    private static final double SILENCE_MULTIPLE = 16;
    /** The interval between checks for silent servers, as a share of the shortest target latency. */
    private static final double SILENCE_CHECK_AIM_SHARE = 0.1;
    private static final long SILENCE_CHECK_TOKEN = 1;

    private final Actions actions;
    final BuddySet set;
    private final ServerSelector selector;
    private final FailureDetector failureDetector;
    private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();
    /** By class name: the longest time left that a request arrived with, which is what clients grant a first try. */
    private final Map<String, Long> longestLeftUs = new HashMap<>();
    private final AnswerTimes answerTimes = new AnswerTimes();
    private Settings settings;
    private TenantWorth tenants;
    private boolean silenceTimerIsSet;

    /** @throws IllegalArgumentException naming the setting that is illegal */
    public Balance(Settings settings, long seed, Actions actions) {
        this.actions = actions;
        set = new BuddySet(settings, new SplittableRandom(seed));
        failureDetector = new FailureDetector(set, actions);
        selector = new ServerSelector(set);
        configure(settings);
    }

    private void configure(Settings next) {
        next.check(settings);
        settings = next;
        set.configure(next);
        selector.configure(next);
        answerTimes.configure(next.classes());
        tenants = new TenantWorth(next.tenants(), next.overShareWorth());
    }

    @Override
    public void reconfigure(long now, Settings next) {
        configure(next);
        set.rebuild(now);
    }

    @Override
    public void fleet(long now, ListKind kind, List<FleetEntry> entries) {
        set.updateList(now, kind == ListKind.FULL || kind == ListKind.RESTORED, entries);
    }

    @Override
    public void request(long now, Request request) {
        ServiceClass serviceClass = settings.classes().get(request.serviceClass());
        // Less time left than clients grant a first try: a retry, and the time before it counts against the aim.
        long longestUs = longestLeftUs.merge(serviceClass.name(), request.leftUs(), Math::max);
        long elapsedUs = request.leftUs() < longestUs * 0.98
                ? Math.max(0, serviceClass.deadlineUs() - request.leftUs()) : 0;
        long usefulUs = serviceClass.lateWorth() > 0 ? request.leftUs()
                : Math.min(request.leftUs(), serviceClass.aimUs()
                        + (long) (serviceClass.aimStretch() * request.costHintUs()) - elapsedUs);
        double worth = (elapsedUs >= serviceClass.aimUs() ? serviceClass.lateWorth() : 1)
                * tenants.worth(request.tenant());
        PendingRequest pending = new PendingRequest(request, serviceClass, worth, now + usefulUs,
                settings.limits().sendCap());
        pendingRequests.put(request.id(), pending);
        proceed(now, pending);
    }

    /** Sends the request if there is a server that may take it, and answers it otherwise. */
    private void proceed(long now, PendingRequest pending) {
        Server server = pending.usefulUntil - now < MIN_ATTEMPT_US ? null
                : selector.select(now, pending, pendingRequests.size());
        if (server != null && pending.maySendTo(now, server, settings.limits())) {
            send(now, pending, server);
        } else {
            answer(now, pending);
        }
    }

    private void send(long now, PendingRequest pending, Server server) {
        actions.send(pending.request.id(), server.host, Math.max(MIN_ATTEMPT_US, pending.usefulUntil - now),
                pending.beginBy());
        pending.attemptSent(now, server);
        server.attemptSent(now);
        set.zoneLoss.attemptSent(now, server.zone);
        server.coldTurnsFrom = now;
        server.coldTurnPhase = 0;
        if (!silenceTimerIsSet) {
            scheduleSilenceCheck(settings.limits().mayCancel());
        }
    }

    /** Gives the one final answer: a refusal if the client may safely try again, a failure otherwise. */
    private void answer(long now, PendingRequest pending) {
        pendingRequests.remove(pending.request.id());
        if (pending.isRefusable()) {
            // Less than the aim: a client that retried after its deadline would not be served at all.
            actions.refuse(pending.request.id(),
                    Math.min(settings.limits().maxRetryAfterUs(), pending.serviceClass.aimUs() / 2));
        } else {
            actions.fail(pending.request.id());
        }
    }

    @Override
    public void attemptStarted(long now, long id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && pending.attemptsInFlight > 0) {
            pending.attemptStarted(now);
            pending.lastServer().attemptStarted(now);
        }
    }

    @Override
    public void streamStarted(long now, long id, int attempt) {
        pendingRequests.remove(id);
    }

    @Override
    public void outcome(long now, long id, int attempt, String host, Outcome outcome, long tookUs,
                        boolean closed, LoadReport report) {
        Server server = set.servers.get(host);
        PendingRequest pending = closed ? pendingRequests.remove(id) : pendingRequests.get(id);
        if (server != null) {
            server.ownInFlight = Math.max(0, server.ownInFlight - (pending != null && pending.uploading ? 0 : 1));
            learn(now, server, outcome, tookUs, report);
            if (outcome == Outcome.OK && pending != null) {
                answerTimes.answered(pending.serviceClass.name(), tookUs, pending.waitedUs(now, tookUs));
                set.slowestAnswerUs = answerTimes.slowestUs();
            }
        }
        if (pending == null || closed) {
            return;
        }
        pending.attemptEnded(outcome.neverRan);
        if (pending.attemptsInFlight == 0) {
            proceed(now, pending);
        }
    }

    /** Updates what is known of a server and its zone from the outcome of an attempt. */
    private void learn(long now, Server server, Outcome outcome, long tookUs, LoadReport report) {
        // No answer at all since the attempt began: the machine is lost, which says nothing about its queue.
        boolean silent = outcome == Outcome.TIMEOUT && server.lastAnswerAt <= now - tookUs
                && (server.ownInFlight > 0 || server.suspected);
        boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REFUSED;
        server.lastAnswerAt = answered ? now : server.lastAnswerAt;
        server.lastOutcomeAt = now;
        server.coldTurnPhase -= outcome == Outcome.OK ? 0 : 1;     // a cold server that did not serve misses a turn
        boolean unreachable = silent || outcome == Outcome.CONNECT_FAILED
                && tookUs < PROMPT_CONNECT_AIM_SHARE * set.shortestAimUs;
        // An abandoned attempt proves neither.
        boolean reachable = answered || outcome == Outcome.RESET;
        if ((unreachable || reachable) && set.zoneLoss.attemptEnded(server.zone, unreachable)) {
            // Servers of a zone that is back have restarted, long before the list says so.
            set.servers.values().stream().filter(o -> reachable && o.zone == server.zone)
                    .forEach(o -> o.beginColdStart(now, now));
            set.rebuild(now);
            actions.log((reachable ? "zone back: " : set.zoneLoss.isLost(server.zone) ? "zone lost: "
                    : "no zone answers: ") + settings.zones().get(server.zone));
        }
        failureDetector.judge(now, server, outcome, silent);
        server.reportReceived(now, report);
        if (outcome == Outcome.OK && report != null && server.lastReportAt == now) {
            server.answerReceived(tookUs);
        }
    }

    /** Cancels attempts at servers that have fallen silent, where other servers may still serve the requests. */
    @Override
    public void timerFired(long now, long token) {
        updateAwaitedMultiples(now);
        set.servers.values().stream().filter(s -> isSilent(now, s)).forEach(s -> {
            failureDetector.silent(now, s);
            pendingRequests.values().stream().filter(p -> waitsFor(s, p) && mayUseAnotherServer(now, p))
                    .forEach(this::cancelAttempt);
        });
        set.shrink(now);
        scheduleSilenceCheck(!pendingRequests.isEmpty());
    }

    /** Sums up for each server how long its attempts have waited, each in multiples of its usual answer time. */
    private void updateAwaitedMultiples(long now) {
        set.servers.values().forEach(s -> s.awaitedMultiple = 0);
        pendingRequests.values().stream().filter(p -> p.attemptsInFlight > 0 && !p.uploading).forEach(p ->
                p.lastServer().awaitedMultiple +=
                        Math.max(0, p.awaitedUs(now)) / answerTimes.usualWaitUs(p.serviceClass.name()));
    }

    private static boolean waitsFor(Server server, PendingRequest pending) {
        return pending.attemptsInFlight == 1 && !pending.uploading && pending.lastServer() == server
                && pending.attemptsWhenCancelled < pending.attempts.size();
    }

    private boolean mayUseAnotherServer(long now, PendingRequest pending) {
        return set.buddies.stream().anyMatch(o -> !o.suspected && selector.isUsable(now, pending, o));
    }

    private void cancelAttempt(PendingRequest pending) {
        pending.attemptsWhenCancelled = pending.attempts.size();
        actions.cancel(pending.request.id(), pending.attemptsWhenCancelled - 1);
    }

    /**
     * True if the server has been silent both in multiples of its answer time and for the interval between two checks.
     * Even a short pause of this process or machine is a large multiple of a quick answer's time.
     */
    private boolean isSilent(long now, Server server) {
        return now >= server.avoidedUntil && server.awaitedMultiple >= SILENCE_MULTIPLE
                && now - server.silentSince() >= SILENCE_CHECK_AIM_SHARE * set.shortestAimUs;
    }

    private void scheduleSilenceCheck(boolean wanted) {
        silenceTimerIsSet = wanted;
        if (wanted) {
            actions.setTimer(Math.max(1, (long) (SILENCE_CHECK_AIM_SHARE * set.shortestAimUs)), SILENCE_CHECK_TOKEN);
        }
    }

    @Override
    public int outOfRotationCount() {
        return (int) set.servers.values().stream().filter(s -> s.draining
                || s.ready && (s.suspected || set.zoneLoss.isLost(s.zone))).count();
    }

    @Override
    public void bodyProgress(long now, long id, BodyStage stage) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending == null || pending.attempts.isEmpty()) {
            return;
        }
        Server server = pending.lastServer();
        if (stage == BodyStage.BUFFER_EXCEEDED) {
            pending.sendCap = pending.attempts.size();
        } else if (stage == BodyStage.ARRIVING) {
            pending.uploading = true;
            server.ownInFlight--;
        } else if (pending.uploading) {
            pending.uploading = false;
            pending.usefulUntil = now + pending.request.leftUs();
            pending.attemptStarted(now);
            server.attemptSent(now);
            server.attemptStarted(now);
        }
    }

    @Override
    public void clientLeft(long now, long id) {
        // Ends a pending upload, so that the outcome of its attempt, reported later, is counted like any other.
        bodyProgress(now, id, BodyStage.COMPLETE);
        pendingRequests.remove(id);
    }

    @Override
    public void probeCompleted(long now, String host, Outcome outcome, long tookUs, LoadReport report) {
        set.servers.values().stream().filter(s -> s.host.equals(host)).forEach(s -> s.reportReceived(now, report));
    }
}
