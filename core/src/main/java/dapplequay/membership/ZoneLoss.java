package dapplequay.membership;

/**
 * Detects the loss of a whole zone from attempts that reached no process there: refused or failed connects, silence.
 * Detected server by server, each would cost failures of its own before it is avoided. Pure; times in microseconds.
 */
public final class ZoneLoss {
    /** A zone is lost while more than this share of its recent attempts reached no process. */
    private static final double LOST_SHARE = 0.5;
    /** Weight of the newest attempt: four in a row that reach no process mean that the zone is lost. */
    private static final double GAIN = 0.2;

    /** By zone: the weighted share of recent attempts that reached no process. */
    private final double[] unreachableShare;
    /** By zone: when an attempt may be made while the zone is lost. */
    private final long[] nextTryAt;
    /** The least time between two attempts in a lost zone. */
    private final long tryIntervalUs;

    public ZoneLoss(int zones, long tryIntervalUs) {
        unreachableShare = new double[zones];
        nextTryAt = new long[zones];
        this.tryIntervalUs = tryIntervalUs;
    }

    public boolean isLost(int zone) {
        return unreachableShare[zone] > LOST_SHARE;
    }

    /** True if an attempt may be made in the zone: always while it is not lost, otherwise once in each interval. */
    public boolean mayTry(long now, int zone) {
        return !isLost(zone) || now >= nextTryAt[zone];
    }

    public void attemptSent(long now, int zone) {
        nextTryAt[zone] = now + tryIntervalUs;
    }

    /** Counts an attempt that has ended; returns true if this changed whether the zone counts as lost. */
    public boolean attemptEnded(int zone, boolean unreachable) {
        boolean wasLost = isLost(zone);
        unreachableShare[zone] += GAIN * ((unreachable ? 1 : 0) - unreachableShare[zone]);
        return wasLost != isLost(zone);
    }

    /** The list names a process that has started in the zone: it counts as not lost, and the next attempts decide. */
    public void processStarted(int zone) {
        unreachableShare[zone] = Math.min(unreachableShare[zone], LOST_SHARE);
    }
}
