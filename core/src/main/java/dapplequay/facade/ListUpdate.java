package dapplequay.facade;

import java.util.List;

/** What discovery told: a kind, and the lines that go with it (none with FAILED). */
public record ListUpdate(Kind kind, List<ServerEntry> entries) {
    /** CHANGES: the changed lines alone. RESTORED: the whole list as held before the start; it may be old. */
    public enum Kind { DELTA, FULL, RESTORED, FAILED }

    public enum State { SERVING, DRAINING, DELETED }

    /** One host. Its uid is the same for every balancer, which the module's orders are hashed from. */
    public record ServerEntry(String uid, String zone, int cell, State state, double weight, long bootMs) { }

    public ListUpdate {
        entries = List.copyOf(entries);
    }

    public static ListUpdate failed() {
        return new ListUpdate(Kind.FAILED, List.of());
    }
}
