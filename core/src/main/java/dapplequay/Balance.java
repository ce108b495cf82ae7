// Interface: BalancerApi.java (the events that come in, the actions that go out, the values of both).
package dapplequay;

import dapplequay.fairness.TenantWorth;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Every decision of one balancer: buddy-set load sharing after Shin and Chang. A small buddy set in a fixed order; the
 * head takes a send unless that takes it past TH_v; then the first buddy in order whose share flag is set; else the
 * head. Only {@link #send} sends, only {@link #answer} answers. Instances share nothing. Not thread-safe.
 */
public final class Balance implements BalancerApi {
    /** A shorter time than this, us, is not worth an attempt: a network turn and the shortest work. */
    private static final long MIN_ATTEMPT_US = 2_000;
    /** A connect that failed after a greater share of the aim than this may be this process's own lateness. */
    private static final double LATE_SHARE = 0.5;
    /**
     * A server is silent once its attempts have been waited for so many times as long as answers usually take, and
     * nothing has come for as long as lies between two looks.
     */
    private static final double SILENT_TIMES = 16;
    /** How often that is looked at, as a share of the aim. */
    private static final double WATCH_SHARE = 0.1;
    private static final long WATCH_TOKEN = 1;

    private final Actions actions;
    final BuddySet set;
    private final ServerSelector selector;
    private final FailureDetector failureDetector;
    private final Map<Long, PendingRequest> held = new LinkedHashMap<>();
    private final Map<String, Long> longestLeft = new HashMap<>();  // per class: the try that clients grant
    private final AnswerTimes answerTimes = new AnswerTimes();
    private Settings settings;
    private TenantWorth tenants;
    private boolean watching;

    /** IllegalArgumentException, naming the setting, where one makes no sense. */
    public Balance(Settings settings, long seed, Actions actions) {
        this.actions = actions;
        set = new BuddySet(settings, new SplittableRandom(seed));
        failureDetector = new FailureDetector(set, actions);
        selector = new ServerSelector(set);
        use(settings);
    }

    private void use(Settings next) {
        next.check(settings);
        settings = next;
        set.use(next);
        selector.use(next);
        answerTimes.use(next.classes());
        tenants = new TenantWorth(next.tenants(), next.overShareWorth());
    }

    @Override
    public void reconfigure(long now, Settings next) {
        use(next);
        set.form(now);
    }

    @Override
    public void fleet(long now, ListKind kind, List<FleetEntry> entries) {
        set.listed(now, kind == ListKind.FULL || kind == ListKind.RESTORED, entries);
    }

    @Override
    public void request(long now, Request r) {
        ServiceClass type = settings.classes().get(r.serviceClass());
        // A try with less time than clients grant is a later one: the time before it is gone from the aim.
        long longest = longestLeft.merge(type.name(), r.leftUs(), Math::max);
        long elapsed = r.leftUs() < longest * 0.98 ? Math.max(0, type.deadlineUs() - r.leftUs()) : 0;
        long useful = type.lateWorth() > 0 ? r.leftUs()
                : Math.min(r.leftUs(), type.aimUs() + (long) (type.aimStretch() * r.costHintUs()) - elapsed);
        double worth = (elapsed >= type.aimUs() ? type.lateWorth() : 1) * tenants.worth(r.tenant());
        PendingRequest h = new PendingRequest(r, type, worth, now + useful, settings.limits().sendCap());
        held.put(r.id(), h);
        proceed(now, h);
    }

    /** Sends the request on if anything may take it, and answers it otherwise. */
    private void proceed(long now, PendingRequest h) {
        Server s = h.usefulUntil - now < MIN_ATTEMPT_US ? null : selector.select(now, h, held.size());
        if (s != null && h.mayGo(now, s, settings.limits())) {
            send(now, h, s);
        } else {
            answer(now, h);
        }
    }

    private void send(long now, PendingRequest h, Server s) {
        actions.send(h.request.id(), s.host, Math.max(MIN_ATTEMPT_US, h.usefulUntil - now), h.beginBy());
        h.sent(now, s);
        s.sent(now);
        set.zoneLoss.sent(now, s.zone);
        s.turnsFrom = now;
        s.turnPhase = 0;
        if (!watching) {
            watch(settings.limits().mayCancel());
        }
    }

    /** The one final answer. Refused where the client may safely try again, failed otherwise. */
    private void answer(long now, PendingRequest h) {
        held.remove(h.request.id());
        if (h.isRefusable()) {
            // Short of the aim: a client that came back after its deadline would not be served at all.
            actions.refuse(h.request.id(), Math.min(settings.limits().maxRetryAfterUs(), h.type.aimUs() / 2));
        } else {
            actions.fail(h.request.id());
        }
    }

    @Override
    public void attemptStarted(long now, long id) {
        PendingRequest h = held.get(id);
        if (h != null && h.out > 0) {
            h.started(now);
            h.last().started(now);
        }
    }

    @Override
    public void streamStarted(long now, long id, int attempt) {
        held.remove(id);              // the attempt is the client's now; nothing more is owed
    }

    @Override
    public void outcome(long now, long id, int attempt, String host, Outcome outcome, long tookUs,
                        boolean closed, LoadReport report) {
        Server s = set.servers.get(host);
        PendingRequest h = closed ? held.remove(id) : held.get(id);
        if (s != null) {
            s.own = Math.max(0, s.own - (h != null && h.uploading ? 0 : 1));
            learn(now, s, outcome, tookUs, report);
            if (outcome == Outcome.OK && h != null) {
                answerTimes.answered(h.type.name(), tookUs, h.waitedUs(now, tookUs));
                set.slowestAnswer = answerTimes.slowestUs();
            }
        }
        if (h == null || closed) {
            return;
        }
        h.ended(outcome.neverRan);
        if (h.out == 0) {
            proceed(now, h);
        }
    }

    private void learn(long now, Server s, Outcome outcome, long tookUs, LoadReport report) {
        // No answer at all since the attempt began: the machine is gone, which tells nothing of queues.
        boolean silent = outcome == Outcome.TIMEOUT && s.answeredAt <= now - tookUs && (s.own > 0 || s.trial);
        boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REFUSED;
        s.answeredAt = answered ? now : s.answeredAt;
        s.outcomeAt = now;
        s.turnPhase -= outcome == Outcome.OK ? 0 : 1;     // a cold one that did not serve misses a turn
        boolean nobody = silent || outcome == Outcome.CONNECT_FAILED && tookUs < LATE_SHARE * set.leastAim;
        boolean met = answered || outcome == Outcome.RESET;     // what was given up met nobody, nor did it not
        if ((nobody || met) && set.zoneLoss.ended(s.zone, nobody)) {
            // What is back has started anew, long before the list says so.
            set.servers.values().stream().filter(o -> met && o.zone == s.zone).forEach(o -> o.startedCold(now, now));
            set.form(now);
            actions.log((met ? "zone back: " : set.zoneLoss.isLost(s.zone) ? "zone lost: " : "no zone answers: ")
                    + settings.zones().get(s.zone));
        }
        failureDetector.judge(now, s, outcome, silent);
        s.heard(now, report);
        if (outcome == Outcome.OK && report != null && s.reportAt == now) {
            s.answered(tookUs);
        }
    }

    /** Gives up the attempts at servers that have fallen silent, where others may still serve the requests. */
    @Override
    public void timerFired(long now, long token) {
        countWaits(now);
        set.servers.values().stream().filter(s -> isSilent(now, s)).forEach(s -> {
            failureDetector.silent(now, s);
            held.values().stream().filter(h -> waitsFor(s, h) && mayGoElsewhere(now, h)).forEach(this::giveUp);
        });
        set.shrink(now);
        watch(!held.isEmpty());
    }

    /** How long the attempts at each server have waited, in times that their answers usually take. */
    private void countWaits(long now) {
        set.servers.values().forEach(s -> s.awaited = 0);
        held.values().stream().filter(h -> h.out > 0 && !h.uploading).forEach(h ->
                h.last().awaited += Math.max(0, h.awaitedUs(now)) / answerTimes.usualWaitUs(h.type.name()));
    }

    private static boolean waitsFor(Server s, PendingRequest h) {
        return h.out == 1 && !h.uploading && h.last() == s && h.cut < h.attempts.size();
    }

    private boolean mayGoElsewhere(long now, PendingRequest h) {
        return set.buddies.stream().anyMatch(o -> !o.trial && selector.usable(now, h, o));
    }

    private void giveUp(PendingRequest h) {
        h.cut = h.attempts.size();
        actions.cancel(h.request.id(), h.cut - 1);
    }

    /** A pause of this process or of the machine is no silence: a short one is many times a quick answer. */
    private boolean isSilent(long now, Server s) {
        return now >= s.shunUntil && s.awaited >= SILENT_TIMES && now - s.silentSince() >= WATCH_SHARE * set.leastAim;
    }

    private void watch(boolean wanted) {
        watching = wanted;
        if (wanted) {
            actions.setTimer(Math.max(1, (long) (WATCH_SHARE * set.leastAim)), WATCH_TOKEN);
        }
    }

    @Override
    public int outOfRotationCount() {
        return (int) set.servers.values().stream().filter(s -> s.draining
                || s.ready && (s.trial || set.zoneLoss.isLost(s.zone))).count();
    }

    @Override
    public void bodyProgress(long now, long id, BodyStage stage) {
        PendingRequest h = held.get(id);
        if (h == null || h.attempts.isEmpty()) {
            return;
        }
        Server s = h.last();
        if (stage == BodyStage.BUFFER_EXCEEDED) {
            h.sendCap = h.attempts.size();
        } else if (stage == BodyStage.ARRIVING) {
            h.uploading = true;
            s.own--;
        } else if (h.uploading) {
            h.uploading = false;
            h.usefulUntil = now + h.request.leftUs();
            h.started(now);
            s.sent(now);
            s.started(now);
        }
    }

    @Override
    public void clientLeft(long now, long id) {
        bodyProgress(now, id, BodyStage.COMPLETE);      // the end of its attempt, still to come, counts as any other
        held.remove(id);
    }

    @Override
    public void probeCompleted(long now, String host, Outcome outcome, long tookUs, LoadReport report) {
        set.servers.values().stream().filter(s -> s.host.equals(host)).forEach(s -> s.heard(now, report));
    }
}
