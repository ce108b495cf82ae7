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
public final class RollingRestart {
    /** Where a roll stands. */
    public enum Phase { RUNNING, HALTED, DONE, ABORTED }

    /**
     * What a roll keeps to.
     *
     * @param batchSize instances at a time, 1 or more
     * @param maxUnavailable     instances that may be out at once, for whatever reason, 1 or more
     * @param readyTimeoutUs a batch that takes longer to be ready again halts the roll
     */
    public record Limits(int batchSize, int maxUnavailable, long readyTimeoutUs) {
        public Limits {
            if (batchSize < 1 || maxUnavailable < 1 || readyTimeoutUs <= 0) {
                throw new IllegalArgumentException("bounds are out of range: " + batchSize + ", " + maxUnavailable + ", "
                        + readyTimeoutUs);
            }
        }
    }

    private final Limits limits;
    private final ArrayDeque<String> pending;
    private final Set<String> restarting = new LinkedHashSet<>();
    private final List<String> completed = new ArrayList<>();
    private Phase phase = Phase.RUNNING;
    private long readyDeadlineUs = Long.MAX_VALUE;

    /** Over these instances, in this order. */
    public RollingRestart(Collection<String> instances, Limits limits) {
        this.limits = limits;
        pending = new ArrayDeque<>(new LinkedHashSet<>(instances));
    }

    public Phase phase() {
        return phase;
    }

    /** Instances of the batch under way that are not back yet. */
    public Set<String> restarting() {
        return Set.copyOf(restarting);
    }

    /** Instances that are back. */
    public List<String> completed() {
        return List.copyOf(completed);
    }

    /** Instances whose turn has not come. */
    public List<String> pending() {
        return List.copyOf(pending);
    }

    /** This one of the batch serves again. */
    public void instanceReady(String instance) {
        if (restarting.remove(instance)) {
            completed.add(instance);
        }
    }

    /** This one is no more: the configuration has dropped it. It is neither waited for nor rolled. */
    public void instanceRemoved(String instance) {
        restarting.remove(instance);
        pending.remove(instance);
    }

    /**
     * Which instances are to be restarted now. {@code ready}: all that serve at this moment; {@code instanceCount}: how many
     * there are. Those that are not ready count as out, whether this roll has them out or not.
     */
    public List<String> nextBatch(long nowUs, Collection<String> ready, int instanceCount) {
        if (phase != Phase.RUNNING) {
            return List.of();
        }
        if (!restarting.isEmpty()) {
            if (nowUs >= readyDeadlineUs) {
                phase = Phase.HALTED;
            }
            return List.of();
        }
        if (pending.isEmpty()) {
            phase = Phase.DONE;
            return List.of();
        }
        int unavailable = instanceCount - ready.size();
        int allowed = Math.min(limits.batchSize(), limits.maxUnavailable() - unavailable);
        List<String> batch = new ArrayList<>();
        for (Iterator<String> each = pending.iterator(); each.hasNext() && batch.size() < allowed;) {
            String instance = each.next();
            // One that is out by itself comes back on its own; its turn is when it has.
            if (ready.contains(instance)) {
                each.remove();
                batch.add(instance);
            }
        }
        if (!batch.isEmpty()) {
            restarting.addAll(batch);
            readyDeadlineUs = nowUs + limits.readyTimeoutUs();
        }
        return batch;
    }

    /** Goes on after a halt: what is still out is waited for as long again. */
    public void resume(long nowUs) {
        if (phase == Phase.HALTED) {
            phase = Phase.RUNNING;
            readyDeadlineUs = nowUs + limits.readyTimeoutUs();
        }
    }

    /** Begins no further batch; what is out comes back by itself. */
    public void abort() {
        if (phase == Phase.RUNNING || phase == Phase.HALTED) {
            phase = Phase.ABORTED;
        }
    }
}
