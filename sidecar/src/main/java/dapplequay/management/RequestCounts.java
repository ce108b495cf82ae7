package dapplequay.management;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What has become of the requests since the process started, by class. Each request is counted once where it is taken
 * and once where it ends, all under one lock: at every reading, those taken are those ended and those open.
 */
public final class RequestCounts {
    /** How a request ended. One whose client left counts as failed. */
    public enum End { FULFILLED, THROTTLED, FAULTED }

    /** A reading. {@code ended}: by the name of a class, in the order of {@link End}. */
    public record Reading(Map<String, long[]> ended, long accepted, long open, long relayed) { }

    private final Map<String, long[]> ended = new LinkedHashMap<>();
    private long accepted;
    private long open;
    private long relayed;

    /** These classes are shown from now on, also before anybody has asked for them; none is ever taken out. */
    public synchronized void addClasses(Collection<String> classes) {
        classes.forEach(this::countsOf);
    }

    private long[] countsOf(String serviceClass) {
        return ended.computeIfAbsent(serviceClass, name -> new long[End.values().length]);
    }

    public synchronized void accepted() {
        accepted++;
        open++;
    }

    public synchronized void ended(String serviceClass, End end) {
        countsOf(serviceClass)[end.ordinal()]++;
        open--;
    }

    /** An attempt was written whole to an upstream. */
    public synchronized void relayed() {
        relayed++;
    }

    public synchronized Reading read() {
        Map<String, long[]> copy = new TreeMap<>();
        ended.forEach((name, counts) -> copy.put(name, counts.clone()));
        return new Reading(copy, accepted, open, relayed);
    }
}
