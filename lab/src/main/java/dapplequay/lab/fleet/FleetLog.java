package dapplequay.lab.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What the fleet saw: every request that reached a host, what discovery told whom, every start, and how loaded
 * the hosts were. Times are Unix microseconds. Everything a judge of a run needs from this side.
 */
public final class FleetLog {
    /** What a host did with a request. Its first two prove that it never ran. */
    public enum Did { TURNED_AWAY, RESET_UNSEEN, SERVED, FAILED, STOPPED, BROKEN }

    /** One request at one host; {@code nonce} is what only the host's own answer can hold. */
    public static final class Visit {
        public final String call;
        public final String key;
        public final int host;
        public final String uid;
        public final int pod;
        public final int fromZone;
        public final long firstByteUs;
        public final long atUs;
        public final double askedUs;
        public long endUs;
        public double spentUs;
        public Did did = Did.STOPPED;
        public long nonce;

        public Visit(String call, String key, int host, String uid, int pod, int fromZone, long firstByteUs,
                     long atUs, double askedUs) {
            this.call = call;
            this.key = key;
            this.host = host;
            this.uid = uid;
            this.pod = pod;
            this.fromZone = fromZone;
            this.firstByteUs = firstByteUs;
            this.atUs = atUs;
            this.askedUs = askedUs;
        }

        public boolean mayHaveRun() {
            return did != Did.TURNED_AWAY && did != Did.RESET_UNSEEN;
        }
    }

    /** Discovery wrote to a view that this host takes no new work, or that it serves. */
    public record Told(int view, String uid, String state, long bootMs, long atUs) { }

    /** A host's process came up; {@code cold}: from nothing. */
    public record Start(int host, String uid, long atUs, boolean cold) { }

    /** A host fell over: it was sent too much while cold. */
    public record Fall(int host, String uid, long atUs) { }

    /** How loaded one host was at one moment. */
    public record Sample(long atUs, int host, int held, int waiting, int connections, double capacity) { }

    /** Counts for one host over the whole run. */
    public static final class Counts {
        public long handshakes;
        public long turnedAwayConnections;
        public long probes;
        public int mostConnections;
        public double wastedUs;
        public double doneUs;
        public double coldBudgetUsed;
    }

    private final List<Visit> visits = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private final List<Fall> falls = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final Counts[] counts;
    private long listCalls;
    private long listLines;
    private boolean keeps = true;

    public FleetLog(int hosts) {
        counts = new Counts[hosts];
        for (int i = 0; i < hosts; i++) {
            counts[i] = new Counts();
        }
    }

    /** Keeps counts alone from now on: for a fleet that runs for days and that nobody judges. */
    public synchronized void keepCountsAlone() {
        keeps = false;
        visits.clear();
        told.clear();
        samples.clear();
    }

    public synchronized void add(Visit visit) {
        if (keeps) {
            visits.add(visit);
        }
    }

    public synchronized void add(Told news) {
        if (keeps) {
            told.add(news);
        }
    }

    public synchronized void add(Start start) {
        starts.add(start);
    }

    public synchronized void add(Fall fall) {
        falls.add(fall);
    }

    public synchronized void add(Sample sample) {
        if (keeps) {
            samples.add(sample);
        }
    }

    synchronized void listCall(int lines) {
        listCalls++;
        listLines += lines;
    }

    /** The counts of one host, which its own loop alone writes. */
    public Counts counts(int host) {
        return counts[host];
    }

    public int hosts() {
        return counts.length;
    }

    public synchronized List<Visit> visits() {
        return List.copyOf(visits);
    }

    public synchronized List<Told> told() {
        return List.copyOf(told);
    }

    public synchronized List<Start> starts() {
        return List.copyOf(starts);
    }

    public synchronized List<Fall> falls() {
        return List.copyOf(falls);
    }

    public synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }

    public synchronized long listCalls() {
        return listCalls;
    }

    public synchronized long listLines() {
        return listLines;
    }
}
