package dapplequay.net;

import java.util.function.LongSupplier;

/**
 * Failure rates of attempts by how long their connection had been idle before. A device on the network path may drop
 * idle connections long before the configured idle timeout; an attempt on such a connection is reset, and may have to
 * count as run.
 */
final class IdleFailureRates {
    /** Idle times are grouped in buckets that double from one millisecond on. */
    private static final int BUCKETS = 16;
    /** Weight of the newest attempt in the failure rate of its bucket: about the last twenty count. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** Rates decay with this time constant, as a bucket that is avoided gets no new samples. */
    private static final double DECAY_TIME_CONSTANT_US = 10_000_000;
    /** Accepted failure rate above that of new connections, on which hosts fail some attempts, too. */
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

    /** Records the end of an attempt; {@code idleUs} is -1 for a new connection. */
    synchronized void recordAttempt(long idleUs, boolean failed) {
        int bucket = bucket(idleUs);
        long now = clock.getAsLong();
        double before = decayedRate(bucket, now);
        failureRate[bucket] = before + NEWEST_WEIGHT * ((failed ? 1 : 0) - before);
        recordedUs[bucket] = now;
    }

    /** Returns whether connections idle for this long, or for any shorter time, are about as good as new ones. */
    synchronized boolean isAcceptable(long idleUs) {
        long now = clock.getAsLong();
        double worst = 0;
        for (int bucket = 0; bucket <= bucket(idleUs); bucket++) {
            worst = Math.max(worst, decayedRate(bucket, now));
        }
        return worst <= decayedRate(NEW_CONNECTION, now) + ACCEPTED_EXCESS_RATE;
    }
}
