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
    static final long LOOK_US = 1_000_000;
    /** Without a shortage for so long, they are kept again. */
    static final long QUIET_US = 5_000_000;
    private static final long NEVER = Long.MIN_VALUE;

    private final LongSupplier clock;
    private final ThreadFactory factory;
    private volatile Runnable giveBack = () -> { };
    private CountDownLatch held;        // null: they are not kept
    private long shortUs = NEVER;
    private long lookedUs = NEVER;

    ThreadReserve(LongSupplier clock) {
        this(clock, Thread::new);
    }

    /** {@code factory}: where its threads come from, not started. */
    ThreadReserve(LongSupplier clock, ThreadFactory factory) {
        this.clock = clock;
        this.factory = factory;
    }

    /** What is done at a shortage by whoever holds threads that can be spared. */
    void onShortage(Runnable toGiveBack) {
        giveBack = toGiveBack;
    }

    /** A thread could not be started. */
    void shortage() {
        boolean first;
        synchronized (this) {
            first = held != null || shortUs == NEVER;
            shortUs = clock.getAsLong();
            release();
        }
        if (first) {
            LOG.warning("threads are short: idle clients are let go");
        }
        giveBack.run();
    }

    /** When a thread could not be started the last time, or {@link Long#MIN_VALUE}. */
    synchronized long lastShortageUs() {
        return shortUs;
    }

    /** Where idle clients take the last thread without a vain start after it, nobody else would notice. */
    void turn() {
        boolean isHeld;
        synchronized (this) {
            long now = clock.getAsLong();
            if (lookedUs != NEVER && now - lookedUs < LOOK_US) {
                return;
            }
            lookedUs = now;
            if (held == null && shortUs != NEVER && now - shortUs < QUIET_US) {
                return;
            }
            isHeld = held != null;
        }
        try {
            if (isHeld) {
                start(() -> { });
            } else {
                hold();
            }
        } catch (OutOfMemoryError e) {
            shortage();
        }
    }

    private void hold() {
        CountDownLatch gate = new CountDownLatch(1);
        synchronized (this) {
            held = gate;
        }
        for (int i = 0; i < SIZE; i++) {
            start(() -> awaitOpen(gate));
        }
    }

    private void start(Runnable work) {
        Thread thread = factory.newThread(work);
        thread.setName("reserve");
        thread.setDaemon(true);
        thread.start();
    }

    private static void awaitOpen(CountDownLatch gate) {
        try {
            gate.await();
        } catch (InterruptedException e) {
            LOG.log(Level.FINE, "a thread of the reserve was interrupted", e);
        }
    }

    private void release() {
        if (held != null) {
            held.countDown();
            held = null;
        }
    }
}
