package dapplequay.net;

/**
 * Whether this process comes late to what there is to do, for want of processor time, in a start, or as there was no
 * room: a request that it reads may have lain there for as long, and its client may be gone. Read by other threads.
 */
final class Punctuality {
    /** The timekeeper comes every 10 ms; so long after its last turn, us, the process is late by at least 30 ms. */
    private static final long LATE_US = 40_000;
    /** What has piled up meanwhile is worked off within this, us; a start counts as late too. */
    private static final long COUNTS_US = 500_000;

    private volatile long lastTurnUs;
    private volatile long lateUntilUs;

    /** All times are microseconds of one clock. */
    Punctuality(long nowUs) {
        lastTurnUs = nowUs;
        lateUntilUs = nowUs + COUNTS_US;
    }

    /** A turn of the timekeeper's. */
    void turn(long nowUs) {
        waited(lastTurnUs, nowUs);
        lastTurnUs = nowUs;
    }

    /** Something that others waited for took from one moment to the other. */
    void waited(long sinceUs, long nowUs) {
        if (nowUs - sinceUs > LATE_US) {
            lateUntilUs = nowUs + COUNTS_US;
        }
    }

    boolean isLate(long nowUs) {
        return nowUs < lateUntilUs || nowUs - lastTurnUs > LATE_US;
    }
}
