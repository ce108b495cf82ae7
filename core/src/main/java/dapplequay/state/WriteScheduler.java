package dapplequay.state;

/**
 * Decides when the server list of an instance is written to disk: at most once per interval, the latest list always in
 * the end, and after a failed write only after a delay. Failures are logged at most once a minute. Does no I/O and
 * reads no clock; times are microseconds.
 */
public final class WriteScheduler {
    private static final long LOG_INTERVAL_US = 60_000_000;

    private final long minIntervalUs;
    private final long retryDelayUs;
    private boolean hasChanges;
    private long earliestWriteUs = Long.MIN_VALUE;
    private long lastLoggedUs = Long.MIN_VALUE;

    /**
     * Creates a scheduler.
     *
     * @param minIntervalUs minimum time between the starts of two writes, 0 or more
     * @param retryDelayUs  time from a failed write to the next one, not less than {@code minIntervalUs}
     */
    public WriteScheduler(long minIntervalUs, long retryDelayUs) {
        if (minIntervalUs < 0 || retryDelayUs < minIntervalUs) {
            throw new IllegalArgumentException("intervals are out of range: " + minIntervalUs + ", " + retryDelayUs);
        }
        this.minIntervalUs = minIntervalUs;
        this.retryDelayUs = retryDelayUs;
    }

    /** Records that the list differs from the one that was written last. */
    public void listChanged() {
        hasChanges = true;
    }

    /** Returns when to write next; Long.MAX_VALUE if there is nothing to write. */
    public long nextWriteUs() {
        return hasChanges ? earliestWriteUs : Long.MAX_VALUE;
    }

    /** Records that a write of the current list begins. */
    public void writeStarted(long nowUs) {
        hasChanges = false;
        earliestWriteUs = nowUs + minIntervalUs;
    }

    /** Records that the write failed; returns whether to log it. */
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
