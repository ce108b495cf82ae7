package dapplequay.membership;

/**
 * Whether a zone as a whole is lost, from attempts that met no process there: refused or vain connects, silence. Learnt
 * server by server, each would take its own failures to be passed over. Pure; times in microseconds.
 */
public final class ZoneLoss {
    /** A zone is lost while more than this share of its last attempts, weighed so, met nobody. */
    private static final double LOST_SHARE = 0.5;
    /** Weight of the newest attempt: four in a row that met nobody lose a zone. */
    private static final double GAIN = 0.2;

    private final double[] goneShare;
    private final long[] tryAt;
    private final long tryEveryUs;      // the least time between two attempts in a lost zone

    public ZoneLoss(int zones, long tryEveryUs) {
        goneShare = new double[zones];
        tryAt = new long[zones];
        this.tryEveryUs = tryEveryUs;
    }

    public boolean isLost(int zone) {
        return goneShare[zone] > LOST_SHARE;
    }

    /** Whether an attempt may go there: always while the zone is not lost, else now and then. */
    public boolean mayTry(long now, int zone) {
        return !isLost(zone) || now >= tryAt[zone];
    }

    public void sent(long now, int zone) {
        tryAt[zone] = now + tryEveryUs;
    }

    /** An attempt ended; true where the zone was lost by it, or is back. */
    public boolean ended(int zone, boolean metNobody) {
        boolean before = isLost(zone);
        goneShare[zone] += GAIN * ((metNobody ? 1 : 0) - goneShare[zone]);
        return before != isLost(zone);
    }

    /** The list tells of a process that has started there: the next attempts decide anew. */
    public void started(int zone) {
        goneShare[zone] = Math.min(goneShare[zone], LOST_SHARE);
    }
}
