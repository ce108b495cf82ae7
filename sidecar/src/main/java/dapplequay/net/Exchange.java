package dapplequay.net;

import dapplequay.facade.Upload;
import dapplequay.management.Counts;

/** One request of the client's, until its one answer. Whoever claims it first answers it, or drops it. */
class Exchange {
    final long id;
    final ClientConnection from;
    final ClientRequest request;
    private final Counts counts;
    private boolean over;
    private boolean timedOut;
    private Attempt attempt;
    private boolean committed;
    private boolean taken;
    private volatile long dueUs;

    /** Counts as taken from here on; a long one, once its last byte has come. */
    Exchange(long id, ClientConnection from, ClientRequest request, Counts counts) {
        this.id = id;
        this.from = from;
        this.request = request;
        this.counts = counts;
        if (!request.isStreamed()) {
            taken();
        }
    }

    /** Has its client looked for where that may have left unseen: asked right before an attempt's first byte. */
    void lookForClient() {
        from.checkClientPresent(this);
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

    /** The attempt that is out from now on; false if the client has left meanwhile, and nothing may go out. */
    synchronized boolean attach(Attempt next) {
        if (over) {
            return false;
        }
        attempt = next;
        return true;
    }

    /** Waits for the attempt that takes the rest of a long request; null once the exchange is over. */
    synchronized Attempt awaitOpen() {
        Waits.whileTrue(this, () -> !over && (attempt == null || !attempt.isOpen()));
        return over ? null : attempt;
    }

    /** More than is held goes to this attempt, and no other can follow; false where it has ended meanwhile. */
    synchronized boolean commit(Attempt to) {
        committed |= !over && attempt == to;
        return !over && attempt == to;
    }

    /** The attempt has ended; how far a long request was passed on by then. */
    synchronized Upload attemptOver(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
        }
        return committed ? Upload.PASSED_ON : request.isStreamed() ? Upload.COMING : Upload.NONE;
    }

    /** Has those look again who wait for an attempt. */
    synchronized void attemptOpened() {
        notifyAll();
    }

    /** The attempt now out, or null; asked for once the exchange is claimed, when none can follow. */
    synchronized Attempt attempt() {
        return attempt;
    }

    /** What a failed answer says: that time ran out, or that the upstreams failed. */
    synchronized void lastAttemptTimedOut(boolean so) {
        timedOut = so;
    }

    synchronized int failureStatus() {
        return timedOut ? 504 : 502;
    }
}
