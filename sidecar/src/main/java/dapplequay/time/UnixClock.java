package dapplequay.time;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;

/**
 * Unix time in microseconds that never runs backwards: anchored once to the system's clock, then carried on
 * by the monotonic one. Discovery's start times are on the same scale, so ages of servers come out right.
 */
public final class UnixClock implements LongSupplier {
    private final long anchorUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long anchorNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return anchorUs + (System.nanoTime() - anchorNanos) / 1000;
    }
}
