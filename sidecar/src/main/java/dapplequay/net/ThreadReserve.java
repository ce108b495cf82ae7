package dapplequay.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Keeps threads in reserve for work that has to go on when the system gives the process no more threads: signals, for
 * each of which the JVM starts a thread, shutdown, and calls to discovery. The threads only wait. At the first shortage
 * they end, which frees their places, and the holder of many threads is asked to release some; after a while without a
 * shortage they are started again. Times are in microseconds of a monotonic clock.
 */
final class ThreadReserve {
    private static final Logger LOG = Logger.getLogger(ThreadReserve.class.getName());
    /**
     * Shutdown takes three threads, and one for each response that it fails; a signal and a call to discovery take one
     * each.
     */
    static final int SIZE = 8;
    /** Interval of the checks whether a thread can be started, in microseconds. */
    static final long CHECK_INTERVAL_US = 1_000_000;
    /** After this time without a shortage the threads are reserved again, in microseconds. */
    static final long RECOVERY_US = 5_000_000;
    private static final long NEVER = Long.MIN_VALUE;

    private final LongSupplier clock;
    private final ThreadFactory factory;
    private volatile Runnable shortageHandler = () -> { };
    private CountDownLatch releaseLatch;   // ends the reserved threads; null while none are reserved
    private long lastShortageUs = NEVER;
    private long lastCheckUs = NEVER;

    ThreadReserve(LongSupplier clock) {
        this(clock, Thread::new);
    }

    /** {@code factory}: creates the threads, without starting them. */
    ThreadReserve(LongSupplier clock, ThreadFactory factory) {
        this.clock = clock;
        this.factory = factory;
    }

    /** Sets what is called at a shortage; it should release threads that can be spared. */
    void onShortage(Runnable handler) {
        shortageHandler = handler;
    }

    /** Reports that a thread could not be started. */
    void reportShortage() {
        boolean isFirst;
        synchronized (this) {
            isFirst = releaseLatch != null || lastShortageUs == NEVER;
            lastShortageUs = clock.getAsLong();
            releaseReserve();
        }
        if (isFirst) {
            LOG.warning("threads are short: idle clients are let go");
        }
        shortageHandler.run();
    }

    /** Returns when a thread last could not be started, or {@link Long#MIN_VALUE} for never. */
    synchronized long lastShortageUs() {
        return lastShortageUs;
    }

    /**
     * Checks from time to time whether a thread can be started: idle clients may take the last one, and without a
     * failed start after that nobody else would notice.
     */
    void tick() {
        boolean isReserved;
        synchronized (this) {
            long nowUs = clock.getAsLong();
            if (lastCheckUs != NEVER && nowUs - lastCheckUs < CHECK_INTERVAL_US) {
                return;
            }
            lastCheckUs = nowUs;
            if (releaseLatch == null && lastShortageUs != NEVER && nowUs - lastShortageUs < RECOVERY_US) {
                return;
            }
            isReserved = releaseLatch != null;
        }
        try {
            if (isReserved) {
                startThread(() -> { });
            } else {
                startReserve();
            }
        } catch (OutOfMemoryError e) {
            reportShortage();
        }
    }

    private void startReserve() {
        CountDownLatch latch = new CountDownLatch(1);
        synchronized (this) {
            releaseLatch = latch;
        }
        for (int i = 0; i < SIZE; i++) {
            startThread(() -> awaitRelease(latch));
        }
    }

    private void startThread(Runnable work) {
        Thread thread = factory.newThread(work);
        thread.setName("reserve");
        thread.setDaemon(true);
        thread.start();
    }

    private static void awaitRelease(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            LOG.log(Level.FINE, "a reserved thread was interrupted", e);
        }
    }

    private void releaseReserve() {
        if (releaseLatch != null) {
            releaseLatch.countDown();
            releaseLatch = null;
        }
    }
}
