package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.time.DeadlineQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ProgressTest {
    private final AtomicLong now = new AtomicLong(1_000);
    private final DeadlineQueue deadlines = new DeadlineQueue(now::get);
    private final AtomicInteger cuts = new AtomicInteger();

    private void at(long us) {
        now.set(us);
        deadlines.runExpired();
    }

    @Test
    void whatMovesGoesOnAndWhatStandsStillIsCutOnce() {
        Progress.Moves moves = new Progress.Moves(deadlines, 100);
        try (Progress watched = new Progress(deadlines, moves, cuts::incrementAndGet)) {
            for (long us = 1_050; us < 3_000; us += 50) {
                at(us);
                moves.moved();
            }
            assertThat(cuts).hasValue(0);
            at(3_200);
            at(3_400);
            assertThat(cuts).hasValue(1);
        }
    }

    @Test
    void whatIsOverIsNotCut() {
        new Progress(deadlines, new Progress.Moves(deadlines, 100), cuts::incrementAndGet).close();
        at(9_000);
        assertThat(cuts).hasValue(0);
    }

    /** At 1,000 bytes a second with 500 us at first; only time in which the sender is waited for counts. */
    @Test
    void aSenderHasToKeepItsPaceWhileItIsWaitedFor() {
        Progress.Pace pace = new Progress.Pace(deadlines, 500, 1_000);
        try (Progress watched = new Progress(deadlines, pace, cuts::incrementAndGet)) {
            pace.waiting();
            at(1_400);
            pace.came(2);                       // and 2,000 us more
            at(50_000);                         // nobody waits
            pace.waiting();
            at(52_000);
            assertThat(cuts).as("2,400 us of 2,500").hasValue(0);
            at(52_200);
            assertThat(cuts).hasValue(1);
        }
    }
}
