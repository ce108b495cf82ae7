package dapplequay.net;

/**
 * Whether this process has processor time to spare, and how long the carriers of long bodies pause between two pieces
 * for the sake of short requests: what is timed of a long body is its first bytes. A process that is held to a share of
 * a core is stopped as a whole, each time at a cost for each of its threads, which comes out of that share; once behind
 * it stays behind, so that long bodies have to give way before the share is used up. Pure but for being read by other
 * threads: it is told what was used, and of turns that came late.
 */
final class LongBodyThrottle {
    /** A turn so late, us, was kept waiting for the processor. */
    private static final long LATE_WAKE_UP_US = 8_000;
    /** Above this part of the share that the process may use, pauses grow; below they shrink. */
    private static final double BUSY_CPU_SHARE = 0.6;
    /** Pauses, ms: the first, and the longest; a peer would notice one of 2 s. */
    private static final double INITIAL_PAUSE_MS = 40;
    private static final double MAX_PAUSE_MS = 600;
    /** What a late turn makes of the pause, what a look at a busy process does, and what one at an idle one. */
    private static final double LATE_WAKE_UP_GROWTH = 1.1;
    private static final double BUSY_GROWTH = 1.4;
    private static final double IDLE_DECAY = 0.8;

    private final double cores;
    private volatile double pauseMs;

    /** {@code cores}: what the process may use of a core, or of several. */
    LongBodyThrottle(double cores) {
        this.cores = cores;
    }

    /** A turn came this late, microseconds. */
    void recordWakeUp(long lateUs) {
        if (lateUs > LATE_WAKE_UP_US) {
            grow(LATE_WAKE_UP_GROWTH);
        }
    }

    /** So much processor time was used in so much time, both in microseconds. */
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

    /** How long to pause after a piece, milliseconds; 0: not at all. */
    long pauseMs() {
        return (long) pauseMs;
    }
}
