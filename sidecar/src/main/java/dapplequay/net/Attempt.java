package dapplequay.net;

import dapplequay.facade.Decision;
import dapplequay.facade.AttemptEnd;
import dapplequay.time.Deadlines;
import java.io.InterruptedIOException;
import java.util.function.LongSupplier;

/** One attempt at an upstream. It ends once: the first counts of an answer, a cut and a break. */
final class Attempt {
    final Exchange exchange;
    final Decision.Send decision;
    private long startUs;
    private long expiresAtUs;
    /** Of a long request: its last piece has not been announced, so that it can't have run. */
    private boolean uploading;
    private boolean readyForBody;
    /** What it rested for is lost. */
    private boolean settleWaitCancelled;
    private long connectionIdleUs = -1;
    private AttemptEnd end;
    private boolean writing = true;      // until told otherwise: what is not known is not "never ran"
    private long headReceivedUs;
    private long writtenAtUs = -1;       // -1: not written whole
    private UpstreamConnection connection;
    private Deadlines.Deadline timeout;

    Attempt(Exchange exchange, Decision.Send decision, long startUs) {
        this.exchange = exchange;
        this.decision = decision;
        this.startUs = startUs;
        expiresAtUs = startUs + decision.timeoutUs();
        uploading = exchange.request.isLong();
    }

    /** When it was decided on, or, where it had to wait for a connection to have rested, when that was over. */
    synchronized long startUs() {
        return startUs;
    }

    /** Whether its first byte may go out at that time, microseconds. */
    synchronized boolean mayBeginAt(long timeUs) {
        return timeUs < decision.beginByUs() && (uploading || timeUs < expiresAtUs);
    }

    /**
     * Waits until then, microseconds, or until it is cut or {@link #stopResting} says that it waits in vain. The wait
     * is this side's own doing: the attempt's time is counted from its end, and what it may take at most is not.
     */
    synchronized void awaitSettled(long settledAtUs, LongSupplier clock) {
        try {
            for (long now = clock.getAsLong(); now < settledAtUs && end == null && !settleWaitCancelled; now = clock.getAsLong()) {
                MonitorWaits.atMost(this, (settledAtUs - now + 999) / 1000);
            }
        } catch (InterruptedIOException e) {
            // It looks anew what there is for it.
        }
        settleWaitCancelled = false;
        startUs = clock.getAsLong();
    }

    synchronized void cancelSettleWait() {
        settleWaitCancelled = true;
        notifyAll();
    }

    synchronized long expiresAtUs() {
        return expiresAtUs;
    }

    /** A connection has taken what is held of a long request, or is for its client's thread to begin. */
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
     * The last piece of a long request is about to be written: from here on it may have run. False where the attempt
     * has ended, and the piece must not go out. Its time begins now.
     */
    synchronized boolean beginFinalWrite(Deadlines.Deadline timer, long newExpiryUs) {
        if (end != null || !writing) {
            return false;
        }
        uploading = false;
        expiresAtUs = newExpiryUs;
        timeout = timer;
        return true;
    }

    /** The deadline that cuts it; null while a long request is still coming. */
    synchronized void setTimeout(Deadlines.Deadline timer) {
        timeout = timer;
    }

    /** Its connection from now on, which was idle for so long before; -1: it is new. */
    synchronized void setConnection(UpstreamConnection newConnection, long newIdleUs) {
        connection = newConnection;
        connectionIdleUs = newIdleUs;
    }

    /** -1: the connection is new. */
    synchronized long connectionIdleUs() {
        return connectionIdleUs;
    }

    synchronized Deadlines.Deadline timeout() {
        return timeout;
    }

    /** The last byte is with the system, or the write has failed before it. */
    synchronized void writeEnded(boolean whole, long nowUs) {
        writing = false;
        writtenAtUs = whole ? nowUs : -1;
        notifyAll();
    }

    /**
     * Waits until its write has ended, by itself or by a cut; whether it was whole. Of a reset, the system tells one
     * call: where that was the write, a read finds a plain end.
     */
    synchronized boolean awaitWritten() {
        MonitorWaits.whileTrue(this, () -> writing);
        return isWritten();
    }

    /**
     * Ends the wait from outside by closing the connection, so that a late answer reaches nobody. The
     * connection's own thread reports the attempt.
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
     * How long the attempt has taken, microseconds. Of an answer only what came after the write: what this process
     * needs to begin an attempt, much in its first second, says nothing of the host's pace.
     */
    synchronized long durationUs(AttemptEnd attemptEnd, long nowUs) {
        boolean served = attemptEnd == AttemptEnd.SERVED;
        return (served && headReceivedUs > 0 ? headReceivedUs : nowUs) - (served && isWritten() ? writtenAtUs : startUs);
    }

    /** The head of its answer is here: how long the body takes is its length's doing, and its readers'. */
    synchronized void headReceived(long nowUs) {
        headReceivedUs = nowUs;
    }

    private boolean isWritten() {
        return writtenAtUs >= 0;
    }

    /** Whether a long request is not whole at the host yet. */
    synchronized boolean isUploading() {
        return uploading;
    }

    synchronized boolean isWriting() {
        return writing;
    }

    synchronized boolean hasEnded() {
        return end != null;
    }

    /** The whole answer is here: false if the attempt was cut before. */
    synchronized boolean tryEnd(AttemptEnd attemptEnd) {
        if (end != null) {
            return false;
        }
        end = attemptEnd;
        return true;
    }

    /** How it ended, as nothing of it went out, for no fault of its host's. */
    synchronized AttemptEnd endUnsent() {
        end = end == AttemptEnd.GIVEN_UP ? end : AttemptEnd.NOT_SENT;
        return end;
    }

    /**
     * How the attempt ended, its connection being broken. What was not written whole never ran; while another
     * thread still writes it, that is not known yet, and taking it for not run could run it twice.
     */
    synchronized AttemptEnd endBroken() {
        if (uploading) {
            writing = false;        // the last piece was not written, and never will be
        }
        MonitorWaits.whileTrue(this, () -> writing);
        if (end == null || (end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT) && !isWritten()) {
            end = isWritten() ? AttemptEnd.RESET : AttemptEnd.NOT_CONNECTED;
        }
        return end;
    }
}
