package dapplequay.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Threads kept for what has to go on where the system gives the process no more of them: signals, for each of which the
 * JVM starts one, the ending, and calls to discovery. They do nothing but wait. At the first shortage they end, which
 * leaves their places free, and whoever holds many threads is told to give some back; once there has been none for a
 * while they are started again. Times in microseconds of a clock that does not run backwards.
 */
final class ThreadReserve {
    private static final Logger LOG = Logger.getLogger(ThreadReserve.class.getName());
    /** An ending takes three, and one for each answer that it fails; a signal and a call to discovery one each. */
    static final int SIZE = 8;
    /** Between two looks at whether a thread is to be had. */
    static final long CHECK_INTERVAL_US = 1_000_000;
    /** Without a shortage for so long, they are kept again. */
    static final long RECOVERY_US = 5_000_000;
    private static final long NEVER = Long.MIN_VALUE;

    private final LongSupplier clock;
    private final ThreadFactory factory;
    private volatile Runnable shortageHandler = () -> { };
    private CountDownLatch releaseLatch;        // null: they are not kept
    private long lastShortageUs = NEVER;
    private long lastCheckUs = NEVER;

    ThreadReserve(LongSupplier clock) {
        this(clock, Thread::new);
    }

    /** {@code factory}: where its threads come from, not started. */
    ThreadReserve(LongSupplier clock, ThreadFactory factory) {
        this.clock = clock;
        this.factory = factory;
    }

    /** What is done at a shortage by whoever holds threads that can be spared. */
    void onShortage(Runnable handler) {
        shortageHandler = handler;
    }

    /** A thread could not be started. */
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

    /** When a thread could not be started the last time, or {@link Long#MIN_VALUE}. */
    synchronized long lastShortageUs() {
        return lastShortageUs;
    }

    /** Where idle clients take the last thread without a vain start after it, nobody else would notice. */
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
            LOG.log(Level.FINE, "a thread of the reserve was interrupted", e);
        }
    }

    private void releaseReserve() {
        if (releaseLatch != null) {
            releaseLatch.countDown();
            releaseLatch = null;
        }
    }
}
