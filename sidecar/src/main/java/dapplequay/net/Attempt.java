package dapplequay.net;

import dapplequay.facade.AttemptEnd;
import dapplequay.facade.Decision;
import dapplequay.time.DeadlineQueue;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One attempt to get a request served by an upstream. It ends once, with the first of these: the response, an abort
 * from outside or the failure of its connection.
 */
final class Attempt {
    final Exchange exchange;
    final Decision.Send decision;
    private final long decidedUs;
    private long startUs;
    private long begunUs = -1;           // -1: no byte has been sent
    /** When the attempt times out, microseconds. */
    private long expiresAtUs;
    /** True for a long request until its last piece is about to be written: until then it can't have run. */
    private boolean uploading;
    private boolean readyForBody;
    /** The connection that the attempt waits for has closed. */
    private boolean settleWaitCancelled;
    private long connectionIdleUs = -1;
    private AttemptEnd end;
    private boolean writing = true;      // until its end is known: an unknown state must not count as "never ran"
    private long headReceivedUs;         // 0: no response head yet
    private long writtenAtUs = -1;       // -1: the request has not been written completely
    private UpstreamConnection connection;
    private DeadlineQueue.Deadline timeout;

    /**
     * When the attempt was decided on, begun, written completely and ended, microseconds; -1 for what did not happen.
     */
    record Times(long decidedUs, long begunUs, long writtenUs, long endedUs) { }

    Attempt(Exchange exchange, Decision.Send decision, long startUs) {
        this.exchange = exchange;
        this.decision = decision;
        decidedUs = startUs;
        this.startUs = startUs;
        expiresAtUs = startUs + decision.timeoutUs();
        uploading = exchange.request.isStreamed();
    }

    /**
     * Returns when the attempt started, microseconds: the time of the decision, or the end of its wait for a connection
     * to settle.
     */
    synchronized long startUs() {
        return startUs;
    }

    /** Returns whether the first byte may be sent at {@code timeUs}, microseconds. */
    synchronized boolean mayBeginAt(long timeUs) {
        return timeUs < decision.beginByUs() && (uploading || timeUs < expiresAtUs);
    }

    /**
     * Waits until a used connection has settled, or until the attempt ends or {@link #cancelSettleWait} is called. This
     * delay is the sidecar's own: the attempt's duration is counted from its end, while its timeout stays as it was.
     */
    synchronized void awaitSettled(long settledAtUs, LongSupplier clock) {
        try {
            for (long now = clock.getAsLong(); now < settledAtUs && end == null && !settleWaitCancelled;
                    now = clock.getAsLong()) {
                MonitorWaits.atMost(this, (settledAtUs - now + 999) / 1000);
            }
        } catch (InterruptedIOException e) {
            // The caller checks again whether the attempt may begin and which connection there is.
        }
        settleWaitCancelled = false;
        startUs = clock.getAsLong();
    }

    /** Ends the wait in {@link #awaitSettled}, as the connection can't be used any more. */
    synchronized void cancelSettleWait() {
        settleWaitCancelled = true;
        notifyAll();
    }

    synchronized long expiresAtUs() {
        return expiresAtUs;
    }

    /**
     * Marks the attempt of a long request as ready for its client's thread: the connection has been sent the buffered
     * start of the request, or is left to that thread to connect.
     */
    void markReadyForBody() {
        synchronized (this) {
            readyForBody = true;
        }
        exchange.attemptReady();
    }

    synchronized boolean isReadyForBody() {
        return readyForBody;
    }

    synchronized UpstreamConnection connection() {
        return connection;
    }

    /**
     * Called before the last piece of a long request is written: from here on it may have run, and its timeout counts.
     * Returns false if the attempt has ended and the piece must not be written.
     *
     * @param newExpiryUs when the attempt times out, microseconds
     */
    synchronized boolean beginFinalWrite(DeadlineQueue.Deadline timer, long newExpiryUs) {
        if (end != null || !writing) {
            return false;
        }
        uploading = false;
        expiresAtUs = newExpiryUs;
        timeout = timer;
        return true;
    }

    /** Sets the timer that aborts the attempt; null while the body of a long request is still being received. */
    synchronized void setTimeout(DeadlineQueue.Deadline timer) {
        timeout = timer;
    }

    /** Sets the connection and how long it had been idle, microseconds; -1 for a new connection. */
    synchronized void setConnection(UpstreamConnection newConnection, long newIdleUs) {
        connection = newConnection;
        connectionIdleUs = newIdleUs;
    }

