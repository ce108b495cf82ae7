package dapplequay.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DeadlinesTest {

    @Test
    void sweepCarriesOutWhatHasPassedInOrderAndSurvivesAFailure() {
        AtomicLong now = new AtomicLong();
        Deadlines deadlines = new Deadlines(now::get);
        List<String> passed = new ArrayList<>();
        deadlines.after(30, () -> passed.add("third"));
        deadlines.after(10, () -> passed.add("first"));
        deadlines.after(20, () -> {
            throw new IllegalStateException("told in the log; the others go on");
        });
        Deadlines.Deadline cancelled = deadlines.after(15, () -> passed.add("cancelled"));
        deadlines.cancel(cancelled);
        deadlines.sweep();
        assertThat(passed).isEmpty();
        now.set(25);
        deadlines.sweep();
        assertThat(passed).containsExactly("first");
        now.set(30);
        deadlines.sweep();
        deadlines.sweep();
        assertThat(passed).containsExactly("first", "third");
    }
}
