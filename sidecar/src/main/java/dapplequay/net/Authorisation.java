package dapplequay.net;

import dapplequay.facade.Upload;
import dapplequay.management.Counts;

/** One request of the client's, until its one answer. Whoever claims it first answers it, or drops it. */
final class Authorisation {
    final long id;
    final ClientConnection from;
    final ClientRequest request;
    private final Counts counts;
    private boolean over;
    private boolean timedOut;
    private Leg leg;
    private boolean committed;
    private boolean taken;
    private volatile long dueUs;

    /** Counts as taken from here on; a long one, once its last byte has come. */
    Authorisation(long id, ClientConnection from, ClientRequest request, Counts counts) {
        this.id = id;
        this.from = from;
        this.request = request;
        this.counts = counts;
        if (!request.isLong()) {
            taken();
        }
    }

    /** It is here whole. */
    synchronized void taken() {
        if (!taken) {
            taken = true;
            counts.taken();
        }
    }

    /** When its time ends, us; told again where a long one has become whole. */
    void dueBy(long us) {
        dueUs = us;
    }

    long dueUs() {
        return dueUs;
    }

    /** Only who claimed it calls this, once. */
    void ended(Counts.End how) {
        taken();
        counts.ended(request.className(), how);
    }

    /** True for one caller alone: that one answers. */
    synchronized boolean claim() {
        boolean first = !over;
        over = true;
        notifyAll();
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

    /** Waits for the leg that takes the rest of a long request; null once the authorisation is over. */
    synchronized Leg awaitOpen() {
        Waits.whileTrue(this, () -> !over && (leg == null || !leg.isOpen()));
        return over ? null : leg;
    }

    /** More than is held goes to this leg, and no other can follow; false where it has ended meanwhile. */
    synchronized boolean commit(Leg to) {
        committed |= !over && leg == to;
        return !over && leg == to;
    }

    /** The leg has ended; how far a long request was passed on by then. */
    synchronized Upload legOver(Leg ended) {
        if (leg == ended) {
            leg = null;
        }
        return committed ? Upload.PASSED_ON : request.isLong() ? Upload.COMING : Upload.NONE;
    }

    /** Has those look again who wait for a leg. */
    synchronized void legOpened() {
        notifyAll();
    }

    /** The leg now out, or null; asked for once the authorisation is claimed, when none can follow. */
    synchronized Leg leg() {
        return leg;
    }

    /** What a failed answer says: that time ran out, or that the upstreams failed. */
    synchronized void lastLegTimedOut(boolean so) {
        timedOut = so;
    }

    synchronized int failureStatus() {
        return timedOut ? 504 : 502;
    }
}
