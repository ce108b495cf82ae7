package dapplequay.lab.experiment;

import dapplequay.lab.fleet.FleetLog;
import dapplequay.lab.fleet.FleetLog.Visit;
import dapplequay.lab.fleet.FleetSpec;
import dapplequay.lab.load.ClientAttempt;
import dapplequay.lab.load.LoadResult;
import dapplequay.lab.load.Profile;
import dapplequay.lab.model.ColdBudget;
import dapplequay.lab.model.HostSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges a run from what clients and hosts recorded, and never from what a sidecar reports about itself. Uses no
 * clock: all times are in its input.
 */
public final class Judge {
    /** Clients and hosts share a clock, but do not record times exactly when bytes are sent or received. */
    static final long CLOCK_SLACK_US = 50_000;
    /** A sidecar must answer the requests that it has when told to end; those sent later than this may be lost. */
    private static final long LATE_AFTER_TERM_US = 700_000;
    private static final long WINDOW_US = 10_000_000;

    /** The input of the judge. {@code lifetimes} is null if clients sent directly to the hosts. */
    public record Run(FleetSpec fleet, Profile load, ExperimentSpec.SidecarsSpec sidecars, LoadResult result,
                      FleetLog log, Lifetimes lifetimes) { }

    private final Run run;
    private final Verdict verdict = new Verdict();
    /** Visits and list updates, fetched once each, as the log copies them at each call. */
    private final List<Visit> allVisits;
    private final List<FleetLog.ListUpdate> allListUpdates;
    private final Map<String, List<Visit>> visitsByCallId = new HashMap<>();
    private final Map<String, ClientAttempt> tryByCallId = new HashMap<>();

    private Judge(Run run) {
        this.run = run;
        allVisits = run.log().visits();
        allListUpdates = run.log().listUpdates();
        for (Visit visit : allVisits) {
            visitsByCallId.computeIfAbsent(visit.callId, c -> new ArrayList<>()).add(visit);
        }
        visitsByCallId.values().forEach(visits -> visits.sort(Comparator.comparingLong(visit -> visit.firstByteUs)));
        for (List<ClientAttempt> tries : run.result().attempts()) {
            for (ClientAttempt clientTry : tries) {
                tryByCallId.put(clientTry.callId, clientTry);
            }
        }
    }

    public static Verdict judge(Run run) {
        Judge judge = new Judge(run);
        judge.judgeWorth();
        judge.judgeWork();
        if (run.lifetimes() != null) {
            judge.judgeAnswers();
            judge.judgeRefusals();
            judge.judgeRepeats();
            judge.judgeAttempts();
            judge.judgeDrains();
            judge.judgeProcesses();
        }
        judge.judgeColdHosts();
        return judge.verdict;
    }

    /** Measures the worth served in time as a share of the worth requested; a request counts once, with its retries. */
    private void judgeWorth() {
        double asked = 0;
        double inTime = 0;
        double served = 0;
        long late = 0;
        long refused = 0;
        long failed = 0;
        long none = 0;
        Map<Integer, double[]> byTenant = new TreeMap<>();
        Map<Long, double[]> byWindow = new TreeMap<>();
        for (List<ClientAttempt> tries : run.result().attempts()) {
            ClientAttempt first = tries.get(0);
            ClientAttempt last = tries.get(tries.size() - 1);
            Profile.Service service = run.load().services().get(first.arrival.serviceIndex());
            double worth = 0;
            if (last.isServed() && last.endUs <= last.giveUpUs) {
                boolean timely = last.endUs - first.dueUs <= service.aimUs();
                worth = service.worth() * (timely ? 1 : service.lateWorth());
                late += timely ? 0 : 1;
                served++;
            } else if (last.isRefused()) {
                refused++;
            } else if (last.isAnswered()) {
                failed++;
            } else {
                none++;
            }
            asked += service.worth();
            inTime += worth;
            add(byTenant, first.arrival.tenantIndex(), service.worth(), worth);
            add(byWindow, first.arrival.dueUs() / WINDOW_US, service.worth(), worth);
        }
        double all = Math.max(1, run.result().scheduled());
        verdict.figure("worth_in_time", asked == 0 ? 0 : inTime / asked);
        verdict.figure("served", served / all);
        verdict.figure("late", late / all);
        verdict.figure("refused", refused / all);
        verdict.figure("failed", failed / all);
        verdict.figure("no_answer", none / all);
        verdict.figure("worst_window", worst(byWindow));
        verdict.figure("worst_tenant", worst(byTenant));
    }

    private static <K> void add(Map<K, double[]> sums, K key, double asked, double got) {
        double[] sum = sums.computeIfAbsent(key, k -> new double[2]);
        sum[0] += asked;
        sum[1] += got;
    }

