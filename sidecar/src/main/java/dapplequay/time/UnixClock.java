package dapplequay.time;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;

/**
 * Unix time in microseconds that never runs backwards: read once from the system clock, then advanced by the monotonic
 * clock. Discovery reports servers' start times as Unix time, so that their ages can be computed from this clock.
 */
public final class UnixClock implements LongSupplier {
    private final long anchorUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long anchorNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return anchorUs + (System.nanoTime() - anchorNanos) / 1000;
    }
}
