package dapplequay.net;

import dapplequay.facade.Decision;
import dapplequay.facade.AttemptEnd;
import dapplequay.time.Deadlines;
import java.io.InterruptedIOException;
import java.util.function.LongSupplier;

/** One attempt at an upstream. It ends once: the first counts of an answer, a cut and a break. */
final class Attempt {
    final Exchange exchange;
    final Decision.Send order;
    private long startUs;
    private long untilUs;
    /** Of a long request: its last piece has not been announced, so that it can't have run. */
    private boolean uploading;
    private boolean open;
    /** What it rested for is lost. */
    private boolean restEnded;
    private long idleUs = -1;
    private AttemptEnd end;
    private boolean writing = true;      // until told otherwise: what is not known is not "never ran"
    private long headUs;
    private long writtenAtUs = -1;       // -1: not written whole
    private UpstreamConnection connection;
    private Deadlines.Deadline deadline;

    Attempt(Exchange exchange, Decision.Send order, long startUs) {
        this.exchange = exchange;
        this.order = order;
        this.startUs = startUs;
        untilUs = startUs + order.timeoutUs();
        uploading = exchange.request.isStreamed();
    }

    /** When it was decided on, or, where it had to wait for a connection to have rested, when that was over. */
    synchronized long startUs() {
        return startUs;
    }

    /** Whether its first byte may go out at that time, microseconds. */
    synchronized boolean mayBeginAt(long timeUs) {
        return timeUs < order.beginByUs() && (uploading || timeUs < untilUs);
    }

    /**
     * Waits until then, microseconds, or until it is cut or {@link #stopResting} says that it waits in vain. The wait
     * is this side's own doing: the attempt's time is counted from its end, and what it may take at most is not.
     */
    synchronized void rest(long overUs, LongSupplier clock) {
        try {
            for (long now = clock.getAsLong(); now < overUs && end == null && !restEnded; now = clock.getAsLong()) {
                Waits.atMost(this, (overUs - now + 999) / 1000);
            }
        } catch (InterruptedIOException e) {
            // It looks anew what there is for it.
        }
        restEnded = false;
        startUs = clock.getAsLong();
    }

    synchronized void stopResting() {
        restEnded = true;
        notifyAll();
    }

    synchronized long untilUs() {
        return untilUs;
    }

    /** A connection has taken what is held of a long request, or is for its client's thread to begin. */
    void takenUp() {
        synchronized (this) {
            open = true;
        }
        exchange.attemptOpened();
    }

    synchronized boolean isOpen() {
        return open;
    }

    synchronized UpstreamConnection connection() {
        return connection;
    }

    /**
     * The last piece of a long request is about to be written: from here on it may have run. False where the attempt
     * has ended, and the piece must not go out. Its time begins now.
     */
    synchronized boolean lastPiece(Deadlines.Deadline itsDeadline, long until) {
        if (end != null || !writing) {
            return false;
        }
        uploading = false;
        untilUs = until;
        deadline = itsDeadline;
        return true;
    }

    /** The deadline that cuts it; null while a long request is still coming. */
    synchronized void endsWith(Deadlines.Deadline itsDeadline) {
        deadline = itsDeadline;
    }

    /** Its connection from now on, which was idle for so long before; -1: it is new. */
    synchronized void on(UpstreamConnection itsConnection, long itsIdleUs) {
        connection = itsConnection;
        idleUs = itsIdleUs;
    }

    /** -1: the connection is new. */
    synchronized long idleUs() {
        return idleUs;
    }

    synchronized Deadlines.Deadline deadline() {
        return deadline;
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
        Waits.whileTrue(this, () -> writing);
        return isWritten();
    }

    /**
     * Ends the wait from outside by closing the connection, so that a late answer reaches nobody. The
     * connection's own thread reports the attempt.
     */
    void cut(AttemptEnd why) {
        UpstreamConnection toClose;
        synchronized (this) {
            if (end != null) {
                return;
            }
            end = why;
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
    synchronized long tookUs(AttemptEnd how, long nowUs) {
        boolean served = how == AttemptEnd.SERVED;
        return (served && headUs > 0 ? headUs : nowUs) - (served && isWritten() ? writtenAtUs : startUs);
    }

    /** The head of its answer is here: how long the body takes is its length's doing, and its readers'. */
    synchronized void headCame(long nowUs) {
        headUs = nowUs;
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

    synchronized boolean isCut() {
        return end != null;
    }

    /** The whole answer is here: false if the attempt was cut before. */
    synchronized boolean answered(AttemptEnd how) {
        if (end != null) {
            return false;
        }
        end = how;
        return true;
    }

    /** How it ended, as nothing of it went out, for no fault of its host's. */
    synchronized AttemptEnd neverSent() {
        end = end == AttemptEnd.GIVEN_UP ? end : AttemptEnd.NOT_SENT;
        return end;
    }

    /**
     * How the attempt ended, its connection being broken. What was not written whole never ran; while another
     * thread still writes it, that is not known yet, and taking it for not run could run it twice.
     */
    synchronized AttemptEnd broken() {
        if (uploading) {
            writing = false;        // the last piece was not written, and never will be
        }
        Waits.whileTrue(this, () -> writing);
        if (end == null || (end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT) && !isWritten()) {
            end = isWritten() ? AttemptEnd.RESET : AttemptEnd.NOT_CONNECTED;
        }
        return end;
    }
}