    /** Returns how long the connection had been idle before, microseconds; -1 for a new connection. */
    synchronized long connectionIdleUs() {
        return connectionIdleUs;
    }

    synchronized DeadlineQueue.Deadline timeout() {
        return timeout;
    }

    /** Called right before the first byte is written. */
    synchronized void begins(long nowUs) {
        begunUs = nowUs;
    }

    /** Returns the times of an attempt that ends now. */
    synchronized Times timesAtEnd(long nowUs) {
        return new Times(decidedUs, begunUs, writtenAtUs, nowUs);
    }

    /** Called when the operating system has accepted the last byte, or the write has failed before that. */
    synchronized void writeEnded(boolean whole, long nowUs) {
        writing = false;
        writtenAtUs = whole ? nowUs : -1;
        notifyAll();
    }

    /**
     * Waits until the write has ended, by itself or through an abort, and returns whether it was complete. The
     * operating system reports a reset to one call only: if that was the write, a read sees a normal end of stream.
     */
    synchronized boolean awaitWritten() {
        MonitorWaits.whileTrue(this, () -> writing);
        return isWritten();
    }

    /** Waits up to {@code maxWaitMs} milliseconds until the write has ended, and returns whether it was complete. */
    synchronized boolean awaitWritten(long maxWaitMs) {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMs);
        try {
            for (long leftNs = untilNs - System.nanoTime(); writing && leftNs > 0;
                    leftNs = untilNs - System.nanoTime()) {
                MonitorWaits.atMost(this, 1 + TimeUnit.NANOSECONDS.toMillis(leftNs));
            }
        } catch (InterruptedIOException e) {
            // The response must still reach its client: the connection counts as one that was not written.
        }
        return isWritten();
    }

    /**
     * Ends the attempt from outside by closing its connection, so that a late response is dropped. The connection's own
     * thread reports the attempt.
     */
    void abort(AttemptEnd reason) {
        UpstreamConnection toClose;
        synchronized (this) {
            if (end != null) {
                return;
            }
            end = reason;
            toClose = connection;
            notifyAll();
        }
        if (toClose != null) {
            toClose.close();
        }
    }

    /**
     * Returns how long the attempt has taken, microseconds. For a served attempt, only the time from the end of the
     * write to the response head counts: the time that this process needs to start an attempt, which is long in its
     * first second, says nothing about the host's speed.
     */
    synchronized long durationUs(AttemptEnd attemptEnd, long nowUs) {
        boolean served = attemptEnd == AttemptEnd.SERVED;
        return (served && headReceivedUs > 0 ? headReceivedUs : nowUs)
                - (served && isWritten() ? writtenAtUs : startUs);
    }

    /** Records when the response head arrived; how long the body takes depends on its length and on its reader. */
    synchronized void headReceived(long nowUs) {
        headReceivedUs = nowUs;
    }

    private boolean isWritten() {
        return writtenAtUs >= 0;
    }

    /** Returns whether this is a long request whose last piece has not been written. */
    synchronized boolean isUploading() {
        return uploading;
    }

    synchronized boolean isWriting() {
        return writing;
    }

    synchronized boolean hasEnded() {
        return end != null;
    }

    /** Ends the attempt; returns false, and changes nothing, if it had ended before. */
    synchronized boolean tryEnd(AttemptEnd attemptEnd) {
        if (end != null) {
            return false;
        }
        end = attemptEnd;
        return true;
    }

    /** Ends an attempt of which nothing was sent, for no fault of its host, and returns how it ended. */
    synchronized AttemptEnd endUnsent() {
        end = end == AttemptEnd.GIVEN_UP ? end : AttemptEnd.NOT_SENT;
        return end;
    }

    /**
     * Ends the attempt after its connection failed, and returns how it ended. A request that was not written completely
     * never ran. While another thread still writes it, that is not known yet, so this waits for the write to end:
     * taking the request for one that never ran could run it twice.
     */
    synchronized AttemptEnd endBroken() {
        if (uploading) {
            writing = false;        // the last piece was not written and never will be
        }
        MonitorWaits.whileTrue(this, () -> writing);
        if (end == null || (end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT) && !isWritten()) {
            end = isWritten() ? AttemptEnd.RESET : AttemptEnd.NOT_CONNECTED;
        }
        return end;
    }
}
