package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.time.DeadlineQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ProgressWatchdogTest {
    private final AtomicLong now = new AtomicLong(1_000);
    private final DeadlineQueue deadlines = new DeadlineQueue(now::get);
    private final AtomicInteger expirations = new AtomicInteger();

    private void advanceTo(long us) {
        now.set(us);
        deadlines.runExpired();
    }

    @Test
    void expiresOnceWhenNoProgressIsMade() {
        ProgressWatchdog.StallTimeout stallTimeout = new ProgressWatchdog.StallTimeout(deadlines, 100);
        try (ProgressWatchdog watched = new ProgressWatchdog(deadlines, stallTimeout, expirations::incrementAndGet)) {
            for (long us = 1_050; us < 3_000; us += 50) {
                advanceTo(us);
                stallTimeout.progressed();
            }
            assertThat(expirations).hasValue(0);
            advanceTo(3_200);
            advanceTo(3_400);
            assertThat(expirations).hasValue(1);
        }
    }

    /** The steps in which a peer's system announces what was read may be large: it is given twice its longest pause. */
    @Test
    void peerThatCameBackFromALongPauseIsGivenMoreTime() {
        ProgressWatchdog.StallTimeout stallTimeout = new ProgressWatchdog.StallTimeout(deadlines, 100);
        now.addAndGet(90);
        stallTimeout.progressed();
        assertThat(stallTimeout.getAsLong()).isEqualTo(180);
        now.addAndGet(179);
        stallTimeout.progressed();
        assertThat(stallTimeout.getAsLong()).isEqualTo(300);
        now.addAndGet(10);
        stallTimeout.progressed();
        assertThat(stallTimeout.getAsLong()).as("shorter pauses take nothing back").isEqualTo(300);
    }

    @Test
    void doesNotExpireAfterClose() {
        new ProgressWatchdog(deadlines, new ProgressWatchdog.StallTimeout(deadlines, 100), expirations::incrementAndGet)
                .close();
        advanceTo(9_000);
        assertThat(expirations).hasValue(0);
    }

    /** The minimum rate is 1,000 bytes per second with an allowance of 500 us; only time spent waiting counts. */
    @Test
    void senderMustKeepTheMinimumRateWhileItIsWaitedFor() {
        ProgressWatchdog.MinimumRate rate = new ProgressWatchdog.MinimumRate(deadlines, 500, 1_000);
        try (ProgressWatchdog watched = new ProgressWatchdog(deadlines, rate, expirations::incrementAndGet)) {
            rate.waitStarted();
            advanceTo(1_400);
            rate.waitEnded(2);                       // allows 2,000 us more
            advanceTo(50_000);                         // no thread waits
            rate.waitStarted();
            advanceTo(52_000);
            assertThat(expirations).as("waited 2,400 us of the 2,500 allowed").hasValue(0);
            advanceTo(52_200);
            assertThat(expirations).hasValue(1);
        }
    }
}
