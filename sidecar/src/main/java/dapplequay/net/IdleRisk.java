package dapplequay.net;

import java.util.function.LongSupplier;

/**
 * What befell attempts on connections by how long these had been idle before. Something on the way may forget
 * idle connections long before the settings' time; an attempt on such a one is reset, and may count as run.
 */
final class IdleRisk {
    /** By doubling idle times, from a millisecond on. */
    private static final int STEPS = 16;
    /** Weight of the newest attempt in its step's share of broken ones: about the last twenty. */
    private static final double GAIN = 0.05;
    /** A share is forgotten with this time constant, as a step that is avoided learns nothing new. */
    private static final double FADE_US = 10_000_000;
    /** So much more than on new connections, where hosts break some attempts too, is too much. */
    private static final double ACCEPTED = 0.15;
    private static final int NEW = STEPS;

    private final LongSupplier clock;
    private final double[] share = new double[STEPS + 1];
    private final long[] notedUs = new long[STEPS + 1];

    IdleRisk(LongSupplier clock) {
        this.clock = clock;
    }

    private static int step(long idleUs) {
        return idleUs < 0 ? NEW : Math.min(STEPS - 1, 64 - Long.numberOfLeadingZeros(idleUs / 1000));
    }

    private double share(int step, long now) {
        return share[step] * Math.exp((notedUs[step] - now) / FADE_US);
    }

    /** {@code idleUs} -1: the connection was new. */
    synchronized void note(long idleUs, boolean broken) {
        int step = step(idleUs);
        long now = clock.getAsLong();
        double before = share(step, now);
        share[step] = before + GAIN * ((broken ? 1 : 0) - before);
        notedUs[step] = now;
    }

    /** Whether a connection idle for so long is as good as a new one, shorter times included. */
    synchronized boolean isAccepted(long idleUs) {
        long now = clock.getAsLong();
        double worst = 0;
        for (int step = 0; step <= step(idleUs); step++) {
            worst = Math.max(worst, share(step, now));
        }
        return worst <= share(NEW, now) + ACCEPTED;
    }
}
