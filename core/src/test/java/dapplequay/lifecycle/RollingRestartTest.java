package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.lifecycle.RollingRestart.Limits;
import dapplequay.lifecycle.RollingRestart.Phase;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RollingRestartTest {
    private static final List<String> FIVE = List.of("a", "b", "c", "d", "e");

    private static RollingRestart rollingRestart(int batchSize, int maxUnavailable) {
        return new RollingRestart(FIVE, new Limits(batchSize, maxUnavailable, 100));
    }

    @Test
    void aBatchBeginsWhenThePreviousOneIsReady() {
        RollingRestart restart = rollingRestart(2, 5);
        assertThat(restart.nextBatch(0, FIVE, 5)).containsExactly("a", "b");
        assertThat(restart.nextBatch(1, List.of("c", "d", "e"), 5)).isEmpty();
        restart.instanceReady("b");
        assertThat(restart.nextBatch(2, List.of("b", "c", "d", "e"), 5)).isEmpty();
        restart.instanceReady("a");
        assertThat(restart.nextBatch(3, FIVE, 5)).containsExactly("c", "d");
        restart.instanceReady("c");
        restart.instanceReady("d");
        assertThat(restart.nextBatch(4, FIVE, 5)).containsExactly("e");
        restart.instanceReady("e");
        restart.nextBatch(5, FIVE, 5);
        assertThat(restart.phase()).isEqualTo(Phase.DONE);
        assertThat(restart.completed()).containsExactly("b", "a", "c", "d", "e");
    }

    @Test
    void instancesThatAreUnavailableForOtherReasonsCount() {
        RollingRestart restart = rollingRestart(3, 2);
        assertThat(restart.nextBatch(0, List.of("b", "c", "d", "e"), 5))
                .as("a is unavailable, so only one more may be").containsExactly("b");
        RollingRestart atLimit = rollingRestart(3, 2);
        assertThat(atLimit.nextBatch(0, List.of("c", "d", "e"), 5)).isEmpty();
        assertThat(atLimit.phase()).isEqualTo(Phase.RUNNING);
        assertThat(atLimit.nextBatch(1, FIVE, 5)).containsExactly("a", "b");
    }

    @Test
    void aBatchThatTimesOutHaltsTheRestartUntilItIsResumed() {
        RollingRestart restart = rollingRestart(2, 5);
        restart.nextBatch(0, FIVE, 5);
        restart.instanceReady("a");
        restart.nextBatch(100, List.of("a", "c", "d", "e"), 5);
        assertThat(restart.phase()).isEqualTo(Phase.HALTED);
        assertThat(restart.nextBatch(101, FIVE, 5)).isEmpty();
        restart.resume(150);
        restart.nextBatch(200, List.of("a", "c", "d", "e"), 5);
        assertThat(restart.phase()).isEqualTo(Phase.RUNNING);
        restart.instanceReady("b");
        assertThat(restart.nextBatch(201, FIVE, 5)).containsExactly("c", "d");
    }

    @Test
    void anAbortedRestartBeginsNoFurtherBatch() {
        RollingRestart restart = rollingRestart(2, 5);
        restart.nextBatch(0, FIVE, 5);
        restart.abort();
        restart.instanceReady("a");
        restart.instanceReady("b");
        assertThat(restart.nextBatch(1, FIVE, 5)).isEmpty();
        restart.resume(2);
        assertThat(restart.phase()).isEqualTo(Phase.ABORTED);
    }

    @Test
    void aRemovedInstanceIsNeitherWaitedForNorRestarted() {
        RollingRestart restart = rollingRestart(2, 5);
        restart.nextBatch(0, FIVE, 5);
        restart.instanceRemoved("a");
        restart.instanceRemoved("c");
        restart.instanceReady("b");
        assertThat(restart.nextBatch(1, List.of("b", "d", "e"), 3)).containsExactly("d", "e");
    }

    /** Tries all sequences in which three instances get ready, fail and recover, up to a length. */
    @Test
    void neverExceedsTheUnavailableLimitWhateverFailsMeanwhile() {
        for (int batchSize = 1; batchSize <= 3; batchSize++) {
            for (int maxUnavailable = 1; maxUnavailable <= 3; maxUnavailable++) {
                explore(batchSize, maxUnavailable, new ArrayList<>());
            }
        }
    }

    private static final int DEPTH = 8;

    private static void explore(int batchSize, int maxUnavailable, List<Integer> sequence) {
        if (sequence.size() == DEPTH) {
            play(batchSize, maxUnavailable, sequence);
            return;
        }
        for (int event = 0; event < 4; event++) {
            sequence.add(event);
            explore(batchSize, maxUnavailable, sequence);
            sequence.remove(sequence.size() - 1);
        }
    }

    /** Event i below 3 makes instance i ready if it is down, and down if it is ready. Event 3 asks for a batch. */
    private static void play(int batchSize, int maxUnavailable, List<Integer> sequence) {
        List<String> all = List.of("0", "1", "2");
        RollingRestart restart = new RollingRestart(all, new Limits(batchSize, maxUnavailable, 1_000_000));
        Set<String> ready = new HashSet<>(all);
        int now = 0;
        for (int event : sequence) {
            now++;
            if (event < 3) {
                String name = all.get(event);
                if (ready.add(name)) {
                    restart.instanceReady(name);
                } else {
                    ready.remove(name);
                }
                continue;
            }
            int unavailable = 3 - ready.size();
            List<String> batch = restart.nextBatch(now, ready, 3);
            if (!batch.isEmpty() && unavailable + batch.size() > maxUnavailable || batch.size() > batchSize
                    || !ready.containsAll(batch)) {
                throw new AssertionError(sequence + ": " + batch + " with " + unavailable + " unavailable");
            }
            ready.removeAll(batch);
            Set<String> known = new HashSet<>(restart.restarting());
            known.addAll(restart.completed());
            known.addAll(restart.pending());
            if (!known.containsAll(all)) {
                throw new AssertionError(sequence + ": an instance was lost");
            }
        }
    }

    @Test
    void aReloadPlanListsAddedRemovedChangedAndUnchangedInstances() {
        ReloadPlan plan = ReloadPlan.between(Map.of("a", 1, "b", 2, "c", 3), Map.of("b", 2, "c", 4, "d", 5));
        assertThat(plan.added()).containsExactly("d");
        assertThat(plan.removed()).containsExactly("a");
        assertThat(plan.changed()).containsExactly("c");
        assertThat(plan.unchanged()).containsExactly("b");
        assertThat(plan.isEmpty()).isFalse();
        assertThat(ReloadPlan.between(Map.of("a", 1), Map.of("a", 1)).isEmpty()).isTrue();
    }
}
