package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class OrderlyExitTest {
    private static final long LONG_MS = 20_000;

    /** The process would be gone at once, with all that it holds. */
    @Test
    void aStepThatFailsIsBegunAgainAndTheNextOneFollows() {
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        new OrderlyExit(() -> LONG_MS, List.of(() -> {
            if (begun.incrementAndGet() == 1) {
                throw new OutOfMemoryError("made up");
            }
            if (begun.get() == 2) {
                throw new IllegalStateException("made up");
            }
        }, next::incrementAndGet)).run();
        assertThat(begun).hasValue(3);
        assertThat(next).hasValue(1);
    }

    @Test
    void aStepThatAlwaysFailsLeavesThoseWhoAreServedTheirTimeAndNoMore() {
        AtomicInteger begun = new AtomicInteger();
        long from = System.nanoTime();
        new OrderlyExit(() -> 200, List.of(() -> {
            begun.incrementAndGet();
            throw new NoClassDefFoundError("made up");
        })).run();
        assertThat(System.nanoTime() - from).isGreaterThanOrEqualTo(199_000_000);
        assertThat(begun.get()).isGreaterThan(1);
    }

    @Test
    void aStepThatStandsStillDoesNotKeepTheProcess() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        new OrderlyExit(() -> 500, List.of(() -> {
            begun.countDown();
            never.await();
        })).run();
        assertThat(begun.await(20, java.util.concurrent.TimeUnit.SECONDS)).isTrue();
    }
}
