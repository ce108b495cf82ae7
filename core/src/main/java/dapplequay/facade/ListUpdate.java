package dapplequay.facade;

import java.util.List;

/** One update of the server list from discovery; {@code entries} is empty for {@link Kind#FAILED}. */
public record ListUpdate(Kind kind, List<ServerEntry> entries) {
    /**
     * DELTA has only the entries that changed, FULL has the complete list. RESTORED has the complete list that was
     * stored before the process started, which may be outdated. FAILED says that discovery could not be read.
     */
    public enum Kind { DELTA, FULL, RESTORED, FAILED }

    public enum State { SERVING, DRAINING, DELETED }

    /**
     * One server. Every balancer sees the same uid for it, as the balancer hashes the uid to order the servers.
     *
     * @param cell   the number of its pod group
     * @param weight its capacity relative to other servers
     * @param bootMs when its process started, Unix time in milliseconds; 0 if unknown
     */
    public record ServerEntry(String uid, String zone, int cell, State state, double weight, long bootMs) { }

    public ListUpdate {
        entries = List.copyOf(entries);
    }

    public static ListUpdate failed() {
        return new ListUpdate(Kind.FAILED, List.of());
    }
}
