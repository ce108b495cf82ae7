package dapplequay.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DeadlineQueueTest {

    @Test
    void expiredDeadlinesRunInOrderAndAFailureDoesNotStopTheOthers() {
        AtomicLong now = new AtomicLong();
        DeadlineQueue deadlines = new DeadlineQueue(now::get);
        List<String> carriedOut = new ArrayList<>();
        deadlines.schedule(30, () -> carriedOut.add("third"));
        deadlines.schedule(10, () -> carriedOut.add("first"));
        deadlines.schedule(20, () -> {
            throw new IllegalStateException("logged; the other actions still run");
        });
        DeadlineQueue.Deadline cancelled = deadlines.schedule(15, () -> carriedOut.add("cancelled"));
        deadlines.cancel(cancelled);
        deadlines.runExpired();
        assertThat(carriedOut).isEmpty();
        now.set(25);
        deadlines.runExpired();
        assertThat(carriedOut).containsExactly("first");
        now.set(30);
        deadlines.runExpired();
        deadlines.runExpired();
        assertThat(carriedOut).containsExactly("first", "third");
    }
}
