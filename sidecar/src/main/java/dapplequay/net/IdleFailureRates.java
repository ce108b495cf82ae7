package dapplequay.net;

import java.util.function.LongSupplier;

/**
 * What befell attempts on connections by how long these had been idle before. Something on the way may forget
 * idle connections long before the settings' time; an attempt on such a one is reset, and may count as run.
 */
final class IdleFailureRates {
    /** By doubling idle times, from a millisecond on. */
    private static final int BUCKETS = 16;
    /** Weight of the newest attempt in its step's share of broken ones: about the last twenty. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** A share is forgotten with this time constant, as a step that is avoided learns nothing new. */
    private static final double DECAY_TIME_CONSTANT_US = 10_000_000;
    /** So much more than on new connections, where hosts break some attempts too, is too much. */
    private static final double ACCEPTED_EXCESS_RATE = 0.15;
    private static final int NEW_CONNECTION = BUCKETS;

    private final LongSupplier clock;
    private final double[] failureRate = new double[BUCKETS + 1];
    private final long[] recordedUs = new long[BUCKETS + 1];

    IdleFailureRates(LongSupplier clock) {
        this.clock = clock;
    }

    private static int bucket(long idleUs) {
        return idleUs < 0 ? NEW_CONNECTION : Math.min(BUCKETS - 1, 64 - Long.numberOfLeadingZeros(idleUs / 1000));
    }

    private double decayedRate(int bucket, long now) {
        return failureRate[bucket] * Math.exp((recordedUs[bucket] - now) / DECAY_TIME_CONSTANT_US);
    }

    /** {@code idleUs} -1: the connection was new. */
    synchronized void recordAttempt(long idleUs, boolean failed) {
        int bucket = bucket(idleUs);
        long now = clock.getAsLong();
        double before = decayedRate(bucket, now);
        failureRate[bucket] = before + NEWEST_WEIGHT * ((failed ? 1 : 0) - before);
        recordedUs[bucket] = now;
    }

    /** Whether a connection idle for so long is as good as a new one, shorter times included. */
    synchronized boolean isAcceptable(long idleUs) {
        long now = clock.getAsLong();
        double worst = 0;
        for (int bucket = 0; bucket <= bucket(idleUs); bucket++) {
            worst = Math.max(worst, decayedRate(bucket, now));
        }
        return worst <= decayedRate(NEW_CONNECTION, now) + ACCEPTED_EXCESS_RATE;
    }
}
