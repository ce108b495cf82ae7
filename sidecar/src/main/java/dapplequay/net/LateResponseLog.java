package dapplequay.net;

import dapplequay.management.LateResponseCounts;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Counts, and logs with its timeline, each response that begins after its request's first byte and budget. */
final class LateResponseLog {
    private static final Logger LOG = Logger.getLogger(LateResponseLog.class.getName());
    private static final long INTERVAL_US = TimeUnit.SECONDS.toMicros(1);
    private static final int LINES_PER_INTERVAL = 20;

    private final LongSupplier clock;
    private final LateResponseCounts counts;
    private final LogLimiter limiter;

    /** {@code clock} returns microseconds. */
    LateResponseLog(LongSupplier clock, LateResponseCounts counts) {
        this.clock = clock;
        this.counts = counts;
        limiter = new LogLimiter(clock, INTERVAL_US, LINES_PER_INTERVAL);
    }

    /** Called right before the first byte of a response; {@code timeline} is null if there is no request. */
    void responseBegins(RequestTimeline timeline, int status) {
        long nowUs = clock.getAsLong();
        if (timeline == null || !timeline.isLateAt(nowUs)) {
            return;
        }
        counts.count(timeline.cause(nowUs).label());
        long omitted = limiter.tryAcquire();
        if (omitted >= 0) {
            LOG.warning("late response: " + timeline.describe(status, nowUs) + LogLimiter.omittedNote(omitted));
        }
    }
}
