package dapplequay.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of late requests, each kept as long as its request may be out: an id comes with one request alone,
 * and a second one that borrows it would run under the name of the first.
 */
final class CallIds {
    private final long keptUs;
    private final Map<Long, Long> until = new LinkedHashMap<>();

    CallIds(long keptUs) {
        this.keptUs = keptUs;
    }

    /** False where the id has come before, not long ago. */
    synchronized boolean isNew(long id, long nowUs) {
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
