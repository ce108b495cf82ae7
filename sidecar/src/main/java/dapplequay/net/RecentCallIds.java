package dapplequay.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of late requests, each kept as long as its request may be out: an id comes with one request alone,
 * and a second one that borrows it would run under the name of the first.
 */
final class RecentCallIds {
    private final Map<Long, Long> expiryUs = new LinkedHashMap<>();

    /** False where the id has come before, not long ago; a new one is kept for {@code keptUs}. */
    synchronized boolean addIfNew(long id, long nowUs, long retentionUs) {
        Iterator<Long> expiries = expiryUs.values().iterator();
        while (expiries.hasNext() && expiries.next() <= nowUs) {
            expiries.remove();
        }
        return expiryUs.putIfAbsent(id, nowUs + retentionUs) == null;
    }

    synchronized int size() {
        return expiryUs.size();
    }
}
