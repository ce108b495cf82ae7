package dapplequay.net;

/**
 * Tells whether this process lags behind its work: for lack of processor time, during startup, or because it had no
 * room for connections. A request that it reads may then have waited just as long, and its client may have left. Other
 * threads may read it.
 */
final class LagMonitor {
    /** The timer thread wakes up every 10 ms; this long after its last wake-up, the process is at least 30 ms late. */
    private static final long LATE_AFTER_US = 40_000;
    /** Time after a delay, or after startup, in which the backlog is worked off; the process counts as late in it. */
    private static final long BACKLOG_US = 500_000;

    private volatile long lastWakeUpUs;
    private volatile long lateUntilUs;

    /** All times are microseconds of the same clock. */
    LagMonitor(long nowUs) {
        lastWakeUpUs = nowUs;
        lateUntilUs = nowUs + BACKLOG_US;
    }

    /** Records a wake-up of the timer thread. */
    void recordWakeUp(long nowUs) {
        recordWait(lastWakeUpUs, nowUs);
        lastWakeUpUs = nowUs;
    }

    /** Records that work was blocked from {@code sinceUs} to {@code nowUs}. */
    void recordWait(long sinceUs, long nowUs) {
        if (nowUs - sinceUs > LATE_AFTER_US) {
            lateUntilUs = nowUs + BACKLOG_US;
        }
    }

    boolean isLate(long nowUs) {
        return nowUs < lateUntilUs || nowUs - lastWakeUpUs > LATE_AFTER_US;
    }
}
