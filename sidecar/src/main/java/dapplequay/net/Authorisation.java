package dapplequay.net;

import dapplequay.management.Counts;

/** One request of the acquirer's, until its one answer. Whoever claims it first answers it, or drops it. */
final class Authorisation {
    final long id;
    final AcquirerConnection from;
    final AcquirerRequest request;
    private final Counts counts;
    private boolean over;
    private boolean timedOut;
    private Leg leg;

    /** Counts as taken from here on. */
    Authorisation(long id, AcquirerConnection from, AcquirerRequest request, Counts counts) {
        this.id = id;
        this.from = from;
        this.request = request;
        this.counts = counts;
        counts.taken();
    }

    /** Only who claimed it calls this, once. */
    void ended(Counts.End how) {
        counts.ended(request.className(), how);
    }

    /** True for one caller alone: that one answers. */
    synchronized boolean claim() {
        boolean first = !over;
        over = true;
        return first;
    }

    synchronized boolean isOver() {
        return over;
    }

    /** The leg that is out from now on; false if the client has left meanwhile, and nothing may go out. */
    synchronized boolean attach(Leg next) {
        if (over) {
            return false;
        }
        leg = next;
        return true;
    }

    /** The leg now out, or null; asked for once the authorisation is claimed, when none can follow. */
    synchronized Leg leg() {
        return leg;
    }

    /** What a failed answer says: that time ran out, or that the issuer hosts failed. */
    synchronized void lastLegTimedOut(boolean so) {
        timedOut = so;
    }

    synchronized int failureStatus() {
        return timedOut ? 504 : 502;
    }
}