    private static double worst(Map<?, double[]> sums) {
        return sums.values().stream().filter(s -> s[0] > 0).mapToDouble(s -> s[1] / s[0]).min().orElse(0);
    }

    /** Measures the cost to the hosts: visits, work, connections and probes. */
    private void judgeWork() {
        double asked = 0;
        double wasted = 0;
        long crossing = 0;
        long connections = 0;
        long probes = 0;
        long mostHandshakes = 0;
        long maxConnections = 0;
        for (Visit visit : allVisits) {
            asked += visit.requestedWorkUs;
            crossing += run.fleet().hosts().get(visit.host).zone() == visit.callerZone ? 0 : 1;
        }
        for (int i = 0; i < run.log().hosts(); i++) {
            FleetLog.Counts counts = run.log().counts(i);
            connections += counts.handshakes;
            probes += counts.probes;
            wasted += counts.wastedWorkUs;
            mostHandshakes = Math.max(mostHandshakes, counts.handshakes);
            maxConnections = Math.max(maxConnections, counts.maxConnections);
        }
        double all = Math.max(1, run.result().scheduled());
        int visits = allVisits.size();
        verdict.figure("visits_per_request", visits / all);
        verdict.figure("cross_zone", visits == 0 ? 0 : (double) crossing / visits);
        verdict.figure("wasted_work", asked == 0 ? 0 : wasted / asked);
        verdict.figure("handshakes_per_request", connections / all);
        verdict.figure("handshakes_most_host", mostHandshakes);
        verdict.figure("connections_most_host", maxConnections);
        verdict.figure("probes_per_request", probes / all);
        verdict.figure("list_calls", run.log().listCalls());
        verdict.figure("hosts_fallen", run.log().hostCrashes().size());
    }

    /** Checks that each accepted try is answered before its client gives up, with an answer that a host gave to it. */
    private void judgeAnswers() {
        Verdict.Rule answered = verdict.rule("answered", "each request taken is answered before its client gives up");
        Verdict.Rule genuine = verdict.rule("genuine", "what is served is what a host answered to this request");
        for (ClientAttempt clientTry : tryByCallId.values()) {
            if (clientTry.sentUs == 0) {
                continue;
            }
            boolean isLate = clientTry.isAnswered() && clientTry.endUs > clientTry.giveUpUs + CLOCK_SLACK_US;
            if ((!clientTry.isAnswered() || isLate) && mustAnswer(clientTry)) {
                answered.addViolation(clientTry.callId + " at n" + clientTry.arrival.targetIndex() + ": "
                        + clientTry.outcome
                        + String.format(Locale.ROOT, " %.0f ms after its budget",
                                (clientTry.endUs - clientTry.giveUpUs) / 1e3));
            }
            if (clientTry.isServed() && !isGenuine(clientTry)) {
                genuine.addViolation(clientTry.callId + " got " + String.valueOf(clientTry.body).trim());
            }
        }
        verdict.figure("lost", answered.violations());
    }

    /** True if the sidecar ran during the whole try, or accepted it before (or shortly after) it was told to end. */
    private boolean mustAnswer(ClientAttempt clientTry) {
        Lifetimes.Lifetime lifetime = run.lifetimes().at(clientTry.arrival.targetIndex(), clientTry.sentUs);
        if (lifetime == null || lifetime.readyUs == 0) {
            return false;
        }
        if (lifetime.end == Lifetimes.End.KILLED || lifetime.end == Lifetimes.End.CRASHED) {
            return clientTry.endUs < (lifetime.signalledUs > 0 ? lifetime.signalledUs : lifetime.endUs);
        }
        return lifetime.signalledUs == 0 || clientTry.sentUs <= lifetime.signalledUs + LATE_AFTER_TERM_US;
    }

    private boolean isGenuine(ClientAttempt clientTry) {
        for (Visit visit : visitsByCallId.getOrDefault(clientTry.callId, List.of())) {
            if (visit.outcome == FleetLog.VisitOutcome.SERVED && clientTry.body != null
                    && clientTry.body.equals(
                            visit.callId + " " + Long.toHexString(visit.nonce) + " " + visit.uid + "\n")) {
                return true;
            }
        }
        return false;
    }

