package dapplequay.lab.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Records what the judge needs from the fleet: every request that reached a host, the updates that discovery sent,
 * starts and crashes of hosts, and samples of their load. Times are Unix microseconds.
 */
public final class FleetLog {
    /** What a host did with a request. The first two mean that the request was certainly not executed. */
    public enum VisitOutcome { TURNED_AWAY, RESET_UNSEEN, SERVED, FAILED, STOPPED, BROKEN }

    /** One request at one host. The {@code nonce} is random and shows that an answer came from this visit. */
    public static final class Visit {
        public final String callId;
        public final String idempotencyKey;
        public final int host;
        public final String uid;
        public final int pod;
        public final int callerZone;
        public final long firstByteUs;
        public final long receivedUs;
        public final double requestedWorkUs;
        public long endUs;
        public double spentWorkUs;
        public VisitOutcome outcome = VisitOutcome.STOPPED;
        public long nonce;

        public Visit(String callId, String idempotencyKey, int host, String uid, int pod, int callerZone,
                     long firstByteUs, long receivedUs, double requestedWorkUs) {
            this.callId = callId;
            this.idempotencyKey = idempotencyKey;
            this.host = host;
            this.uid = uid;
            this.pod = pod;
            this.callerZone = callerZone;
            this.firstByteUs = firstByteUs;
            this.receivedUs = receivedUs;
            this.requestedWorkUs = requestedWorkUs;
        }

        public boolean mayHaveRun() {
            return outcome != VisitOutcome.TURNED_AWAY && outcome != VisitOutcome.RESET_UNSEEN;
        }
    }

    /** An entry of a list that discovery sent to a view: the state of one host. */
    public record ListUpdate(int view, String uid, String state, long bootMs, long atUs) { }

    /** The start of a host's process; {@code cold} unless it starts already warmed up. */
    public record Start(int host, String uid, long atUs, boolean cold) { }

    /** The crash of a host that was overloaded while cold. */
    public record HostCrash(int host, String uid, long atUs) { }

    /** A sample of one host's load. */
    public record Sample(long atUs, int host, int held, int waiting, int connections, double capacity) { }

    /** Totals and maxima of one host over the whole run. */
    public static final class Counts {
        public long handshakes;
        public long rejectedConnections;
        public long probes;
        public int maxConnections;
        public double wastedWorkUs;
        public double workDoneUs;
        public double coldBudgetUsed;
    }

    private final List<Visit> visits = new ArrayList<>();
    private final List<ListUpdate> listUpdates = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private final List<HostCrash> hostCrashes = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final Counts[] counts;
    private long listCalls;
    private long listEntriesSent;
    private boolean recordsEvents = true;

    public FleetLog(int hosts) {
        counts = new Counts[hosts];
        for (int i = 0; i < hosts; i++) {
            counts[i] = new Counts();
        }
    }

    /** Stops recording visits, list updates and samples, to bound memory in a long run that is not judged. */
    public synchronized void recordCountsOnly() {
        recordsEvents = false;
        visits.clear();
        listUpdates.clear();
        samples.clear();
    }

    public synchronized void add(Visit visit) {
        if (recordsEvents) {
            visits.add(visit);
        }
    }

    public synchronized void add(ListUpdate update) {
        if (recordsEvents) {
            listUpdates.add(update);
        }
    }

    public synchronized void add(Start start) {
        starts.add(start);
    }

    public synchronized void add(HostCrash crash) {
        hostCrashes.add(crash);
    }

    public synchronized void add(Sample sample) {
        if (recordsEvents) {
            samples.add(sample);
        }
    }

    synchronized void addListCall(int entries) {
        listCalls++;
        listEntriesSent += entries;
    }

    /** Returns the counts of one host, which only that host's loop thread may write. */
    public Counts counts(int host) {
        return counts[host];
    }

    public int hosts() {
        return counts.length;
    }

    public synchronized List<Visit> visits() {
        return List.copyOf(visits);
    }

    public synchronized List<ListUpdate> listUpdates() {
        return List.copyOf(listUpdates);
    }

    public synchronized List<Start> starts() {
        return List.copyOf(starts);
    }

    public synchronized List<HostCrash> hostCrashes() {
        return List.copyOf(hostCrashes);
    }

    public synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }

    public synchronized long listCalls() {
        return listCalls;
    }

    public synchronized long listEntriesSent() {
        return listEntriesSent;
    }
}
