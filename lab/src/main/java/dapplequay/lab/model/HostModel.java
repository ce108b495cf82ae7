package dapplequay.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * How a host behaves, as a pure state machine: it has no clock, no thread and no socket, and whoever drives it
 * passes the time in, real or simulated. Times may not run backwards.
 *
 * <p>Requests in work share the cores evenly. All of them then progress at one pace, so that it is enough to
 * keep one figure, the progress made by a request since the start, and to sort requests by the progress at
 * which they end. While the host warms up its pace is held for {@value #WARM_STEP_US} us at a time.
 */
public final class HostModel {
    static final long WARM_STEP_US = 20_000;
    private static final double NEVER = Double.NaN;
    /** Weight of the newest service time in the reported one. */
    private static final double LATENCY_WEIGHT = 0.1;

    /** What became of a request that was offered. */
    public enum Admission { WORKING, WAITING, FULL, FALLEN }

    public enum Fate {
        /** Done. */
        SERVED,
        /** Answered with an error. */
        FAILED,
        /** Given up before it ended. */
        STOPPED
    }

    /** The end of a request; {@code workUs} is the work that was spent on it. */
    public record Ended(long id, long atUs, Fate fate, double workUs) { }

    private static final class Job {
        final long id;
        final double workUs;
        final boolean fails;
        final boolean aside;
        double startedUs;
        double startProgress;
        double endProgress;
        boolean givenUp;

        Job(long id, double workUs, boolean fails, boolean aside) {
            this.id = id;
            this.workUs = workUs;
            this.fails = fails;
            this.aside = aside;
        }
    }

    private record Snapshot(double atUs, LoadReport report) { }

    private final HostSpec spec;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gauss;
    private final long originUs;
    private final TreeSet<Job> inWork = new TreeSet<>(
            Comparator.<Job>comparingDouble(j -> j.endProgress).thenComparingLong(j -> j.id));
    private final Map<Long, Job> working = new HashMap<>();
    private final LinkedHashMap<Long, Job> waiting = new LinkedHashMap<>();
    private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
    private final ColdBudget budget;
    private final boolean startsCold;
    private double nowUs;
    private double progress;
    private double nextSnapshotUs;
    private int slotsTaken;
    private int connections;
    private long asideIds = -1;
    private double latencyMs;
    private boolean fallen;
    private double doneUs;
    private double wastedUs;
    private double slowness = 1;
    private double errorShare;
    private long reportDelayUs;
    private final LinkedHashMap<String, Double> met = new LinkedHashMap<>();
    private double overSinceUs = NEVER;
    private double chokedAtUs = NEVER;
    private double restsSinceUs = NEVER;
    private int chokes;

    /** Starts now: cold, or as if it had run for long. */
    public HostModel(HostSpec spec, UniformRandomProvider random, long nowUs, boolean cold) {
        this.spec = spec;
        this.random = random;
        gauss = ZigguratSampler.NormalizedGaussian.of(random);
        originUs = nowUs;
        startsCold = cold;
        errorShare = spec.errorShare();
        reportDelayUs = spec.reportDelayUs();
        budget = cold && spec.tipMultiple() > 0 ? new ColdBudget(spec) : null;
        snapshots.add(new Snapshot(-1e18, new LoadReport(0, 0, 0)));
        nextSnapshotUs = random.nextDouble() * spec.reportEveryUs();
    }

    /** Everything takes so many times as long from now on; 1 is ordinary. */
    public void slowness(long atUs, double times, Collection<Ended> ended) {
        advance(atUs, ended);
        slowness = times;
    }

    /** So large a share of the requests fails from now on. */
    public void errorShare(double share) {
        errorShare = share;
    }

    /** Reports show so much later from now on. */
    public void reportDelayUs(long us) {
        reportDelayUs = us;
    }

    /** The same for a request about {@code key}, which a host that met it lately has less work with; null: no key. */
    public Admission offer(long atUs, long id, double workUs, String key, Collection<Ended> ended) {
        advance(atUs, ended);
        if (key == null || spec.keys().gain() <= 0) {
            return offer(atUs, id, workUs, ended);
        }
        Double before = met.remove(key);
        met.put(key, nowUs);
        if (met.size() > spec.keys().most()) {
            met.remove(met.keySet().iterator().next());
        }
        boolean remembered = before != null && nowUs - before <= spec.keys().forUs();
        return offer(atUs, id, remembered ? workUs * (1 - spec.keys().gain()) : workUs, ended);
    }

    /** A request has come whole; {@code id} is 0 or more and no other's that is held. */
    public Admission offer(long atUs, long id, double workUs, Collection<Ended> ended) {
        advance(atUs, ended);
        if (budget != null && !fallen && budget.sent(nowUs, workUs) > 1) {
            fall(ended);
        }
        if (fallen) {
            return Admission.FALLEN;
        }
        if (errorShare > 0 && random.nextDouble() < errorShare) {
            begin(new Job(id, spec.errorTakesUs() * spec.speed(), true, true));
            return Admission.WORKING;
        }
        Job job = new Job(id, workUs, false, false);
        if (slotsTaken < spec.slots()) {
            begin(job);
            return Admission.WORKING;
        }
        if (waiting.size() >= spec.room()) {
            return Admission.FULL;
        }
        waiting.put(id, job);
        return Admission.WAITING;
    }

    /** Nobody waits for this request any more. Its end is told now, or later where work can't be stopped. */
    public void giveUp(long atUs, long id, Collection<Ended> ended) {
        advance(atUs, ended);
        Job job = waiting.get(id);
        if (job != null) {
            if (spec.stopsOnCancel()) {
                waiting.remove(id);
                ended.add(new Ended(id, atUs, Fate.STOPPED, 0));
            } else {
                job.givenUp = true;
            }
            return;
        }
        job = working.get(id);
        if (job == null || job.givenUp) {
            return;
        }
        job.givenUp = true;
        if (spec.stopsOnCancel()) {
            leave(job);
            double spent = Math.min(job.workUs, progress - job.startProgress);
            wastedUs += spent;
            ended.add(new Ended(id, atUs, Fate.STOPPED, spent));
            fillSlots();
        }
    }

    /** Whether the host takes one more connection, which costs it work. */
    public boolean connect(long atUs, Collection<Ended> ended) {
        advance(atUs, ended);
        if (fallen || connections >= spec.connectionCap()) {
            return false;
        }
        connections++;
        aside(spec.handshakeUs());
        return true;
    }

    public void disconnect() {
        connections--;
    }

    /** Work that a probe costs. */
    public void probe(long atUs, Collection<Ended> ended) {
        advance(atUs, ended);
        aside(spec.probeUs());
    }

    /** The report that shows now. */
    public LoadReport report(long atUs, Collection<Ended> ended) {
        advance(atUs, ended);
        while (snapshots.size() > 1) {
            Iterator<Snapshot> oldest = snapshots.iterator();
            oldest.next();
            if (oldest.next().atUs() + reportDelayUs > nowUs) {
                break;
            }
            snapshots.poll();
        }
        return snapshots.peek().report();
    }

    /** When something ends next if nothing else happens; Long.MAX_VALUE: nothing is in work. */
    public long nextEndUs() {
        if (inWork.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double in = (inWork.first().endProgress - progress) / pace();
        return originUs + (long) Math.ceil(nowUs + Math.max(0, in));
    }

    /** Lets time pass; what ended meanwhile is added in order. */
    public void advance(long atUs, Collection<Ended> ended) {
        double until = Math.max(nowUs, atUs - originUs);
        while (nowUs < until) {
            double stop = Math.min(until, nextSnapshotUs);
            if (isWarming() || spec.choke().at() > 0) {
                stop = Math.min(stop, nowUs + WARM_STEP_US);
            }
            lookAtChoke();
            double pace = pace();
            Job first = inWork.isEmpty() ? null : inWork.first();
            double endsIn = first == null ? Double.MAX_VALUE : (first.endProgress - progress) / pace;
            if (first != null && nowUs + endsIn <= stop) {
                nowUs += Math.max(0, endsIn);
                progress = first.endProgress;
                end(first, ended);
                continue;
            }
            progress += pace * (stop - nowUs);
            nowUs = stop;
            if (nowUs >= nextSnapshotUs) {
                snapshots.add(new Snapshot(nowUs, new LoadReport(noisy(waiting.size()), noisy(held()),
                        Math.max(0, latencyMs * (1 + spec.reportNoise() * gauss.sample())))));
                nextSnapshotUs += spec.reportEveryUs() * (0.9 + 0.2 * random.nextDouble());
            }
        }
        // Progress is kept small, as the sum of many steps would lose the last digits of its ends.
        if (inWork.isEmpty()) {
            progress = 0;
        }
    }

    private void lookAtChoke() {
        HostSpec.Choke choke = spec.choke();
        if (choke.at() <= 0) {
            return;
        }
        if (!isChoked()) {
            boolean over = held() - spec.cores() > choke.at() * spec.cores();
            overSinceUs = !over ? NEVER : Double.isNaN(overSinceUs) ? nowUs : overSinceUs;
            if (over && nowUs - overSinceUs >= choke.afterUs()) {
                chokedAtUs = nowUs;
                restsSinceUs = NEVER;
                chokes++;
            }
            return;
        }
        boolean rests = held() <= choke.below() * spec.cores();
        restsSinceUs = !rests ? NEVER : Double.isNaN(restsSinceUs) ? nowUs : restsSinceUs;
        if (rests && nowUs - restsSinceUs >= choke.restUs() || nowUs - chokedAtUs >= choke.mostUs()) {
            chokedAtUs = NEVER;
            overSinceUs = NEVER;
        }
    }

    /** Whether too much has slowed it down, and it has not rested since. */
    public boolean isChoked() {
        return !Double.isNaN(chokedAtUs);
    }

    /** How often too much has slowed it down. */
    public int chokes() {
        return chokes;
    }

    /** Requests held, in work or waiting. */
    public int held() {
        return waiting.size() + slotsTaken;
    }

    public int waiting() {
        return waiting.size();
    }

    public int connections() {
        return connections;
    }

    /** Whether it was sent too much while cold. */
    public boolean isFallen() {
        return fallen;
    }

    /** The greatest share used of what the host could bear while cold; 0 where it started warm. */
    public double coldBudgetUsed() {
        return budget == null ? 0 : budget.worst();
    }

    /** Work on requests that were served or failed. */
    public double doneUs() {
        return doneUs;
    }

    /** Work on requests that nobody waited for in the end. */
    public double wastedUs() {
        return wastedUs;
    }

    /** Work per microsecond at this moment, all cores together, if nothing crowds the host. */
    public double capacity() {
        return spec.fullCapacity() * warmth() / timesSlower();
    }

    private double timesSlower() {
        return slowness * (isChoked() ? spec.choke().slower() : 1);
    }

    private boolean isWarming() {
        return startsCold && nowUs < spec.warmUpUs();
    }

    private double warmth() {
        return isWarming() ? spec.coldFrom() + (1 - spec.coldFrom()) * nowUs / spec.warmUpUs() : 1;
    }

    /** Progress of each request in work per microsecond. */
    private double pace() {
        double crowding = 1;
        if (spec.crowdFrom() > 0 && held() > spec.crowdFrom()) {
            crowding = 1 / (1 + spec.crowdLoss() * (held() - spec.crowdFrom()) / spec.crowdFrom());
        }
        int sharing = inWork.size();
        double ofCore = sharing <= spec.cores() ? 1 : (double) spec.cores() / sharing;
        return spec.speed() * warmth() / timesSlower() * crowding * ofCore;
    }

    private void aside(double workUs) {
        if (workUs > 0) {
            begin(new Job(asideIds--, workUs, false, true));
        }
    }

    private void begin(Job job) {
        job.startedUs = nowUs;
        job.startProgress = progress;
        job.endProgress = progress + job.workUs;
        inWork.add(job);
        working.put(job.id, job);
        slotsTaken += job.aside ? 0 : 1;
    }

    private void leave(Job job) {
        inWork.remove(job);
        working.remove(job.id);
        slotsTaken -= job.aside ? 0 : 1;
    }

    private void end(Job job, Collection<Ended> ended) {
        leave(job);
        if (job.id >= 0) {
            Fate fate = job.givenUp ? Fate.STOPPED : job.fails ? Fate.FAILED : Fate.SERVED;
            double spent = job.fails ? 0 : job.workUs;
            if (job.givenUp) {
                wastedUs += spent;
            } else {
                doneUs += spent;
            }
            if (fate == Fate.SERVED) {
                double tookMs = (nowUs - job.startedUs) / 1e3;
                latencyMs = latencyMs == 0 ? tookMs : latencyMs + LATENCY_WEIGHT * (tookMs - latencyMs);
            }
            ended.add(new Ended(job.id, originUs + (long) Math.ceil(nowUs), fate, spent));
        }
        fillSlots();
    }

    private void fillSlots() {
        Iterator<Job> next = waiting.values().iterator();
        while (slotsTaken < spec.slots() && next.hasNext()) {
            Job job = next.next();
            next.remove();
            begin(job);
        }
    }

    private void fall(Collection<Ended> ended) {
        fallen = true;
        List<Job> all = new ArrayList<>(working.values());
        all.addAll(waiting.values());
        all.sort(Comparator.comparingLong(job -> job.id));
        for (Job job : all) {
            if (job.id >= 0) {
                ended.add(new Ended(job.id, originUs + (long) Math.ceil(nowUs), Fate.STOPPED, 0));
            }
        }
        inWork.clear();
        working.clear();
        waiting.clear();
        slotsTaken = 0;
    }

    private int noisy(int figure) {
        return (int) Math.max(0, Math.round(figure * (1 + spec.reportNoise() * gauss.sample())));
    }
}
