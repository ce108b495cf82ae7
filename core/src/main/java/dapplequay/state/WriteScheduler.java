package dapplequay.state;

/**
 * When an instance's list is written: at most once in a stated time, the latest always in the end, and after a
 * failure not sooner than after a pause, told at most once a minute. Pure; times in microseconds.
 */
public final class WriteScheduler {
    private static final long LOG_INTERVAL_US = 60_000_000;

    private final long minIntervalUs;
    private final long retryDelayUs;
    private boolean hasChanges;
    private long earliestWriteUs = Long.MIN_VALUE;
    private long lastLoggedUs = Long.MIN_VALUE;

    /** {@code minIntervalUs}: least time between two writes; {@code retryDelayUs}: after one that failed. */
    public WriteScheduler(long minIntervalUs, long retryDelayUs) {
        if (minIntervalUs < 0 || retryDelayUs < minIntervalUs) {
            throw new IllegalArgumentException("pace is out of range: " + minIntervalUs + ", " + retryDelayUs);
        }
        this.minIntervalUs = minIntervalUs;
        this.retryDelayUs = retryDelayUs;
    }

    /** The list is another than what was written. */
    public void listChanged() {
        hasChanges = true;
    }

    /** When to write next; Long.MAX_VALUE: there is nothing to write. */
    public long nextWriteUs() {
        return hasChanges ? earliestWriteUs : Long.MAX_VALUE;
    }

    /** A write begins with the list of this moment. */
    public void writeStarted(long nowUs) {
        hasChanges = false;
        earliestWriteUs = nowUs + minIntervalUs;
    }

    /** The write failed. Returns whether that is to be told now. */
    public boolean writeFailed(long nowUs) {
        hasChanges = true;
        earliestWriteUs = nowUs + retryDelayUs;
        if (lastLoggedUs != Long.MIN_VALUE && nowUs - lastLoggedUs < LOG_INTERVAL_US) {
            return false;
        }
        lastLoggedUs = nowUs;
        return true;
    }
}
