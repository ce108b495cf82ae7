package dapplequay.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.lifecycle.FleetRoll.Bounds;
import dapplequay.lifecycle.FleetRoll.Phase;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetRollTest {
    private static final List<String> FIVE = List.of("a", "b", "c", "d", "e");

    private static FleetRoll roll(int batch, int mostOut) {
        return new FleetRoll(FIVE, new Bounds(batch, mostOut, 100));
    }

    @Test
    void batchesFollowEachOtherWhenTheOneBeforeIsBack() {
        FleetRoll roll = roll(2, 5);
        assertThat(roll.next(0, FIVE, 5)).containsExactly("a", "b");
        assertThat(roll.next(1, List.of("c", "d", "e"), 5)).isEmpty();
        roll.back("b");
        assertThat(roll.next(2, List.of("b", "c", "d", "e"), 5)).isEmpty();
        roll.back("a");
        assertThat(roll.next(3, FIVE, 5)).containsExactly("c", "d");
        roll.back("c");
        roll.back("d");
        assertThat(roll.next(4, FIVE, 5)).containsExactly("e");
        roll.back("e");
        roll.next(5, FIVE, 5);
        assertThat(roll.phase()).isEqualTo(Phase.DONE);
        assertThat(roll.done()).containsExactly("b", "a", "c", "d", "e");
    }

    @Test
    void whatIsOutByItselfCounts() {
        FleetRoll roll = roll(3, 2);
        assertThat(roll.next(0, List.of("b", "c", "d", "e"), 5)).as("a is out: one more may be").containsExactly("b");
        FleetRoll full = roll(3, 2);
        assertThat(full.next(0, List.of("c", "d", "e"), 5)).isEmpty();
        assertThat(full.phase()).isEqualTo(Phase.RUNNING);
        assertThat(full.next(1, FIVE, 5)).containsExactly("a", "b");
    }

    @Test
    void aBatchThatDoesNotComeBackHaltsTheRollUntilItIsResumed() {
        FleetRoll roll = roll(2, 5);
        roll.next(0, FIVE, 5);
        roll.back("a");
        roll.next(100, List.of("a", "c", "d", "e"), 5);
        assertThat(roll.phase()).isEqualTo(Phase.HALTED);
        assertThat(roll.next(101, FIVE, 5)).isEmpty();
        roll.resume(150);
        roll.next(200, List.of("a", "c", "d", "e"), 5);
        assertThat(roll.phase()).isEqualTo(Phase.RUNNING);
        roll.back("b");
        assertThat(roll.next(201, FIVE, 5)).containsExactly("c", "d");
    }

    @Test
    void anAbortedRollBeginsNothingMore() {
        FleetRoll roll = roll(2, 5);
        roll.next(0, FIVE, 5);
        roll.abort();
        roll.back("a");
        roll.back("b");
        assertThat(roll.next(1, FIVE, 5)).isEmpty();
        roll.resume(2);
        assertThat(roll.phase()).isEqualTo(Phase.ABORTED);
    }

    @Test
    void oneThatIsRemovedIsNotWaitedFor() {
        FleetRoll roll = roll(2, 5);
        roll.next(0, FIVE, 5);
        roll.removed("a");
        roll.removed("c");
        roll.back("b");
        assertThat(roll.next(1, List.of("b", "d", "e"), 3)).containsExactly("d", "e");
    }

    /** All ways in which three instances come back, fail by themselves and recover, up to a depth. */
    @Test
    void neverAreMoreOutThanAllowedWhateverFailsMeanwhile() {
        for (int batch = 1; batch <= 3; batch++) {
            for (int mostOut = 1; mostOut <= 3; mostOut++) {
                explore(batch, mostOut, new ArrayList<>());
            }
        }
    }

    private static final int DEPTH = 8;

    private static void explore(int batch, int mostOut, List<Integer> story) {
        if (story.size() == DEPTH) {
            play(batch, mostOut, story);
            return;
        }
        for (int event = 0; event < 4; event++) {
            story.add(event);
            explore(batch, mostOut, story);
            story.remove(story.size() - 1);
        }
    }

    /** Event i below 3: instance i goes up if it is down, down if it is up. Event 3: the roll's turn. */
    private static void play(int batch, int mostOut, List<Integer> story) {
        List<String> all = List.of("0", "1", "2");
        FleetRoll roll = new FleetRoll(all, new Bounds(batch, mostOut, 1_000_000));
        Set<String> ready = new HashSet<>(all);
        int now = 0;
        for (int event : story) {
            now++;
            if (event < 3) {
                String name = all.get(event);
                if (ready.add(name)) {
                    roll.back(name);
                } else {
                    ready.remove(name);
                }
                continue;
            }
            int outBefore = 3 - ready.size();
            List<String> next = roll.next(now, ready, 3);
            if (!next.isEmpty() && outBefore + next.size() > mostOut || next.size() > batch
                    || !ready.containsAll(next)) {
                throw new AssertionError(story + ": " + next + " with " + outBefore + " out");
            }
            ready.removeAll(next);
            Set<String> known = new HashSet<>(roll.out());
            known.addAll(roll.done());
            known.addAll(roll.left());
            if (!known.containsAll(all)) {
                throw new AssertionError(story + ": lost one");
            }
        }
    }

    @Test
    void aReloadIsSplitIntoWhatComesGoesChangesAndStays() {
        ReloadPlan plan = ReloadPlan.between(Map.of("a", 1, "b", 2, "c", 3), Map.of("b", 2, "c", 4, "d", 5));
        assertThat(plan.added()).containsExactly("d");
        assertThat(plan.removed()).containsExactly("a");
        assertThat(plan.changed()).containsExactly("c");
        assertThat(plan.untouched()).containsExactly("b");
        assertThat(plan.isEmpty()).isFalse();
        assertThat(ReloadPlan.between(Map.of("a", 1), Map.of("a", 1)).isEmpty()).isTrue();
    }
}
