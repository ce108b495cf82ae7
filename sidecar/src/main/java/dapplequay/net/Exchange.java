package dapplequay.net;

import dapplequay.facade.AttemptEnd;
import dapplequay.facade.RequestBodyState;
import dapplequay.management.RequestCounts;

/** One client request until its only response. The first thread to claim it sends the response or drops the request. */
class Exchange {
    final long id;
    final ClientConnection client;
    final ClientRequest request;
    final RequestTimeline timeline;
    private final RequestCounts counts;
    private boolean claimed;
    private boolean timedOut;
    private Attempt attempt;
    private boolean committed;
    private boolean received;
    private volatile boolean hasBegun;
    private volatile Runnable onEnd = () -> { };
    private volatile long deadlineUs;

    /** Counts the request as received now, or, for a long one, once its last byte has arrived. */
    Exchange(long id, ClientConnection client, ClientRequest request, RequestCounts counts, RequestTimeline timeline) {
        this.timeline = timeline;
        this.id = id;
        this.client = client;
        this.request = request;
        this.counts = counts;
        if (!request.isStreamed()) {
            markReceived();
        }
    }

    /** Checks whether the client is still connected; called right before the first byte of an attempt. */
    void checkClientPresence() {
        client.checkClientPresent(this);
    }

    /** Called before the last check of whether an attempt may be written. */
    void attemptBegins() {
        hasBegun = true;
    }

    /** Returns whether any attempt may have begun. */
    boolean hasBegun() {
        return hasBegun;
    }

    /** Counts the request as received completely. */
    synchronized void markReceived() {
        if (!received) {
            received = true;
            counts.accepted();
        }
    }

    /** Sets the request's deadline, microseconds; set again when a long request has been received completely. */
    void setDeadline(long newDeadlineUs) {
        deadlineUs = newDeadlineUs;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    /** Sets an action for {@link #recordEnd}. */
    void onEnd(Runnable action) {
        onEnd = action;
    }

    /** Counts the outcome; called once, by the thread that claimed the exchange. */
    void recordEnd(RequestCounts.End end) {
        markReceived();
        counts.ended(request.className(), end);
        onEnd.run();
    }

    /** Returns true for the first caller only, which must send the response. */
    synchronized boolean claim() {
        boolean first = !claimed;
        claimed = true;
        notifyAll();
        return first;
    }

    /** As {@link #claim}, for a long response, which the client's connection counts as a transfer from then on. */
    synchronized boolean claimForRelay() {
        boolean first = claim();
        if (first) {
            client.relayBegins();
        }
        return first;
    }

    synchronized boolean isClaimed() {
        return claimed;
    }

    /** Sets the attempt in progress; returns false if the exchange is claimed and nothing may be sent. */
    synchronized boolean attach(Attempt next) {
        if (claimed) {
            return false;
        }
        attempt = next;
        return true;
    }

    /** Waits for an attempt that is ready for the rest of a long request; null once the exchange is claimed. */
    synchronized Attempt awaitReadyAttempt() {
        MonitorWaits.whileTrue(this, () -> !claimed && (attempt == null || !attempt.isReadyForBody()));
        return claimed ? null : attempt;
    }

    /**
     * Called before more of a long request is sent than is kept for another attempt: none can follow. Returns false if
     * this attempt has ended.
     */
    synchronized boolean commit(Attempt to) {
        committed |= !claimed && attempt == to;
        return !claimed && attempt == to;
    }

    /** Called when the attempt has ended; returns how far a long request had been passed on. */
    synchronized RequestBodyState detach(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
        }
        return committed ? RequestBodyState.STREAMING_UNREPLAYABLE : request.isStreamed()
                ? RequestBodyState.STREAMING_REPLAYABLE : RequestBodyState.BUFFERED;
    }

    /** Wakes the threads in {@link #awaitReadyAttempt}. */
    synchronized void attemptReady() {
        notifyAll();
    }

    /** Returns the attempt in progress, or null; called once the exchange is claimed and none can follow. */
    synchronized Attempt attempt() {
        return attempt;
    }

    /** Records how the last attempt ended, which selects the status of a failure. */
    synchronized void lastAttemptEnded(AttemptEnd end) {
        timedOut = end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT;
    }

    /** Returns the status of a failure: timeout (504) or upstream failure (502). */
    synchronized int failureStatus() {
        return timedOut ? 504 : 502;
    }
}
