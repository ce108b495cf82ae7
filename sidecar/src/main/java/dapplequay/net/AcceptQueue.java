package dapplequay.net;

/**
 * Tells since when the next connection may have waited in the system's accept queue, which shows no such time. It may
 * have waited since accepting was last held up, unless the queue has been empty since. Times are in microseconds. For
 * the accepting thread.
 */
final class AcceptQueue {
    /** A call that took this long had to wait for a connection, so that the queue was empty. */
    private static final long MIN_WAIT_US = 1_000;
    /** More connections than the system queues. */
    private static final int MAX_QUEUED = 1_024;
    private static final long NOT_HELD_UP = -1;

    private long heldUpSinceUs = NOT_HELD_UP;
    private int acceptedSince;

    /** Called while no connection is accepted. */
    void heldUp(boolean isEmpty, long nowUs) {
        if (isEmpty || heldUpSinceUs == NOT_HELD_UP) {
            heldUpSinceUs = nowUs;
        }
        acceptedSince = 0;
    }

    /** Returns for how long the connection at the front may have waited. */
    long longestWaitUs(long nowUs) {
        return heldUpSinceUs == NOT_HELD_UP ? 0 : nowUs - heldUpSinceUs;
    }

    /** Returns when a connection may have arrived at the earliest that a call of {@code tookUs} has accepted. */
    long accepted(long tookUs, long nowUs) {
        acceptedSince++;
        if (tookUs >= MIN_WAIT_US || acceptedSince > MAX_QUEUED) {
            heldUpSinceUs = NOT_HELD_UP;
        }
        return nowUs - longestWaitUs(nowUs);
    }
}
