package dapplequay.net;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The ids of requests that are open, however long they take, and of ended ones that may have run. An id belongs to one
 * request: a second request with the same id would be mistaken for the first, or run again. Times are in microseconds.
 */
final class RecentCallIds {
    /** How long the id of an ended request is kept, unless there are too many. */
    static final long MAX_RETENTION_US = 60_000_000;
    /** With more ids of ended requests than this, the oldest are kept for the minimum time only. */
    static final int MAX_KEPT = 20_000;

    private final Set<Long> open = new HashSet<>();
    /** When requests ended, by their ids, in the order of these times. */
    private final Map<Long, Long> endedAtUs = new LinkedHashMap<>();

    /** Marks a request as open; returns false if another one with its id is open or was ended recently. */
    synchronized boolean begin(long id, long nowUs) {
        Long endedUs = endedAtUs.get(id);
        if (endedUs != null && nowUs - endedUs < MAX_RETENTION_US) {
            return false;
        }
        endedAtUs.remove(id);
        return open.add(id);
    }

    /** Marks a request as ended; its id is kept for {@code minRetentionUs} at least if it may have run. */
    synchronized void end(long id, boolean mayHaveRun, long nowUs, long minRetentionUs) {
        open.remove(id);
        if (mayHaveRun) {
            endedAtUs.put(id, nowUs);
        }
        Iterator<Long> oldestFirst = endedAtUs.values().iterator();
        while (oldestFirst.hasNext()) {
            long ageUs = nowUs - oldestFirst.next();
            if (ageUs < minRetentionUs || ageUs < MAX_RETENTION_US && endedAtUs.size() <= MAX_KEPT) {
                return;
            }
            oldestFirst.remove();
        }
    }

    synchronized int size() {
        return open.size() + endedAtUs.size();
    }
}
