package dapplequay.lifecycle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A restart of many instances, some at a time: pure, time passed in, in microseconds. A batch begins only when
 * the one before is back; never are more instances out than allowed, and those that are out for reasons of
 * their own count. A batch that does not come back in time halts the roll, and somebody has to resume it.
 */
public final class FleetRoll {
    /** Where a roll stands. */
    public enum Phase { RUNNING, HALTED, DONE, ABORTED }

    /**
     * What a roll keeps to.
     *
     * @param batch       instances at a time, 1 or more
     * @param mostOut     instances that may be out at once, for whatever reason, 1 or more
     * @param backWithinUs a batch that takes longer to be ready again halts the roll
     */
    public record Bounds(int batch, int mostOut, long backWithinUs) {
        public Bounds {
            if (batch < 1 || mostOut < 1 || backWithinUs <= 0) {
                throw new IllegalArgumentException("bounds are out of range: " + batch + ", " + mostOut + ", "
                        + backWithinUs);
            }
        }
    }

    private final Bounds bounds;
    private final ArrayDeque<String> left;
    private final Set<String> out = new LinkedHashSet<>();
    private final List<String> done = new ArrayList<>();
    private Phase phase = Phase.RUNNING;
    private long backByUs = Long.MAX_VALUE;

    /** Over these instances, in this order. */
    public FleetRoll(Collection<String> instances, Bounds bounds) {
        this.bounds = bounds;
        left = new ArrayDeque<>(new LinkedHashSet<>(instances));
    }

    public Phase phase() {
        return phase;
    }

    /** Instances of the batch under way that are not back yet. */
    public Set<String> out() {
        return Set.copyOf(out);
    }

    /** Instances that are back. */
    public List<String> done() {
        return List.copyOf(done);
    }

    /** Instances whose turn has not come. */
    public List<String> left() {
        return List.copyOf(left);
    }

    /** This one of the batch serves again. */
    public void back(String instance) {
        if (out.remove(instance)) {
            done.add(instance);
        }
    }

    /** This one is no more: the configuration has dropped it. It is neither waited for nor rolled. */
    public void removed(String instance) {
        out.remove(instance);
        left.remove(instance);
    }

    /**
     * Which instances are to be restarted now. {@code ready}: all that serve at this moment; {@code all}: how many
     * there are. Those that are not ready count as out, whether this roll has them out or not.
     */
    public List<String> next(long nowUs, Collection<String> ready, int all) {
        if (phase != Phase.RUNNING) {
            return List.of();
        }
        if (!out.isEmpty()) {
            if (nowUs >= backByUs) {
                phase = Phase.HALTED;
            }
            return List.of();
        }
        if (left.isEmpty()) {
            phase = Phase.DONE;
            return List.of();
        }
        int outAlready = all - ready.size();
        int may = Math.min(bounds.batch(), bounds.mostOut() - outAlready);
        List<String> batch = new ArrayList<>();
        for (Iterator<String> each = left.iterator(); each.hasNext() && batch.size() < may;) {
            String instance = each.next();
            // One that is out by itself comes back on its own; its turn is when it has.
            if (ready.contains(instance)) {
                each.remove();
                batch.add(instance);
            }
        }
        if (!batch.isEmpty()) {
            out.addAll(batch);
            backByUs = nowUs + bounds.backWithinUs();
        }
        return batch;
    }

    /** Goes on after a halt: what is still out is waited for as long again. */
    public void resume(long nowUs) {
        if (phase == Phase.HALTED) {
            phase = Phase.RUNNING;
            backByUs = nowUs + bounds.backWithinUs();
        }
    }

    /** Begins no further batch; what is out comes back by itself. */
    public void abort() {
        if (phase == Phase.RUNNING || phase == Phase.HALTED) {
            phase = Phase.ABORTED;
        }
    }
}