    private void judgeRefusals() {
        Verdict.Rule truthful = verdict.rule("refusal", "nothing is refused that may have run and may not be repeated");
        Verdict.Rule advice = verdict.rule("retry_after", "each refusal says when to come back");
        for (ClientAttempt clientTry : tryByCallId.values()) {
            if (!clientTry.isRefused()) {
                continue;
            }
            if (!clientTry.hasRetryAfter) {
                advice.addViolation(clientTry.callId);
            }
            Profile.Service service = run.load().services().get(clientTry.arrival.serviceIndex());
            boolean mayRepeat = service.isRetryable() || service.isKeyed() && service.group().equals("all");
            for (Visit visit : visitsByCallId.getOrDefault(clientTry.callId, List.of())) {
                if (!mayRepeat && visit.mayHaveRun()) {
                    truthful.addViolation(clientTry.callId + " was refused, and " + visit.uid + " had "
                            + visit.outcome);
                    break;
                }
            }
        }
    }

    /** Checks that a request which may have been executed is sent again only as its class allows. */
    private void judgeRepeats() {
        Verdict.Rule rule = verdict.rule("repeat", "what may have run is repeated only where its class allows it");
        Map<String, List<Visit>> byKey = new HashMap<>();
        for (Visit visit : allVisits) {
            if (visit.idempotencyKey != null) {
                byKey.computeIfAbsent(visit.idempotencyKey, k -> new ArrayList<>()).add(visit);
            }
        }
        byKey.values().forEach(visits -> visits.sort(Comparator.comparingLong(visit -> visit.firstByteUs)));
        long doubled = 0;
        for (Map.Entry<String, List<Visit>> entry : byKey.entrySet()) {
            ClientAttempt clientTry = tryByCallId.get(entry.getValue().get(0).callId);
            if (clientTry != null) {
                Profile.Service service = run.load().services().get(clientTry.arrival.serviceIndex());
                checkRepeats(service, entry.getKey(), entry.getValue(), rule);
                doubled += isDoubled(service, entry.getValue()) ? 1 : 0;
            }
        }
        for (Map.Entry<String, List<Visit>> entry : visitsByCallId.entrySet()) {
            ClientAttempt clientTry = tryByCallId.get(entry.getKey());
            Profile.Service service = clientTry == null ? null
                    : run.load().services().get(clientTry.arrival.serviceIndex());
            if (service != null && service.repeats().equals("fragile")) {
                checkRepeats(service, entry.getKey(), entry.getValue(), rule);
            }
        }
        verdict.figure("doubled", doubled);
    }

    private void checkRepeats(Profile.Service service, String name, List<Visit> visits, Verdict.Rule rule) {
        Visit first = null;
        for (Visit visit : visits) {
            if (first != null && !mayRepeatAfter(service, first, visit)) {
                rule.addViolation(name + " went to " + visit.uid
                        + String.format(Locale.ROOT, " %.0f ms after %s had it",
                                (visit.firstByteUs - first.firstByteUs) / 1e3, first.uid));
                return;
            }
            if (first == null && visit.mayHaveRun()) {
                first = visit;
            }
        }
    }

    private boolean mayRepeatAfter(Profile.Service service, Visit first, Visit next) {
        if (service.isRetryable()) {
            return true;
        }
        if (!service.isKeyed() || next.firstByteUs > first.firstByteUs + service.windowUs() + CLOCK_SLACK_US) {
            return false;
        }
        int zone = run.fleet().hosts().get(first.host).zone();
        return switch (service.group()) {
            case "all" -> true;
            case "zone" -> run.fleet().hosts().get(next.host).zone() == zone;
            default -> next.pod == first.pod;
        };
    }

    /** True if a keyed request was executed twice: by hosts that don't share keys, or after the key's window. */
    private boolean isDoubled(Profile.Service service, List<Visit> visits) {
        Visit first = null;
        for (Visit visit : visits) {
            if (visit.outcome == FleetLog.VisitOutcome.SERVED) {
                if (first != null && !mayRepeatAfter(service, first, visit)) {
                    return true;
                }
                first = first == null ? visit : first;
            }
        }
        return false;
    }

    private void judgeAttempts() {
        Verdict.Rule cap = verdict.rule("attempts", "no request goes out more often than the settings allow");
        Verdict.Rule copies = verdict.rule("copies", "no second copy is out where the settings forbid it");
        for (Map.Entry<String, List<Visit>> entry : visitsByCallId.entrySet()) {
            List<Visit> visits = entry.getValue();
            if (visits.size() > run.sidecars().sendCap()) {
                cap.addViolation(entry.getKey() + " went out " + visits.size() + " times");
            }
            for (int i = 1; i < visits.size() && !run.sidecars().secondCopies(); i++) {
                Visit before = visits.get(i - 1);
                if (before.endUs > visits.get(i).firstByteUs + CLOCK_SLACK_US
                        && before.outcome == FleetLog.VisitOutcome.SERVED) {
                    copies.addViolation(entry.getKey() + " was at " + before.uid + " and " + visits.get(i).uid);
                    break;
                }
            }
        }
    }

