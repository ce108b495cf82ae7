package dapplequay.state;

/**
 * When an instance's list is written: at most once in a stated time, the latest always in the end, and after a
 * failure not sooner than after a pause, told at most once a minute. Pure; times in microseconds.
 */
public final class WritePace {
    private static final long TELL_EVERY_US = 60_000_000;

    private final long everyUs;
    private final long afterFailureUs;
    private boolean dirty;
    private long notBeforeUs = Long.MIN_VALUE;
    private long toldUs = Long.MIN_VALUE;

    /** {@code everyUs}: least time between two writes; {@code afterFailureUs}: after one that failed. */
    public WritePace(long everyUs, long afterFailureUs) {
        if (everyUs < 0 || afterFailureUs < everyUs) {
            throw new IllegalArgumentException("pace is out of range: " + everyUs + ", " + afterFailureUs);
        }
        this.everyUs = everyUs;
        this.afterFailureUs = afterFailureUs;
    }

    /** The list is another than what was written. */
    public void changed() {
        dirty = true;
    }

    /** When to write next; Long.MAX_VALUE: there is nothing to write. */
    public long dueUs() {
        return dirty ? notBeforeUs : Long.MAX_VALUE;
    }

    /** A write begins with the list of this moment. */
    public void begun(long nowUs) {
        dirty = false;
        notBeforeUs = nowUs + everyUs;
    }

    /** The write failed. Returns whether that is to be told now. */
    public boolean failed(long nowUs) {
        dirty = true;
        notBeforeUs = nowUs + afterFailureUs;
        if (toldUs != Long.MIN_VALUE && nowUs - toldUs < TELL_EVERY_US) {
            return false;
        }
        toldUs = nowUs;
        return true;
    }
}
