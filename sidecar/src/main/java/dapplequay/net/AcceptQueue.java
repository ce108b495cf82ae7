package dapplequay.net;

/**
 * Tells since when connections wait in the accept queue, which does not tell. One may have waited since accepting
 * was last held up, unless the queue has been empty since. Where more connections come than are accepted, that is long
 * ago, and says nothing of the next one: it counts as waiting since the one before was accepted. Times are in
 * microseconds. For the accepting thread.
 */
final class AcceptQueue {
    /** A call that took this long had to wait for a connection, so that the queue was empty. */
    private static final long MIN_WAIT_US = 1_000;
    /** More connections than the system queues. */
    private static final int MAX_QUEUED = 1_024;
    private static final long NOT_HELD_UP = -1;

    private long heldUpSinceUs = NOT_HELD_UP;
    /** Since when the next connection counts as waiting. */
    private long nextWaitsSinceUs = NOT_HELD_UP;
    private int acceptedSince;

    /** Called while no connection is accepted. */
    void heldUp(boolean isEmpty, long nowUs) {
        if (isEmpty || heldUpSinceUs == NOT_HELD_UP) {
            heldUpSinceUs = nowUs;
        }
        if (isEmpty || nextWaitsSinceUs == NOT_HELD_UP) {
            nextWaitsSinceUs = nowUs;
        }
        acceptedSince = 0;
    }

    /** Returns for how long the connection at the front may have waited. */
    long longestWaitUs(long nowUs) {
        return heldUpSinceUs == NOT_HELD_UP ? 0 : nowUs - heldUpSinceUs;
    }

    /** Returns from when on a connection counts as made that a call of {@code tookUs} has accepted. */
    long accepted(long tookUs, long nowUs) {
        acceptedSince++;
        if (tookUs >= MIN_WAIT_US || acceptedSince > MAX_QUEUED) {
            heldUpSinceUs = NOT_HELD_UP;
        }
        long madeUs = nextWaitsSinceUs == NOT_HELD_UP || tookUs >= MIN_WAIT_US ? nowUs : nextWaitsSinceUs;
        nextWaitsSinceUs = NOT_HELD_UP;
        return madeUs;
    }
}
