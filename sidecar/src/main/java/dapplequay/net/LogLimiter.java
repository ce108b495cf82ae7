package dapplequay.net;

import java.util.function.LongSupplier;

/** Bounds the rate of one kind of log lines, and counts those that it leaves out. Thread-safe. */
final class LogLimiter {
    private final LongSupplier clock;
    private final long intervalUs;
    private final int burst;
    private long windowStartUs;
    private int linesInWindow;
    private long omitted;

    /**
     * Permits {@code burst} lines in each interval.
     *
     * @param clock      in microseconds
     * @param intervalUs the interval, microseconds
     */
    LogLimiter(LongSupplier clock, long intervalUs, int burst) {
        this.clock = clock;
        this.intervalUs = intervalUs;
        this.burst = burst;
    }

    /** Returns what a line says at its end of the lines that were left out before it; empty for none. */
    static String omittedNote(long omitted) {
        return omitted > 0 ? "; " + omitted + " such lines left out" : "";
    }

    /** Returns how many lines were left out before this one, which may be written; -1 if it is to be left out, too. */
    synchronized long tryAcquire() {
        long nowUs = clock.getAsLong();
        if (linesInWindow == 0 || nowUs - windowStartUs >= intervalUs || nowUs < windowStartUs) {
            windowStartUs = nowUs;
            linesInWindow = 0;
        }
        if (linesInWindow >= burst) {
            omitted++;
            return -1;
        }
        linesInWindow++;
        long before = omitted;
        omitted = 0;
        return before;
    }
}
