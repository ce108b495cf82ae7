package dapplequay.facade;

import java.util.List;

/** What discovery told: a kind, and the lines that go with it (none with FAILED). */
public record ListNews(Kind kind, List<Line> lines) {
    /** CHANGES: the changed lines alone. RESTORED: the whole list as held before the start; it may be old. */
    public enum Kind { CHANGES, WHOLE, RESTORED, FAILED }

    public enum State { SERVING, DRAINING, DELETED }

    /** One host. Its uid is the same for every balancer, which the module's orders are hashed from. */
    public record Line(String uid, String zone, int cell, State state, double weight, long bootMs) { }

    public ListNews {
        lines = List.copyOf(lines);
    }

    public static ListNews failed() {
        return new ListNews(Kind.FAILED, List.of());
    }
}
