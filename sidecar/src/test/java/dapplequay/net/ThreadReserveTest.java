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
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final AtomicInteger room = new AtomicInteger(1_000);
    private final List<Thread> started = new CopyOnWriteArrayList<>();
    private final ThreadReserve reserve = new ThreadReserve(now::get, this::thread);

    private Thread thread(Runnable work) {
        if (room.getAndDecrement() <= 0) {
            throw new OutOfMemoryError("no thread");
        }
        Thread thread = new Thread(work);
        started.add(thread);
        return thread;
    }

    private void turnAfter(long us) {
        now.addAndGet(us);
        reserve.tick();
    }

    private void awaitAlive(int many) {
        while (started.stream().filter(Thread::isAlive).count() != many) {
            Thread.onSpinWait();
        }
    }

    @Test
    void itEndsAtAShortageAndIsKeptAgainAfterAQuietTime() {
        turnAfter(0);
        awaitAlive(ThreadReserve.SIZE);
        reserve.reportShortage();
        awaitAlive(0);
        turnAfter(ThreadReserve.RECOVERY_US - 1);
        awaitAlive(0);
        turnAfter(ThreadReserve.CHECK_INTERVAL_US);
        awaitAlive(ThreadReserve.SIZE);
    }

    /** Idle clients may take the last thread, so that no start fails until a signal needs one. */
    @Test
    void aLookFindsThatNoThreadIsLeft() {
        AtomicInteger told = new AtomicInteger();
        reserve.onShortage(told::incrementAndGet);
        turnAfter(0);
        turnAfter(ThreadReserve.CHECK_INTERVAL_US);
        assertThat(told).hasValue(0);
        room.set(0);
        turnAfter(ThreadReserve.CHECK_INTERVAL_US);
        assertThat(told).hasValue(1);
        awaitAlive(0);
        assertThat(reserve.lastShortageUs()).isEqualTo(now.get());
    }

    /** Where only a part of it is to be had, none of it stays. */
    @Test
    void aReserveThatCannotBeWholeEnds() {
        room.set(ThreadReserve.SIZE / 2);
        turnAfter(0);
        assertThat(started).hasSize(ThreadReserve.SIZE / 2);
        awaitAlive(0);
    }
}
