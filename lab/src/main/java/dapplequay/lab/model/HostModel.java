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
 * A host's behaviour as a pure state machine without clock, thread or socket: the caller passes in the time, real
 * or simulated, in microseconds. Times may not decrease. Calls add the requests that ended to {@code ended}.
 *
 * <p>Requests in work share the cores evenly, so all of them progress at the same pace. It is enough to keep the
 * progress that a request would have made since the start, and to sort requests by the progress at which they
 * end. During warm-up the pace is held constant in steps of {@value #WARM_STEP_US} us.
 */
public final class HostModel {
    static final long WARM_STEP_US = 20_000;
    private static final double UNSET = Double.NaN;
    /** Weight of the newest service time in the reported moving average. */
    private static final double LATENCY_WEIGHT = 0.1;

    /** How the host received an offered request. */
    public enum Admission { WORKING, WAITING, FULL, FALLEN }

    public enum EndState {
        /** Completed. */
        SERVED,
        /** Answered with an error. */
        FAILED,
        /** Cancelled before it completed, or lost as the host crashed. */
        STOPPED
    }

    /** The end of a request; {@code workUs} is the work that was spent on it. */
    public record RequestEnd(long id, long atUs, EndState state, double workUs) { }

    private static final class Job {
        final long id;
        final double workUs;
        final boolean fails;
        final boolean overhead;
        double startedUs;
        double startProgress;
        double endProgress;
        boolean givenUp;

        Job(long id, double workUs, boolean fails, boolean overhead) {
            this.id = id;
            this.workUs = workUs;
            this.fails = fails;
            this.overhead = overhead;
        }
    }

    private record Snapshot(double atUs, LoadReport report) { }

    private final HostSpec spec;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;
    private final long startUs;
    private final TreeSet<Job> runningByEnd = new TreeSet<>(
            Comparator.<Job>comparingDouble(j -> j.endProgress).thenComparingLong(j -> j.id));
    private final Map<Long, Job> runningById = new HashMap<>();
    private final LinkedHashMap<Long, Job> waiting = new LinkedHashMap<>();
    private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
    private final ColdBudget budget;
    private final boolean startsCold;
    private double nowUs;
    private double progress;
    private double nextSnapshotUs;
    private int slotsTaken;
    private int connections;
    private long nextOverheadId = -1;
    private double latencyMs;
    private boolean fallen;
    private double usefulWorkUs;
    private double wastedWorkUs;
    private double slowdownFactor = 1;
    private double errorShare;
    private long reportDelayUs;
    private final LinkedHashMap<String, Double> keyLastSeenUs = new LinkedHashMap<>();
    private double overloadedSinceUs = UNSET;
    private double chokedAtUs = UNSET;
    private double recoveringSinceUs = UNSET;
    private int chokes;

    /** Starts the host at {@code nowUs}, cold or fully warm. */
    public HostModel(HostSpec spec, UniformRandomProvider random, long nowUs, boolean cold) {
        this.spec = spec;
        this.random = random;
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        startUs = nowUs;
        startsCold = cold;
        errorShare = spec.errorShare();
        reportDelayUs = spec.reportDelayUs();
        budget = cold && spec.tipMultiple() > 0 ? new ColdBudget(spec) : null;
        snapshots.add(new Snapshot(-1e18, new LoadReport(0, 0, 0)));
        nextSnapshotUs = random.nextDouble() * spec.reportEveryUs();
    }

    /** Multiplies all durations by {@code factor} from now on; 1 is normal speed. */
    public void slowdownFactor(long atUs, double factor, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        slowdownFactor = factor;
    }

    /** Sets the share of requests that fail from now on, 0 to 1. */
    public void errorShare(double share) {
        errorShare = share;
    }

    /** Sets the delay until a load report becomes visible. */
    public void reportDelayUs(long us) {
        reportDelayUs = us;
    }

    /** Offers a request with a key, or null for none; it costs less work if the host remembers the key. */
    public Admission offer(long atUs, long id, double workUs, String key, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        if (key == null || spec.keys().gain() <= 0) {
            return offer(atUs, id, workUs, ended);
        }
        Double lastSeenUs = keyLastSeenUs.remove(key);
        keyLastSeenUs.put(key, nowUs);
        if (keyLastSeenUs.size() > spec.keys().most()) {
            keyLastSeenUs.remove(keyLastSeenUs.keySet().iterator().next());
        }
        boolean remembered = lastSeenUs != null && nowUs - lastSeenUs <= spec.keys().forUs();
        return offer(atUs, id, remembered ? workUs * (1 - spec.keys().gain()) : workUs, ended);
    }

    /** Offers a complete request; {@code id} is 0 or more and differs from that of every request held. */
    public Admission offer(long atUs, long id, double workUs, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        if (budget != null && !fallen && budget.recordWork(nowUs, workUs) > 1) {
            fallOver(ended);
        }
        if (fallen) {
            return Admission.FALLEN;
        }
        if (errorShare > 0 && random.nextDouble() < errorShare) {
            startJob(new Job(id, spec.errorTakesUs() * spec.speed(), true, true));
            return Admission.WORKING;
        }
        Job job = new Job(id, workUs, false, false);
        if (slotsTaken < spec.slots()) {
            startJob(job);
            return Admission.WORKING;
        }
        if (waiting.size() >= spec.room()) {
            return Admission.FULL;
        }
        waiting.put(id, job);
        return Admission.WAITING;
    }

    /** Cancels a request. It ends now, or when its work is done if the host cannot stop work. */
    public void giveUp(long atUs, long id, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        Job job = waiting.get(id);
        if (job != null) {
            if (spec.stopsOnCancel()) {
                waiting.remove(id);
                ended.add(new RequestEnd(id, atUs, EndState.STOPPED, 0));
            } else {
                job.givenUp = true;
            }
            return;
        }
        job = runningById.get(id);
        if (job == null || job.givenUp) {
            return;
        }
        job.givenUp = true;
        if (spec.stopsOnCancel()) {
            removeJob(job);
            double spentUs = Math.min(job.workUs, progress - job.startProgress);
            wastedWorkUs += spentUs;
            ended.add(new RequestEnd(id, atUs, EndState.STOPPED, spentUs));
            fillSlots();
        }
    }

    /** Opens a connection, which costs work; returns false if the host refuses it. */
    public boolean connect(long atUs, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        if (fallen || connections >= spec.connectionCap()) {
            return false;
        }
        connections++;
        addOverhead(spec.handshakeUs());
        return true;
    }

    public void disconnect() {
        connections--;
    }

    /** Adds the work of a probe. */
    public void probe(long atUs, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        addOverhead(spec.probeUs());
    }

    /** Returns the load report that is visible now. */
    public LoadReport report(long atUs, Collection<RequestEnd> ended) {
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

    /** Returns when the next job ends if nothing else happens; Long.MAX_VALUE if nothing is in work. */
    public long nextEndUs() {
        if (runningByEnd.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double remainingUs = (runningByEnd.first().endProgress - progress) / pace();
        return startUs + (long) Math.ceil(nowUs + Math.max(0, remainingUs));
    }

    /** Advances to this time; adds the requests that ended meanwhile, in order. */
    public void advance(long atUs, Collection<RequestEnd> ended) {
        double untilUs = Math.max(nowUs, atUs - startUs);
        while (nowUs < untilUs) {
            double stepEndUs = Math.min(untilUs, nextSnapshotUs);
            if (isWarming() || spec.choke().at() > 0) {
                stepEndUs = Math.min(stepEndUs, nowUs + WARM_STEP_US);
            }
            updateChoke();
            double pace = pace();
            Job first = runningByEnd.isEmpty() ? null : runningByEnd.first();
            double endsIn = first == null ? Double.MAX_VALUE : (first.endProgress - progress) / pace;
            if (first != null && nowUs + endsIn <= stepEndUs) {
                nowUs += Math.max(0, endsIn);
                progress = first.endProgress;
                completeJob(first, ended);
                continue;
            }
            progress += pace * (stepEndUs - nowUs);
            nowUs = stepEndUs;
            if (nowUs >= nextSnapshotUs) {
                snapshots.add(new Snapshot(nowUs, new LoadReport(withNoise(waiting.size()), withNoise(held()),
                        Math.max(0, latencyMs * (1 + spec.reportNoise() * gaussian.sample())))));
                nextSnapshotUs += spec.reportEveryUs() * (0.9 + 0.2 * random.nextDouble());
            }
        }
        // Reset while idle: a sum over many steps would lose the precision of the end times.
        if (runningByEnd.isEmpty()) {
            progress = 0;
        }
    }

    private void updateChoke() {
        HostSpec.Choke choke = spec.choke();
        if (choke.at() <= 0) {
            return;
        }
        if (!isChoked()) {
            boolean overloaded = held() - spec.cores() > choke.at() * spec.cores();
            overloadedSinceUs = !overloaded ? UNSET : Double.isNaN(overloadedSinceUs) ? nowUs : overloadedSinceUs;
            if (overloaded && nowUs - overloadedSinceUs >= choke.afterUs()) {
                chokedAtUs = nowUs;
                recoveringSinceUs = UNSET;
                chokes++;
            }
            return;
        }
        boolean recovering = held() <= choke.below() * spec.cores();
        recoveringSinceUs = !recovering ? UNSET : Double.isNaN(recoveringSinceUs) ? nowUs : recoveringSinceUs;
        if (recovering && nowUs - recoveringSinceUs >= choke.restUs() || nowUs - chokedAtUs >= choke.mostUs()) {
            chokedAtUs = UNSET;
            overloadedSinceUs = UNSET;
        }
    }

    /** True if overload has slowed the host down and it has not recovered yet. */
    public boolean isChoked() {
        return !Double.isNaN(chokedAtUs);
    }

    /** Returns how often overload has slowed the host down. */
    public int chokes() {
        return chokes;
    }

    /** Returns the number of requests held, in work or waiting. */
    public int held() {
        return waiting.size() + slotsTaken;
    }

    public int waiting() {
        return waiting.size();
    }

    public int connections() {
        return connections;
    }

    /** True if the host has crashed because it was sent too much work while cold. */
    public boolean isFallen() {
        return fallen;
    }

    /** Returns the greatest share of the cold-start budget in use so far; 0 if the host started warm. */
    public double coldBudgetUsed() {
        return budget == null ? 0 : budget.maxUsed();
    }

    /** Returns the work on requests that were not cancelled, in microseconds. */
    public double usefulWorkUs() {
        return usefulWorkUs;
    }

    /** Returns the work on cancelled requests, in microseconds. */
    public double wastedWorkUs() {
        return wastedWorkUs;
    }

    /** Returns the current work per microsecond of all cores, without loss by crowding. */
    public double capacity() {
        return spec.fullCapacity() * warmth() / totalSlowdown();
    }

    private double totalSlowdown() {
        return slowdownFactor * (isChoked() ? spec.choke().slower() : 1);
    }

    private boolean isWarming() {
        return startsCold && nowUs < spec.warmUpUs();
    }

    private double warmth() {
        return isWarming() ? spec.coldFrom() + (1 - spec.coldFrom()) * nowUs / spec.warmUpUs() : 1;
    }

    /** Returns the progress of each request, in work per microsecond. */
    private double pace() {
        double crowding = 1;
        if (spec.crowdFrom() > 0 && held() > spec.crowdFrom()) {
            crowding = 1 / (1 + spec.crowdLoss() * (held() - spec.crowdFrom()) / spec.crowdFrom());
        }
        int sharing = runningByEnd.size();
        double coreShare = sharing <= spec.cores() ? 1 : (double) spec.cores() / sharing;
        return spec.speed() * warmth() / totalSlowdown() * crowding * coreShare;
    }

    private void addOverhead(double workUs) {
        if (workUs > 0) {
            startJob(new Job(nextOverheadId--, workUs, false, true));
        }
    }

    private void startJob(Job job) {
        job.startedUs = nowUs;
        job.startProgress = progress;
        job.endProgress = progress + job.workUs;
        runningByEnd.add(job);
        runningById.put(job.id, job);
        slotsTaken += job.overhead ? 0 : 1;
    }

    private void removeJob(Job job) {
        runningByEnd.remove(job);
        runningById.remove(job.id);
        slotsTaken -= job.overhead ? 0 : 1;
    }

    private void completeJob(Job job, Collection<RequestEnd> ended) {
        removeJob(job);
        if (job.id >= 0) {
            EndState state = job.givenUp ? EndState.STOPPED : job.fails ? EndState.FAILED : EndState.SERVED;
            double spentUs = job.fails ? 0 : job.workUs;
            if (job.givenUp) {
                wastedWorkUs += spentUs;
            } else {
                usefulWorkUs += spentUs;
            }
            if (state == EndState.SERVED) {
                double tookMs = (nowUs - job.startedUs) / 1e3;
                latencyMs = latencyMs == 0 ? tookMs : latencyMs + LATENCY_WEIGHT * (tookMs - latencyMs);
            }
            ended.add(new RequestEnd(job.id, startUs + (long) Math.ceil(nowUs), state, spentUs));
        }
        fillSlots();
    }

    private void fillSlots() {
        Iterator<Job> next = waiting.values().iterator();
        while (slotsTaken < spec.slots() && next.hasNext()) {
            Job job = next.next();
            next.remove();
            startJob(job);
        }
    }

    private void fallOver(Collection<RequestEnd> ended) {
        fallen = true;
        List<Job> all = new ArrayList<>(runningById.values());
        all.addAll(waiting.values());
        all.sort(Comparator.comparingLong(job -> job.id));
        for (Job job : all) {
            if (job.id >= 0) {
                ended.add(new RequestEnd(job.id, startUs + (long) Math.ceil(nowUs), EndState.STOPPED, 0));
            }
        }
        runningByEnd.clear();
        runningById.clear();
        waiting.clear();
        slotsTaken = 0;
    }

    private int withNoise(int figure) {
        return (int) Math.max(0, Math.round(figure * (1 + spec.reportNoise() * gaussian.sample())));
    }
}
