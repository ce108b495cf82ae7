package dapplequay.net;

/**
 * Whether this process comes late to what there is to do, for want of processor time, in a start, or as there was no
 * room: a request that it reads may have lain there for as long, and its client may be gone. Read by other threads.
 */
final class LagMonitor {
    /** The timekeeper comes every 10 ms; so long after its last turn, us, the process is late by at least 30 ms. */
    private static final long LATE_AFTER_US = 40_000;
    /** What has piled up meanwhile is worked off within this, us; a start counts as late too. */
    private static final long BACKLOG_US = 500_000;

    private volatile long lastWakeUpUs;
    private volatile long lateUntilUs;

    /** All times are microseconds of one clock. */
    LagMonitor(long nowUs) {
        lastWakeUpUs = nowUs;
        lateUntilUs = nowUs + BACKLOG_US;
    }

    /** A turn of the timekeeper's. */
    void recordWakeUp(long nowUs) {
        recordWait(lastWakeUpUs, nowUs);
        lastWakeUpUs = nowUs;
    }

    /** Something that others waited for took from one moment to the other. */
    void recordWait(long sinceUs, long nowUs) {
        if (nowUs - sinceUs > LATE_AFTER_US) {
            lateUntilUs = nowUs + BACKLOG_US;
        }
    }

    boolean isLate(long nowUs) {
        return nowUs < lateUntilUs || nowUs - lastWakeUpUs > LATE_AFTER_US;
    }
}
