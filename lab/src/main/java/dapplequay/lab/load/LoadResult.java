package dapplequay.lab.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The result of a generator run. Latency runs from when a request was due to the end of its last answer, the
 * client's own retries included; send lag runs from when it was due to when it was written.
 */
public final class LoadResult {
    private static final long MAX_VALUE_US = 3_600_000_000L;

    private final Profile profile;
    private final Schedule schedule;
    private final List<List<ClientAttempt>> attempts;
    private final long startUs;
    private final Histogram latency = histogram();
    private final Histogram sendLag = histogram();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final long sent;
    private final long answered;
    private final long connectionsOpened;

    /** Evaluates the run; {@code attempts} holds for each arrival its tries in order, at least one. */
    LoadResult(Profile profile, Schedule schedule, List<List<ClientAttempt>> attempts, long startUs,
               long connectionsOpened) {
        this.profile = profile;
        this.schedule = schedule;
        this.attempts = attempts;
        this.startUs = startUs;
        this.connectionsOpened = connectionsOpened;
        long sentCount = 0;
        long answeredCount = 0;
        for (List<ClientAttempt> ownAttempts : attempts) {
            ClientAttempt first = ownAttempts.get(0);
            ClientAttempt last = ownAttempts.get(ownAttempts.size() - 1);
            sentCount += ownAttempts.stream().anyMatch(attempt -> attempt.sentUs > 0) ? 1 : 0;
            if (first.sentUs > 0) {
                sendLag.recordValue(clamp(first.sentUs - first.dueUs));
            }
            if (last.isAnswered()) {
                answeredCount++;
                latency.recordValue(clamp(last.endUs - first.dueUs));
            }
            outcomes.merge(last.outcome, 1L, Long::sum);
        }
        sent = sentCount;
        answered = answeredCount;
    }

    /** Returns an empty histogram in microseconds with the laboratory's range and precision. */
    public static Histogram histogram() {
        return new Histogram(MAX_VALUE_US, 3);
    }

    private static long clamp(long us) {
        return Math.max(0, Math.min(MAX_VALUE_US, us));
    }

    public Profile profile() {
        return profile;
    }

    public Schedule schedule() {
        return schedule;
    }

    /** Returns the tries of each arrival, in order. */
    public List<List<ClientAttempt>> attempts() {
        return attempts;
    }

    /** Returns when the load began, in Unix microseconds. */
    public long startUs() {
        return startUs;
    }

    public Histogram latency() {
        return latency;
    }

    public Histogram sendLag() {
        return sendLag;
    }

    /** Returns the number of scheduled requests by the outcome of their last try. */
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

    /** Returns the number of requests whose last try was never written, nor its connection refused. */
    public long unsent() {
        return outcomes.getOrDefault(ClientAttempt.UNSENT, 0L);
    }

    /** True if the generator fell behind: a request was not sent, or the p99 of send lag is over its bound. */
    public boolean isBehind() {
        return unsent() > 0 || sendLag.getValueAtPercentile(99) > profile.lagBoundUs();
    }

    /** Returns why the generator counts as behind, as a readable text; empty if it does not. */
    public String behindWhy() {
        if (unsent() > 0) {
            return unsent() + " of " + scheduled() + " requests were never sent";
        }
        return isBehind() ? String.format(java.util.Locale.ROOT,
                "send lag p99 is %.1f ms, over the bound of %.1f ms",
                sendLag.getValueAtPercentile(99) / 1e3, profile.lagBoundUs() / 1e3) : "";
    }

    /**
     * Returns the latency that a closed-loop client would have measured in this run. Such a client sends only after
     * the previous answer, so it sees a pause once, however many requests were due in it (coordinated omission).
     */
    public Histogram closedLoopLatency() {
        List<ClientAttempt> firstAttempts = new ArrayList<>();
        for (List<ClientAttempt> ownAttempts : attempts) {
            if (ownAttempts.get(0).isAnswered()) {
                firstAttempts.add(ownAttempts.get(0));
            }
        }
        firstAttempts.sort(java.util.Comparator.comparingLong(t -> t.sentUs));
        Histogram closedLoop = histogram();
        long freeAtUs = 0;
        for (ClientAttempt attempt : firstAttempts) {
            if (attempt.sentUs >= freeAtUs) {
                closedLoop.recordValue(clamp(attempt.endUs - attempt.sentUs));
                freeAtUs = attempt.endUs;
            }
        }
        return closedLoop;
    }

    /** Returns one latency histogram, with timestamps, for each second in which requests were due. */
    public List<Histogram> latencyBySecond() {
        List<Histogram> seconds = new ArrayList<>();
        for (List<ClientAttempt> ownAttempts : attempts) {
            ClientAttempt last = ownAttempts.get(ownAttempts.size() - 1);
            if (!last.isAnswered()) {
                continue;
            }
            int second = (int) (ownAttempts.get(0).arrival.dueUs() / 1_000_000);
            while (seconds.size() <= second) {
                Histogram next = histogram();
                next.setStartTimeStamp(startUs / 1000 + seconds.size() * 1000L);
                next.setEndTimeStamp(startUs / 1000 + (seconds.size() + 1) * 1000L);
                seconds.add(next);
            }
            seconds.get(second).recordValue(clamp(last.endUs - ownAttempts.get(0).dueUs));
        }
        return seconds;
    }
}
