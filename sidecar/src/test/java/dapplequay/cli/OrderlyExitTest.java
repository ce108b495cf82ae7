package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class OrderlyExitTest {
    private static final long AMPLE_MS = 20_000;
    private static final long TIME_LIMIT_MS = 2_000;
    private static final long STALL_NS = 300_000_000;
    private static final long LATE_STEP_MS = 10;

    /** Otherwise the process would exit at once and cut off the requests that it holds. */
    @Test
    void aFailedStepIsRetriedAndTheNextOneFollows() {
        AtomicInteger attempts = new AtomicInteger();
        AtomicInteger nextStepRuns = new AtomicInteger();
        new OrderlyExit(() -> AMPLE_MS, List.of(() -> {
            if (attempts.incrementAndGet() == 1) {
                throw new OutOfMemoryError("injected");
            }
            if (attempts.get() == 2) {
                throw new IllegalStateException("injected");
            }
        }, nextStepRuns::incrementAndGet)).run();
        assertThat(attempts).hasValue(3);
        assertThat(nextStepRuns).hasValue(1);
    }

    @Test
    void aStepThatAlwaysFailsIsRetriedUntilTheTimeLimit() {
        AtomicInteger attempts = new AtomicInteger();
        long startNs = System.nanoTime();
        new OrderlyExit(() -> TIME_LIMIT_MS, List.of(() -> {
            attempts.incrementAndGet();
            throw new NoClassDefFoundError("injected");
        })).run();
        assertThat(System.nanoTime() - startNs).isGreaterThanOrEqualTo((TIME_LIMIT_MS - 1) * 1_000_000);
        assertThat(attempts.get()).isGreaterThan(1);
    }

    @Test
    void aBlockedStepDoesNotKeepTheProcess() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        CountDownLatch attempts = new CountDownLatch(1);
        new OrderlyExit(() -> 500, List.of(() -> {
            attempts.countDown();
            never.await();
        })).run();
        assertThat(attempts.await(20, java.util.concurrent.TimeUnit.SECONDS)).isTrue();
    }

    /** The process stood still until the time limit was over, and exited before the steps had run. */
    @Test
    void stepsRunAfterAStallThatLastedBeyondTheTimeLimit() {
        AtomicInteger stepRuns = new AtomicInteger();
        AtomicLong clockNs = new AtomicLong();
        new OrderlyExit(() -> 1, List.of(() -> {
            Thread.sleep(LATE_STEP_MS);
            stepRuns.incrementAndGet();
        }), () -> clockNs.getAndAdd(STALL_NS)).run();
        assertThat(stepRuns).hasValue(1);
    }
}
