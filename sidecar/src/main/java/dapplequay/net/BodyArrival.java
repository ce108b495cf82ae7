package dapplequay.net;

import dapplequay.http.Body;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Estimates when a client can have written the last byte of a long request at the earliest. Its time counts from then,
 * whether or not this process has read the byte: while the upstream takes nothing, or the processor is short, the last
 * bytes lie in the sockets' buffers, on the client's side of the connection too, where they can't be seen. What can be
 * seen is that the body was not complete at some moment, and its time ends no later than a budget after that. Times are
 * in microseconds. One thread reads the body; any may call {@link #dueUs}.
 */
final class BodyArrival {
    /** A read that took longer than this, with nothing to read before, has waited for its sender. */
    static final long MIN_WAIT_US = 2_000;
    /**
     * With fewer unread bytes than this, since the receive buffer was last empty, the receive window has been open, so
     * that nothing is held back at the client's side. Once it was closed it may stay so until the buffer is empty.
     */
    static final int OPEN_WINDOW_BYTES = 32 * 1024;
    /** More than the sockets' buffers of both sides hold. */
    static final int MAX_SOCKET_BYTES = 12 << 20;

    private final LongSupplier clock;
    private final long budgetUs;
    private final IntSupplier unreadBytes;
    private volatile long incompleteAtUs;
    /** How much was known to follow when the body was last looked at, bytes. */
    private volatile long remainingBytes;
    private boolean windowMayBeClosed;
    private boolean wasDrained;
    private long readStartUs;

    /**
     * Begins with a body that was not complete at a time.
     *
     * @param budgetUs    the request's time from its end on
     * @param unreadBytes returns how many bytes lie in the socket's receive buffer; called by any thread
     */
    BodyArrival(LongSupplier clock, long budgetUs, long incompleteAtUs, IntSupplier unreadBytes) {
        this.unreadBytes = unreadBytes;
        this.clock = clock;
        this.budgetUs = budgetUs;
        this.incompleteAtUs = incompleteAtUs;
    }

    /**
     * Returns by when the request has to be answered, if its last byte was written as early as is possible. While
     * nothing is read, as the upstream takes nothing, the body stays incomplete if more has not even arrived than
     * sockets hold.
     */
    long dueUs() {
        boolean isIncomplete = remainingBytes - unreadBytes.getAsInt() > MAX_SOCKET_BYTES;
        return (isIncomplete ? clock.getAsLong() : incompleteAtUs) + budgetUs;
    }

    /**
     * Records what is known of the body while none of it is read.
     *
     * @param unread          bytes in the socket's receive buffer
     * @param isBufferDrained whether all that was read of the socket has been taken by the body
     */
    void observe(Body body, int unread, boolean isBufferDrained) {
        windowMayBeClosed = unread >= OPEN_WINDOW_BYTES || windowMayBeClosed && unread > 0;
        boolean isVisible = !windowMayBeClosed && isBufferDrained;
        boolean mayBeComplete = unread >= body.knownRemaining() && (body.length() >= 0 || unread > 0);
        remainingBytes = body.knownRemaining();
        if (isVisible && !mayBeComplete || remainingBytes > MAX_SOCKET_BYTES) {
            incompleteAtUs = clock.getAsLong();
        }
    }

    /** Called before a read of the body, with the bytes in the socket's receive buffer. */
    void readBegins(int unread) {
        wasDrained = unread == 0;
        readStartUs = clock.getAsLong();
    }

    /** Called after a read: one that had to wait shows that the body was not complete until then. */
    void readEnded() {
        long nowUs = clock.getAsLong();
        if (wasDrained && nowUs - readStartUs >= MIN_WAIT_US) {
            incompleteAtUs = nowUs;
        }
    }
}
