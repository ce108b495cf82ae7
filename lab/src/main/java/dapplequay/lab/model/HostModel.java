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
    private static final double UNSET = Double.NaN;
    /** Weight of the newest service time in the reported one. */
    private static final double LATENCY_WEIGHT = 0.1;

    /** What became of a request that was offered. */
    public enum Admission { WORKING, WAITING, FULL, FALLEN }

    public enum EndState {
        /** Done. */
        SERVED,
        /** Answered with an error. */
        FAILED,
        /** Given up before it ended. */
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

    /** Starts now: cold, or as if it had run for long. */
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

    /** Everything takes so many times as long from now on; 1 is ordinary. */
    public void slowdownFactor(long atUs, double factor, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        slowdownFactor = factor;
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

    /** A request has come whole; {@code id} is 0 or more and no other's that is held. */
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

    /** Nobody waits for this request any more. Its end is told now, or later where work can't be stopped. */
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

    /** Whether the host takes one more connection, which costs it work. */
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

    /** Work that a probe costs. */
    public void probe(long atUs, Collection<RequestEnd> ended) {
        advance(atUs, ended);
        addOverhead(spec.probeUs());
    }

    /** The report that shows now. */
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

    /** When something ends next if nothing else happens; Long.MAX_VALUE: nothing is in work. */
    public long nextEndUs() {
        if (runningByEnd.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double remainingUs = (runningByEnd.first().endProgress - progress) / pace();
        return startUs + (long) Math.ceil(nowUs + Math.max(0, remainingUs));
    }

    /** Lets time pass; what ended meanwhile is added in order. */
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
        // Progress is kept small, as the sum of many steps would lose the last digits of its ends.
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
        return budget == null ? 0 : budget.maxUsedShare();
    }

    /** Work on requests that were served or failed. */
    public double usefulWorkUs() {
        return usefulWorkUs;
    }

    /** Work on requests that nobody waited for in the end. */
    public double wastedWorkUs() {
        return wastedWorkUs;
    }

    /** Work per microsecond at this moment, all cores together, if nothing crowds the host. */
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

    /** Progress of each request in work per microsecond. */
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
