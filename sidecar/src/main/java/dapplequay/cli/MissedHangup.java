package dapplequay.cli;

import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Reloads the configuration when a SIGHUP may have been lost: the JVM starts a thread for each signal, and if the
 * system refuses the thread, the signal is lost. The sign is a configuration file that changed close to a shortage of
 * threads, without a signal. Not thread-safe, except for {@link #signalReceived}.
 */
final class MissedHangup {
    private static final Logger LOG = Logger.getLogger(MissedHangup.class.getName());
    static final long POLL_INTERVAL_MS = 250;
    /** How long after the change of the file its signal may arrive. */
    static final long SIGNAL_GRACE_MS = 1_000;
    /** A shortage within this time before or after a change is seen may have lost its signal. */
    static final long SHORTAGE_WINDOW_MS = 10_000;

    private final WatchedFile file;
    private final LongSupplier nowMs;
    private final LongSupplier sinceShortageMs;
    private final Runnable reload;
    private volatile int signalCount;
    private int signalCountAtChange;
    private long changedAtMs;
    private boolean isPending;

    /** {@code sinceShortageMs} returns the time since threads were last short; Long.MAX_VALUE if they never were. */
    MissedHangup(WatchedFile file, LongSupplier nowMs, LongSupplier sinceShortageMs, Runnable reload) {
        this.file = file;
        this.nowMs = nowMs;
        this.sinceShortageMs = sinceShortageMs;
        this.reload = reload;
    }

    /** To be called at each signal, before the configuration is read. */
    synchronized void signalReceived() {
        file.markLoaded();
        signalCount++;
    }

    /** Polls until the thread is interrupted. */
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

    /** Checks the file once and reloads it if its signal seems lost. */
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
