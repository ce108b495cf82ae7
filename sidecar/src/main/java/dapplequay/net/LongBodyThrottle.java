package dapplequay.net;

/**
 * Decides how long the transfers of long bodies pause between two pieces, so that short requests get the processor:
 * only the first bytes of a long body are timed. A process that is limited to a share of a core is stopped as a whole
 * when the share is used up; each stop costs time for each of its threads, which is charged to the same share. Once
 * behind, it stays behind, so long bodies have to give way earlier. Has no clock: its caller reports processor time and
 * late wake-ups. Other threads may read the pause.
 */
final class LongBodyThrottle {
    /** A wake-up later than this, microseconds, had to wait for the processor. */
    private static final long LATE_WAKE_UP_US = 8_000;
    /** Pauses grow while more than this part of the allowed processor time is used, and shrink otherwise. */
    private static final double BUSY_CPU_SHARE = 0.6;
    /** The first and the longest pause. A peer would notice a pause of 2 s. */
    private static final double INITIAL_PAUSE_MS = 40;
    private static final double MAX_PAUSE_MS = 600;
    /** Factors for the pause: after a late wake-up, after a busy interval and after an idle one. */
    private static final double LATE_WAKE_UP_GROWTH = 1.1;
    private static final double BUSY_GROWTH = 1.4;
    private static final double IDLE_DECAY = 0.8;

    private final double cores;
    private volatile double pauseMs;

    /** {@code cores} is the number of cores that the process may use; may be a fraction. */
    LongBodyThrottle(double cores) {
        this.cores = cores;
    }

    /** Records a wake-up that was {@code lateUs} microseconds late. */
    void recordWakeUp(long lateUs) {
        if (lateUs > LATE_WAKE_UP_US) {
            grow(LATE_WAKE_UP_GROWTH);
        }
    }

    /** Records the processor time used in an interval, both in microseconds. */
    void recordCpuUse(long cpuUs, long elapsedUs) {
        if (cpuUs > BUSY_CPU_SHARE * cores * elapsedUs) {
            grow(BUSY_GROWTH);
        } else {
            pauseMs = pauseMs * IDLE_DECAY;
        }
    }

    private void grow(double factor) {
        pauseMs = Math.min(MAX_PAUSE_MS, Math.max(INITIAL_PAUSE_MS, pauseMs * factor));
    }

    /** Returns how long to pause after a piece, milliseconds; 0 for no pause. */
    long pauseMs() {
        return (long) pauseMs;
    }
}
