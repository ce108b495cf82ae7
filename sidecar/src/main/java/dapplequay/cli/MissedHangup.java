package dapplequay.cli;

import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Makes up for a SIGHUP that was never heard: the JVM starts a thread for each signal, and where the system gives it
 * none, the signal is lost. What shows it is a configuration that has changed, about when threads were short, and that
 * no signal had read. Not thread-safe but for {@link #heard}.
 */
final class MissedHangup {
    private static final Logger LOG = Logger.getLogger(MissedHangup.class.getName());
    static final long POLL_INTERVAL_MS = 250;
    /** So long a signal may take after the change that it tells of, ms. */
    static final long SIGNAL_GRACE_MS = 1_000;
    /** A shortage so long before a change is seen, or after it, may have cost its signal, ms. */
    static final long SHORTAGE_WINDOW_MS = 10_000;

    private final WatchedFile file;
    private final LongSupplier nowMs;
    private final LongSupplier sinceShortageMs;
    private final Runnable reload;
    private volatile int signalCount;
    private int signalCountAtChange;
    private long changedAtMs;
    private boolean isPending;

    /** {@code sinceShortageMs}: how long ago threads were short, Long.MAX_VALUE: never. */
    MissedHangup(WatchedFile file, LongSupplier nowMs, LongSupplier sinceShortageMs, Runnable reload) {
        this.file = file;
        this.nowMs = nowMs;
        this.sinceShortageMs = sinceShortageMs;
        this.reload = reload;
    }

    /** The signal has come: the file as it is now is about to be read. */
    synchronized void signalReceived() {
        file.markLoaded();
        signalCount++;
    }

    /** Looks until the thread is interrupted. */
    void watch() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MS);
                poll();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void poll() {
        long currentMs = nowMs.getAsLong();
        if (file.hasChanged()) {
            isPending = true;
            changedAtMs = currentMs;
            signalCountAtChange = signalCount;
        }
        if (!isPending || currentMs - changedAtMs < SIGNAL_GRACE_MS) {
            return;
        }
        boolean isShortageNear = sinceShortageMs.getAsLong() <= currentMs - changedAtMs + SHORTAGE_WINDOW_MS;
        if (signalCount != signalCountAtChange || currentMs - changedAtMs > SHORTAGE_WINDOW_MS) {
            isPending = false;
        } else if (isShortageNear) {
            isPending = false;
            LOG.warning("threads were short, and SIGHUP for the new configuration may have been lost: it is read");
            reload.run();
        }
    }
}
