package dapplequay.lifecycle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A rolling restart of many instances in batches. A batch begins only when the previous one is ready again, and never
 * are more instances unavailable than allowed, including those that are unavailable for other reasons. A batch that is
 * not ready in time halts the restart until {@link #resume} is called. Times are microseconds.
 */
public final class RollingRestart {
    /** The phases of a rolling restart. */
    public enum Phase { RUNNING, HALTED, DONE, ABORTED }

    /**
     * The limits of a rolling restart.
     *
     * @param batchSize      instances to restart at a time, 1 or more
     * @param maxUnavailable instances that may be unavailable at once, for whatever reason, 1 or more
     * @param readyTimeoutUs time for a batch to become ready again; a longer one halts the restart
     */
    public record Limits(int batchSize, int maxUnavailable, long readyTimeoutUs) {
        public Limits {
            if (batchSize < 1 || maxUnavailable < 1 || readyTimeoutUs <= 0) {
                throw new IllegalArgumentException("limits are out of range: " + batchSize + ", "
                        + maxUnavailable + ", " + readyTimeoutUs);
            }
        }
    }

    private final Limits limits;
    private final ArrayDeque<String> pending;
    private final Set<String> restarting = new LinkedHashSet<>();
    private final List<String> completed = new ArrayList<>();
    private Phase phase = Phase.RUNNING;
    private long readyDeadlineUs = Long.MAX_VALUE;

    /** Creates a rolling restart of the given instances, in this order. */
    public RollingRestart(Collection<String> instances, Limits limits) {
        this.limits = limits;
        pending = new ArrayDeque<>(new LinkedHashSet<>(instances));
    }

    public Phase phase() {
        return phase;
    }

    /** Returns the instances of the current batch that are not ready yet. */
    public Set<String> restarting() {
        return Set.copyOf(restarting);
    }

    /** Returns the instances that are ready again. */
    public List<String> completed() {
        return List.copyOf(completed);
    }

    /** Returns the instances that are not restarted yet. */
    public List<String> pending() {
        return List.copyOf(pending);
    }

    /** Records that an instance of the current batch is ready again. */
    public void instanceReady(String instance) {
        if (restarting.remove(instance)) {
            completed.add(instance);
        }
    }

    /** Records that the configuration no longer has the instance: it is neither waited for nor restarted. */
    public void instanceRemoved(String instance) {
        restarting.remove(instance);
        pending.remove(instance);
    }

    /**
     * Returns the instances to restart now; none while a batch is in progress or if the limits allow none.
     *
     * @param ready         all instances that are ready now; any other counts as unavailable, whatever the reason
     * @param instanceCount the number of all instances
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
            // An instance that is unavailable for another reason is restarted once it is ready again.
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

    /** Continues after a halt; the current batch gets a new time-out. */
    public void resume(long nowUs) {
        if (phase == Phase.HALTED) {
            phase = Phase.RUNNING;
            readyDeadlineUs = nowUs + limits.readyTimeoutUs();
        }
    }

    /** Begins no further batch; the current one is not waited for. */
    public void abort() {
        if (phase == Phase.RUNNING || phase == Phase.HALTED) {
            phase = Phase.ABORTED;
        }
    }
}
