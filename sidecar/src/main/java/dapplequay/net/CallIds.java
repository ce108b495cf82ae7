package dapplequay.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of late requests, each kept as long as its request may be out: an id comes with one request alone,
 * and a second one that borrows it would run under the name of the first.
 */
final class CallIds {
    private final Map<Long, Long> until = new LinkedHashMap<>();

    /** False where the id has come before, not long ago; a new one is kept for {@code keptUs}. */
    synchronized boolean isNew(long id, long nowUs, long keptUs) {
        Iterator<Long> oldest = until.values().iterator();
        while (oldest.hasNext() && oldest.next() <= nowUs) {
            oldest.remove();
        }
        return until.putIfAbsent(id, nowUs + keptUs) == null;
    }

    synchronized int size() {
        return until.size();
    }
}
