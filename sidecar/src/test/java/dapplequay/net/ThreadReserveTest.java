package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ThreadReserveTest {
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final AtomicInteger availableThreads = new AtomicInteger(1_000);
    private final List<Thread> started = new CopyOnWriteArrayList<>();
    private final ThreadReserve reserve = new ThreadReserve(clock::get, this::newThread);

    private Thread newThread(Runnable work) {
        if (availableThreads.getAndDecrement() <= 0) {
            throw new OutOfMemoryError("no thread available");
        }
        Thread thread = new Thread(work);
        started.add(thread);
        return thread;
    }

    private void tickAfter(long us) {
        clock.addAndGet(us);
        reserve.tick();
    }

    private void awaitAliveThreads(int expected) {
        while (started.stream().filter(Thread::isAlive).count() != expected) {
            Thread.onSpinWait();
        }
    }

    @Test
    void threadsEndAtAShortageAndAreReservedAgainAfterAQuietTime() {
        tickAfter(0);
        awaitAliveThreads(ThreadReserve.SIZE);
        reserve.reportShortage();
        awaitAliveThreads(0);
        tickAfter(ThreadReserve.RECOVERY_US - 1);
        awaitAliveThreads(0);
        tickAfter(ThreadReserve.CHECK_INTERVAL_US);
        awaitAliveThreads(ThreadReserve.SIZE);
    }

    /** Idle clients may take the last thread without any failed start until a signal needs one. */
    @Test
    void periodicCheckNoticesThatNoThreadIsLeft() {
        AtomicInteger shortages = new AtomicInteger();
        reserve.onShortage(shortages::incrementAndGet);
        tickAfter(0);
        tickAfter(ThreadReserve.CHECK_INTERVAL_US);
        assertThat(shortages).hasValue(0);
        availableThreads.set(0);
        tickAfter(ThreadReserve.CHECK_INTERVAL_US);
        assertThat(shortages).hasValue(1);
        awaitAliveThreads(0);
        assertThat(reserve.lastShortageUs()).isEqualTo(clock.get());
    }

    /** If only some of the threads can be started, none of them stays. */
    @Test
    void incompleteReserveIsReleased() {
        availableThreads.set(ThreadReserve.SIZE / 2);
        tickAfter(0);
        assertThat(started).hasSize(ThreadReserve.SIZE / 2);
        awaitAliveThreads(0);
    }
}
