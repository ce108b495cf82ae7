package dapplequay.management;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of requests since the process started, by service class. Each request is counted when it is accepted and when
 * it ends, under one lock, so that in every reading the accepted requests equal the ended and the open ones.
 */
public final class RequestCounts {
    /** How a request ended. One whose client disconnected counts as FAULTED. */
    public enum End { FULFILLED, THROTTLED, FAULTED }

    /** Consistent copy of all counts. {@code ended} maps each class's name to its counts, indexed by {@link End}. */
    public record Reading(Map<String, long[]> ended, long accepted, long open, long relayed) { }

    private final Map<String, long[]> ended = new LinkedHashMap<>();
    private final LateResponseCounts lateResponses = new LateResponseCounts();
    private long accepted;
    private long open;
    private long relayed;

    /** Adds classes to all later readings, with counts of 0 until they have requests. Classes are never removed. */
    public synchronized void addClasses(Collection<String> classes) {
        classes.forEach(this::countsOf);
    }

    private long[] countsOf(String serviceClass) {
        return ended.computeIfAbsent(serviceClass, name -> new long[End.values().length]);
    }

    /** Counts a request that was accepted. */
    public synchronized void accepted() {
        accepted++;
        open++;
    }

    /** Counts the end of a request. */
    public synchronized void ended(String serviceClass, End end) {
        countsOf(serviceClass)[end.ordinal()]++;
        open--;
    }

    /** Counts an attempt that was written completely to an upstream. */
    public synchronized void relayed() {
        relayed++;
    }

    /** Returns the counts of late responses, which are read apart from the others. */
    public LateResponseCounts lateResponses() {
        return lateResponses;
    }

    public synchronized Reading read() {
        Map<String, long[]> copy = new TreeMap<>();
        ended.forEach((name, counts) -> copy.put(name, counts.clone()));
        return new Reading(copy, accepted, open, relayed);
    }
}
