package dapplequay.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of recent requests, each kept for as long as its request may be in progress. An id belongs to one request; a
 * second request with the same id would be mistaken for the first.
 */
final class RecentCallIds {
    private final Map<Long, Long> expiryUs = new LinkedHashMap<>();

    /** Adds the id for {@code retentionUs}; returns false if it is there already and has not expired. */
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