    /** Checks that no request goes to a draining or removed host once the grace since this sidecar's update is over. */
    private void judgeDrains() {
        Verdict.Rule rule = verdict.rule("drain", "no new work to a draining or gone host after the grace");
        Map<String, List<FleetLog.ListUpdate>> updatesByHost = new HashMap<>();
        for (FleetLog.ListUpdate update : allListUpdates) {
            updatesByHost.computeIfAbsent(update.view() + " " + update.uid(), k -> new ArrayList<>()).add(update);
        }
        long grace = run.sidecars().drainGraceUs() + CLOCK_SLACK_US;
        for (Visit visit : allVisits) {
            ClientAttempt clientTry = tryByCallId.get(visit.callId);
            if (clientTry == null) {
                continue;
            }
            int view = clientTry.arrival.targetIndex();
            Lifetimes.Lifetime lifetime = run.lifetimes().at(view, visit.firstByteUs);
            FleetLog.ListUpdate since = null;
            for (FleetLog.ListUpdate update : updatesByHost.getOrDefault(view + " " + visit.uid, List.of())) {
                if (update.atUs() > visit.firstByteUs || lifetime == null || update.atUs() < lifetime.startUs) {
                    continue;
                }
                boolean wanted = update.state().equals("SERVING");
                since = wanted ? null : since == null ? update : since;
            }
            if (since != null && visit.firstByteUs > since.atUs() + grace) {
                rule.addViolation(visit.callId + " to " + visit.uid + String.format(Locale.ROOT,
                        " %.2f s after n%d was told %s",
                        (visit.firstByteUs - since.atUs()) / 1e6, view, since.state()));
            }
        }
    }

    /** Checks the budget of cold hosts; not if over a third of the work came from sidecars not told of the start. */
    private void judgeColdHosts() {
        Verdict.Rule rule = verdict.rule("cold", "no cold host is sent more than it can bear");
        double worst = 0;
        for (FleetLog.Start start : run.log().starts()) {
            HostSpec spec = run.fleet().hosts().get(start.host()).spec();
            if (!start.cold() || spec.tipMultiple() <= 0) {
                continue;
            }
            ColdBudget budget = new ColdBudget(spec);
            double informedWorkUs = 0;
            double all = 0;
            for (Visit visit : allVisits) {
                if (visit.host == start.host() && visit.uid.equals(start.uid()) && visit.receivedUs >= start.atUs()) {
                    budget.recordWork(visit.receivedUs - start.atUs(), visit.requestedWorkUs);
                    all += visit.requestedWorkUs;
                    informedWorkUs += wasInformedOf(start, visit) ? visit.requestedWorkUs : 0;
                }
            }
            worst = Math.max(worst, budget.maxUsed());
            if (budget.maxUsed() > 1 && (run.lifetimes() == null || informedWorkUs * 3 >= all * 2)) {
                rule.addViolation(start.uid()
                        + String.format(Locale.ROOT, " was sent %.2f of its budget", budget.maxUsed()));
            }
        }
        verdict.figure("cold_budget_used", worst);
    }

    private boolean wasInformedOf(FleetLog.Start start, Visit visit) {
        ClientAttempt clientTry = tryByCallId.get(visit.callId);
        for (FleetLog.ListUpdate update : allListUpdates) {
            if (clientTry != null && update.view() == clientTry.arrival.targetIndex()
                    && update.uid().equals(start.uid())
                    && update.bootMs() >= start.atUs() / 1000 - 1 && update.atUs() <= visit.firstByteUs) {
                return true;
            }
        }
        return false;
    }

    private void judgeProcesses() {
        Verdict.Rule crash = verdict.rule("crash", "no sidecar ends by itself");
        Verdict.Rule memory = verdict.rule("memory", "no sidecar takes more memory than it was granted");
        double most = 0;
        double cpu = 0;
        for (Lifetimes.Lifetime lifetime : run.lifetimes().all()) {
            if (lifetime.end == Lifetimes.End.CRASHED) {
                crash.addViolation("n" + lifetime.sidecar);
            }
            if (lifetime.peakMemoryKb > run.sidecars().memoryMb() * 1024L) {
                memory.addViolation("n" + lifetime.sidecar + " held " + lifetime.peakMemoryKb / 1024 + " MB");
            }
            most = Math.max(most, lifetime.peakMemoryKb / 1024.0);
            cpu += Math.max(0, lifetime.cpuUs - lifetime.startCpuUs);
        }
        verdict.figure("sidecar_memory_mb", most);
        verdict.figure("sidecar_cpu_us_per_request", cpu / Math.max(1, run.result().scheduled()));
    }
}
