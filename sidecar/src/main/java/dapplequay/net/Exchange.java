package dapplequay.net;

import dapplequay.facade.Upload;
import dapplequay.management.Counts;

/** One request of the client's, until its one answer. Whoever claims it first answers it, or drops it. */
class Exchange {
    final long id;
    final ClientConnection client;
    final ClientRequest request;
    private final Counts counts;
    private boolean claimed;
    private boolean timedOut;
    private Attempt attempt;
    private boolean committed;
    private boolean received;
    private volatile long deadlineUs;

    /** Counts as taken from here on; a long one, once its last byte has come. */
    Exchange(long id, ClientConnection client, ClientRequest request, Counts counts) {
        this.id = id;
        this.client = client;
        this.request = request;
        this.counts = counts;
        if (!request.isLong()) {
            markReceived();
        }
    }

    /** Has its client looked for where that may have left unseen: asked right before an attempt's first byte. */
    void checkClientPresence() {
        client.lookFor(this);
    }

    /** It is here whole. */
    synchronized void markReceived() {
        if (!received) {
            received = true;
            counts.taken();
        }
    }

    /** When its time ends, us; told again where a long one has become whole. */
    void setDeadline(long newDeadlineUs) {
        deadlineUs = newDeadlineUs;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    /** Only who claimed it calls this, once. */
    void recordEnd(Counts.End end) {
        markReceived();
        counts.ended(request.className(), end);
    }

    /** True for one caller alone: that one answers. */
    synchronized boolean claim() {
        boolean first = !claimed;
        claimed = true;
        notifyAll();
        return first;
    }

    synchronized boolean isClaimed() {
        return claimed;
    }

    /** The attempt that is out from now on; false if the client has left meanwhile, and nothing may go out. */
    synchronized boolean attach(Attempt next) {
        if (claimed) {
            return false;
        }
        attempt = next;
        return true;
    }

    /** Waits for the attempt that takes the rest of a long request; null once the exchange is over. */
    synchronized Attempt awaitReadyAttempt() {
        MonitorWaits.whileTrue(this, () -> !claimed && (attempt == null || !attempt.isReadyForBody()));
        return claimed ? null : attempt;
    }

    /** More than is held goes to this attempt, and no other can follow; false where it has ended meanwhile. */
    synchronized boolean commit(Attempt to) {
        committed |= !claimed && attempt == to;
        return !claimed && attempt == to;
    }

    /** The attempt has ended; how far a long request was passed on by then. */
    synchronized Upload detach(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
        }
        return committed ? Upload.PASSED_ON : request.isLong() ? Upload.COMING : Upload.NONE;
    }

    /** Has those look again who wait for an attempt. */
    synchronized void attemptReady() {
        notifyAll();
    }

    /** The attempt now out, or null; asked for once the exchange is claimed, when none can follow. */
    synchronized Attempt attempt() {
        return attempt;
    }

    /** What a failed answer says: that time ran out, or that the upstreams failed. */
    synchronized void lastAttemptTimedOut(boolean isTimeout) {
        timedOut = isTimeout;
    }

    synchronized int failureStatus() {
        return timedOut ? 504 : 502;
    }
}
