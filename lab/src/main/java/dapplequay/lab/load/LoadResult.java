package dapplequay.lab.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What a run of the generator came to. Latency counts from when a request was due to the last byte of its last
 * answer, the client's own retries included; send lag from when it was due to when it was written.
 */
public final class LoadResult {
    private static final long HIGHEST_US = 3_600_000_000L;

    private final Profile profile;
    private final Schedule schedule;
    private final List<List<ClientAttempt>> tries;
    private final long startUs;
    private final Histogram latency = histogram();
    private final Histogram sendLag = histogram();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final long sent;
    private final long answered;
    private final long connectionsOpened;

    /** {@code tries}: for each arrival its tries in order, at least one. */
    LoadResult(Profile profile, Schedule schedule, List<List<ClientAttempt>> tries, long startUs, long connectionsOpened) {
        this.profile = profile;
        this.schedule = schedule;
        this.tries = tries;
        this.startUs = startUs;
        this.connectionsOpened = connectionsOpened;
        long written = 0;
        long whole = 0;
        for (List<ClientAttempt> all : tries) {
            ClientAttempt first = all.get(0);
            ClientAttempt last = all.get(all.size() - 1);
            written += all.stream().anyMatch(one -> one.sentUs > 0) ? 1 : 0;
            if (first.sentUs > 0) {
                sendLag.recordValue(clamp(first.sentUs - first.dueUs));
            }
            if (last.isAnswered()) {
                whole++;
                latency.recordValue(clamp(last.endUs - first.dueUs));
            }
            outcomes.merge(last.outcome, 1L, Long::sum);
        }
        sent = written;
        answered = whole;
    }

    /** An empty histogram of microseconds, as all of the laboratory's are. */
    public static Histogram histogram() {
        return new Histogram(HIGHEST_US, 3);
    }

    private static long clamp(long us) {
        return Math.max(0, Math.min(HIGHEST_US, us));
    }

    public Profile profile() {
        return profile;
    }

    public Schedule schedule() {
        return schedule;
    }

    /** For each arrival its tries in order. */
    public List<List<ClientAttempt>> tries() {
        return tries;
    }

    /** When the load began, in Unix microseconds. */
    public long startUs() {
        return startUs;
    }

    public Histogram latency() {
        return latency;
    }

    public Histogram sendLag() {
        return sendLag;
    }

    /** First tries by what came of them at last. */
    public Map<String, Long> outcomes() {
        return outcomes;
    }

    public long scheduled() {
        return schedule.arrivals().size();
    }

    public long sent() {
        return sent;
    }

    public long answered() {
        return answered;
    }

    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** First tries that were neither written nor turned away at the door: the generator sent less than due. */
    public long unsent() {
        return outcomes.getOrDefault(ClientAttempt.UNSENT, 0L);
    }

    /** Whether the generator fell behind: something was not sent at all, or the send lag is over its bound. */
    public boolean isBehind() {
        return unsent() > 0 || sendLag.getValueAtPercentile(99) > profile.lagBoundUs();
    }

    /** Why it counts as behind, for people; empty where it does not. */
    public String behindWhy() {
        if (unsent() > 0) {
            return unsent() + " of " + scheduled() + " requests were never sent";
        }
        return isBehind() ? String.format(java.util.Locale.ROOT,
                "send lag p99 is %.1f ms, over the bound of %.1f ms",
                sendLag.getValueAtPercentile(99) / 1e3, profile.lagBoundUs() / 1e3) : "";
    }

    /**
     * What one client would have counted that sends a request only when it has the answer to the one before, out
     * of this very run: it sees a pause once, however many requests were due in it.
     */
    public Histogram closedLoopLatency() {
        List<ClientAttempt> firsts = new ArrayList<>();
        for (List<ClientAttempt> all : tries) {
            if (all.get(0).isAnswered()) {
                firsts.add(all.get(0));
            }
        }
        firsts.sort(java.util.Comparator.comparingLong(t -> t.sentUs));
        Histogram seen = histogram();
        long free = 0;
        for (ClientAttempt one : firsts) {
            if (one.sentUs >= free) {
                seen.recordValue(clamp(one.endUs - one.sentUs));
                free = one.endUs;
            }
        }
        return seen;
    }

    /** Latency second by second, each with its time, for a histogram log. */
    public List<Histogram> latencyBySecond() {
        List<Histogram> seconds = new ArrayList<>();
        for (List<ClientAttempt> all : tries) {
            ClientAttempt last = all.get(all.size() - 1);
            if (!last.isAnswered()) {
                continue;
            }
            int second = (int) (all.get(0).arrival.dueUs() / 1_000_000);
            while (seconds.size() <= second) {
                Histogram next = histogram();
                next.setStartTimeStamp(startUs / 1000 + seconds.size() * 1000L);
                next.setEndTimeStamp(startUs / 1000 + (seconds.size() + 1) * 1000L);
                seconds.add(next);
            }
            seconds.get(second).recordValue(clamp(last.endUs - all.get(0).dueUs));
        }
        return seconds;
    }
}
