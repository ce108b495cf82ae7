package dapplequay.discovery;

import dapplequay.discovery.Transition.Cause;
import dapplequay.facade.ListUpdate;
import dapplequay.facade.ListUpdate.ServerEntry;
import dapplequay.facade.ListUpdate.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides from the lists of discovery whether new requests may be sent to each server, and until when. Every response
 * of discovery is applied here, so that no two rules together can delay a drain: <b>removing a server never takes
 * longer than its deadline, while adding one may be delayed</b>.
 *
 * <p>A drain or a deletion takes effect at once, whatever its version, address or request. A server that a
 * full list omits becomes {@link ServerStatus#REMOVED} at once if the list is trusted. Otherwise it becomes
 * {@link ServerStatus#UNCONFIRMED} with a deadline within the drain grace. No other event moves that deadline; only a
 * trusted response to a current request that lists the server as serving clears it. A list is trusted if its version
 * continues the known sequence of versions and it does not lose more than half of the servers at once, as happens when
 * discovery has lost its state.
 *
 * <p>Does no I/O and reads no clock; times are microseconds of one monotonic clock. Not thread-safe.
 */
public final class ServerRegistry {
    /** How long the process may be stalled between the check of a deadline and the write that follows. */
    public static final long SEND_DELAY_MARGIN_US = 150_000;
    /** How long lists of a lower version are treated as a mistake, so that they add no servers. */
    public static final long REGRESSION_TIMEOUT_US = 30_000_000;
    /** How long a removal is remembered, so that a response to an earlier request does not undo it. */
    private static final long REMOVAL_MEMORY_US = 30_000_000;
    private static final int MAX_REMEMBERED_REMOVALS = 4_096;
    /** If a list loses a larger share of the servers than this, it is requested again before it counts. */
    private static final double MAX_LOSS_SHARE = 0.5;
    /** With fewer usable servers than this, a list may remove any share of them. */
    private static final int MIN_SERVERS_FOR_LOSS_CHECK = 3;
    /** The delay before a doubtful list is requested again, as a share of the time until the next deadline. */
    private static final double REFETCH_DELAY_SHARE = 0.25;
    private static final long NEVER = Long.MAX_VALUE;

    /** A listed server. */
    private static final class TrackedServer {
        private ServerEntry entry;
        private ServerStatus status;
        private long statusSinceUs;
        private long deadlineUs = NEVER;
        /** When a request was last sent to the server while it was unconfirmed; 0 if none was. */
        private long lastSendUs;
    }

    /** When a server was removed, and when its process had started (Unix time in milliseconds). */
    private record RemovedServer(long removedUs, long bootMs) { }

    private final Map<String, TrackedServer> trackedByUid = new LinkedHashMap<>();
    /** By uid, the oldest removal first. */
    private final Map<String, RemovedServer> recentlyRemoved = new LinkedHashMap<>();
    private int addressGeneration;
    private long revision;
    /** The version of the last list after which no server was unconfirmed. */
    private long confirmedRevision;
    /** True while a list of any version is trusted, as after a change of discovery's address. */
    private boolean acceptsAnyRevision;
    /** When the newest request was made of which a response was trusted. */
    private long newestAppliedRequestUs = Long.MIN_VALUE;
    private boolean fullListNeeded;
    /** True while discovery sends lists of a lower version than {@link #revision}. */
    private boolean isRegressed;
    private long regressionStartUs;
    private int regressedFullLists;
    private long regressedRevision;
    private long nextDeadlineUs = NEVER;
    private Changes changes = new Changes();

    /** The changes made by one event. */
    private static final class Changes {
        private final List<Transition> transitions = new ArrayList<>();
        private final List<ServerEntry> entries = new ArrayList<>();
        private final List<RotationExit> rotationExits = new ArrayList<>();
    }

    /**
     * A server that gets no new requests any more.
     *
     * @param lastSendAfterNewsUs how long after the list that first omitted it a request was last sent to it,
     *                            microseconds; 0 if none was
     */
    public record RotationExit(String uid, long lastSendAfterNewsUs) { }

    /**
     * The result of an event.
     *
     * @param update        the update for the decision module; without entries if nothing changed for it
     * @param transitions   the changes of servers' status
     * @param rotationExits the servers that get no new requests from now on
     */
    public record Result(ListUpdate update, List<Transition> transitions, List<RotationExit> rotationExits) {
        /** Returns how many servers changed to the status for the given cause. */
        public long count(Cause cause, ServerStatus status) {
            return transitions.stream()
                    .filter(transition -> transition.cause() == cause && transition.to() == status).count();
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param acceptsAnyRevision true if the first list is trusted whatever its version, as the versions of the list
     *                           that the registry starts with may belong to another sequence
     */
    public ServerRegistry(boolean acceptsAnyRevision) {
        this.acceptsAnyRevision = acceptsAnyRevision;
    }

    /** Replaces the content with a stored list, without any check. */
    public void restore(long listRevision, Collection<ServerEntry> entries) {
        changes = new Changes();
        trackedByUid.clear();
        entries.forEach(entry -> add(entry, 0));
        revision = listRevision;
        confirmedRevision = listRevision;
    }

    /** Records that discovery has another address from now on; running deadlines stay. */
    public void discoveryMoved() {
        addressGeneration++;
        acceptsAnyRevision = true;
        fullListNeeded = true;
        isRegressed = false;
    }

    /** Returns the request to make now. */
    public ListResponse.Request nextRequest(long nowUs) {
        long after = fullListNeeded ? ListResponse.FULL_LIST : isRegressed ? regressedRevision : revision;
        return new ListResponse.Request(addressGeneration, after, nowUs);
    }

    /**
     * Returns how long to wait before the full list is requested again, microseconds. This gives a discovery service
     * that has lost its state time to recover, and still brings the second response before the first deadline.
     */
    public long refetchDelayUs(long nowUs) {
        return nextDeadlineUs == NEVER ? 0 : (long) (Math.max(0, nextDeadlineUs - nowUs) * REFETCH_DELAY_SHARE);
    }

    /** Returns whether the next request has to ask for the full list. */
    public boolean needsFullList() {
        return fullListNeeded;
    }

    /** Makes the next request ask for the full list, as the last update could not be applied elsewhere. */
    public void requestFullList() {
        fullListNeeded = true;
    }

    /** Returns whether discovery sends lists of a lower version than the known one. */
    public boolean isRegressed() {
        return isRegressed;
    }

    /** Applies a response; {@code graceLeftUs} is what is left of the drain grace for its content, 0 or more. */
    public Result applyResponse(ListResponse response, long graceLeftUs) {
        forgetOldRemovals(response.receivedUs());
        changes = new Changes();
        boolean isCurrent = response.request().addressGeneration() == addressGeneration;
        if (isCurrent && response.isFull() && response.request().startedUs() >= newestAppliedRequestUs) {
            fullListNeeded = false;
        }
        long deadlineUs = response.receivedUs() + Math.max(0, graceLeftUs - SEND_DELAY_MARGIN_US);
        if (!isCurrent || response.request().startedUs() < newestAppliedRequestUs) {
            applyRemovalsOnly(response, deadlineUs);
            fullListNeeded |= !changes.transitions.isEmpty();      // the current state is requested again
            return result(ListUpdate.Kind.DELTA, changes.entries);
        }
        if (isDeltaOfUnknownList(response) || !acceptsAnyRevision && response.revision() < revision) {
            return applyRegressed(response, deadlineUs);
        }
        return applyTrusted(response, deadlineUs);
    }

    /**
     * Returns whether the response is a delta to a list that is not known: one of a lower version than the request
     * names, or, while any version is accepted, one in place of a full list.
     */
    private boolean isDeltaOfUnknownList(ListResponse response) {
        long after = response.request().after();
        boolean isUnknown = after == ListResponse.FULL_LIST ? acceptsAnyRevision : response.revision() < after;
        return !response.isFull() && isUnknown;
    }

    /** Applies a response of a lower version: removals at once, additions only after a time-out. */
    private Result applyRegressed(ListResponse response, long deadlineUs) {
        if (!isRegressed) {
            isRegressed = true;
            regressionStartUs = response.receivedUs();
            regressedFullLists = 0;
            regressedRevision = ListResponse.FULL_LIST;
        }
        boolean isTimedOut = response.receivedUs() - regressionStartUs >= REGRESSION_TIMEOUT_US;
        if (isTimedOut && response.isFull()) {
            return applyTrusted(response, deadlineUs);
        }
        applyRemovalsOnly(response, deadlineUs);
        boolean isFollowed;
        if (response.isFull()) {
            regressedFullLists++;
            regressedRevision = response.revision();
            isFollowed = regressedFullLists > 1;       // the first may be a mistake that the second one corrects
        } else {
            isFollowed = !isTimedOut && regressedFullLists > 0 && response.request().after() == regressedRevision
                    && response.revision() >= regressedRevision;
            regressedRevision = isFollowed ? response.revision() : regressedRevision;
        }
        fullListNeeded = !isFollowed;
        return result(ListUpdate.Kind.DELTA, changes.entries);
    }

    /** Applies only the removals of a response that is not trusted. */
    private void applyRemovalsOnly(ListResponse response, long deadlineUs) {
        Set<String> namedUids = new HashSet<>();
        for (ServerEntry entry : response.update().entries()) {
            namedUids.add(entry.uid());
            TrackedServer tracked = trackedByUid.get(entry.uid());
            if (tracked == null) {
                continue;
            }
            // A drain of an earlier process of the server does not concern the current one.
            if (entry.state() == State.DRAINING && entry.bootMs() >= tracked.entry.bootMs() && isUsable(tracked)) {
                drain(tracked, tracked.entry, response.receivedUs());
            } else if (entry.state() == State.DELETED) {
                remove(tracked, Cause.NAMED_DELETED, response.receivedUs());
            }
        }
        if (response.isFull()) {
            for (TrackedServer tracked : List.copyOf(trackedByUid.values())) {
                if (!namedUids.contains(tracked.entry.uid()) && isUsable(tracked)) {
                    markLeftOut(tracked, response.receivedUs(), deadlineUs);
                }
            }
        }
    }

    private static boolean isUsable(TrackedServer tracked) {
        return tracked.status == ServerStatus.SERVING || tracked.status == ServerStatus.UNCONFIRMED;
    }

    /** Handles a server that a doubtful list omits: sets a deadline the first time, removes it the second time. */
    private void markLeftOut(TrackedServer tracked, long nowUs, long deadlineUs) {
        if (tracked.status == ServerStatus.UNCONFIRMED || deadlineUs <= nowUs) {
            remove(tracked, tracked.status == ServerStatus.UNCONFIRMED ? Cause.LEFT_OUT_AGAIN : Cause.LEFT_OUT, nowUs);
            return;
        }
        changeStatus(tracked, ServerStatus.UNCONFIRMED, Cause.LEFT_OUT, nowUs);
        tracked.deadlineUs = deadlineUs;
        tracked.lastSendUs = 0;
        nextDeadlineUs = Math.min(nextDeadlineUs, deadlineUs);
    }

    private void updateNextDeadline() {
        nextDeadlineUs = trackedByUid.values().stream().mapToLong(tracked -> tracked.deadlineUs).min().orElse(NEVER);
    }

    /** Applies a trusted response completely, except for servers that it seems to have lost. */
    private Result applyTrusted(ListResponse response, long deadlineUs) {
        boolean wasRegressed = isRegressed;
        isRegressed = false;
        acceptsAnyRevision = false;
        newestAppliedRequestUs = response.request().startedUs();
        if (response.isFull()) {
            removeLeftOut(response, deadlineUs);
        }
        boolean isPartial = false;
        for (ServerEntry entry : response.update().entries()) {
            isPartial |= !applyEntry(entry, response);
        }
        revision = response.revision();
        updateNextDeadline();
        boolean isConfirmed = nextDeadlineUs == NEVER;
        confirmedRevision = isConfirmed ? revision : confirmedRevision;
        // While versions were lower, lists were applied only in part, so a delta does not complete them.
        fullListNeeded |= !isConfirmed || isPartial || wasRegressed && !response.isFull();
        boolean isAll = response.isFull() && isConfirmed && !isPartial;
        return isAll ? result(ListUpdate.Kind.FULL, response.update().entries())
                : result(ListUpdate.Kind.DELTA, changes.entries);
    }

    /** Applies one entry; returns false if it would add a server that was removed after the request was made. */
    private boolean applyEntry(ServerEntry entry, ListResponse response) {
        TrackedServer tracked = trackedByUid.get(entry.uid());
        if (entry.state() == State.DELETED) {
            if (tracked != null) {
                remove(tracked, Cause.NAMED_DELETED, response.receivedUs());
            }
            return true;
        }
        if (entry.state() == State.DRAINING) {
            if (tracked == null) {
                add(entry, response.receivedUs());
            } else {
                drain(tracked, entry, response.receivedUs());
            }
            return true;
        }
        if (isStale(entry, tracked, response.request().startedUs())) {
            return false;
        }
        if (tracked == null) {
            add(entry, response.receivedUs());
            return true;
        }
        tracked.entry = entry;
        tracked.deadlineUs = NEVER;
        if (tracked.status != ServerStatus.SERVING) {
            changeStatus(tracked, ServerStatus.SERVING, Cause.NAMED_SERVING, response.receivedUs());
        }
        changes.entries.add(entry);
        return true;
    }

    /** Returns whether the same process of the server was drained, omitted or removed after the request was made. */
    private boolean isStale(ServerEntry entry, TrackedServer tracked, long startedUs) {
        if (tracked != null) {
            return tracked.status != ServerStatus.SERVING && tracked.statusSinceUs > startedUs
                    && entry.bootMs() <= tracked.entry.bootMs();
        }
        RemovedServer removed = recentlyRemoved.get(entry.uid());
        return removed != null && removed.removedUs > startedUs && entry.bootMs() <= removed.bootMs;
    }

    /** Removes the servers that a trusted list omits; if it omits most of them, they become unconfirmed first. */
    private void removeLeftOut(ListResponse response, long deadlineUs) {
        Set<String> namedUids = new HashSet<>();
        response.update().entries().forEach(entry -> namedUids.add(entry.uid()));
        List<TrackedServer> missing = trackedByUid.values().stream()
                .filter(tracked -> !namedUids.contains(tracked.entry.uid())).toList();
        long usableCount = trackedByUid.values().stream().filter(ServerRegistry::isUsable).count();
        long lostCount = missing.stream().filter(ServerRegistry::isUsable).count();
        boolean isLossSuspicious = usableCount >= MIN_SERVERS_FOR_LOSS_CHECK
                && lostCount > usableCount * MAX_LOSS_SHARE;
        for (TrackedServer tracked : missing) {
            if (isLossSuspicious && isUsable(tracked)) {
                markLeftOut(tracked, response.receivedUs(), deadlineUs);
            } else {
                remove(tracked, Cause.LEFT_OUT, response.receivedUs());
            }
        }
    }

    private void add(ServerEntry entry, long nowUs) {
        TrackedServer tracked = new TrackedServer();
        tracked.entry = entry;
        tracked.status = entry.state() == State.SERVING ? ServerStatus.SERVING : ServerStatus.DRAINING;
        tracked.statusSinceUs = nowUs;
        trackedByUid.put(entry.uid(), tracked);
        recentlyRemoved.remove(entry.uid());
        changes.entries.add(entry);
        boolean isServing = tracked.status == ServerStatus.SERVING;
        changes.transitions.add(new Transition(entry.uid(), ServerStatus.REMOVED, tracked.status,
                isServing ? Cause.NAMED_SERVING : Cause.NAMED_DRAINING, 0));
    }

    private void drain(TrackedServer tracked, ServerEntry entry, long nowUs) {
        tracked.entry = withState(State.DRAINING, entry);
        if (tracked.status != ServerStatus.DRAINING) {
            recordRotationExit(tracked);
            changeStatus(tracked, ServerStatus.DRAINING, Cause.NAMED_DRAINING, nowUs);
        }
        tracked.deadlineUs = NEVER;
        changes.entries.add(tracked.entry);
    }

    private void remove(TrackedServer tracked, Cause cause, long nowUs) {
        if (isUsable(tracked)) {
            recordRotationExit(tracked);
        }
        trackedByUid.remove(tracked.entry.uid());
        recentlyRemoved.remove(tracked.entry.uid());
        recentlyRemoved.put(tracked.entry.uid(), new RemovedServer(nowUs, tracked.entry.bootMs()));
        changes.entries.add(withState(State.DELETED, tracked.entry));
        changeStatus(tracked, ServerStatus.REMOVED, cause, nowUs);
    }

    private void recordRotationExit(TrackedServer tracked) {
        boolean receivedWork = tracked.status == ServerStatus.UNCONFIRMED && tracked.lastSendUs > 0;
        changes.rotationExits.add(new RotationExit(tracked.entry.uid(),
                receivedWork ? tracked.lastSendUs - tracked.statusSinceUs : 0));
    }

    private void changeStatus(TrackedServer tracked, ServerStatus to, Cause cause, long nowUs) {
        changes.transitions.add(
                new Transition(tracked.entry.uid(), tracked.status, to, cause, nowUs - tracked.statusSinceUs));
        tracked.status = to;
        tracked.statusSinceUs = nowUs;
    }

    private static ServerEntry withState(State state, ServerEntry entry) {
        return new ServerEntry(entry.uid(), entry.zone(), entry.cell(), state, entry.weight(), entry.bootMs());
    }

    private Result result(ListUpdate.Kind kind, List<ServerEntry> entries) {
        return new Result(new ListUpdate(kind, entries), List.copyOf(changes.transitions),
                List.copyOf(changes.rotationExits));
    }

    private void forgetOldRemovals(long nowUs) {
        Iterator<RemovedServer> oldest = recentlyRemoved.values().iterator();
        while (oldest.hasNext()) {
            boolean isExpired = nowUs - oldest.next().removedUs > REMOVAL_MEMORY_US;
            if (!isExpired && recentlyRemoved.size() <= MAX_REMEMBERED_REMOVALS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns when {@link #expire} has to be called next; {@link Long#MAX_VALUE} if no deadline runs. */
    public long nextDeadlineUs() {
        return nextDeadlineUs;
    }

    /** Removes the servers whose deadline has passed. */
    public Result expire(long nowUs) {
        changes = new Changes();
        if (nowUs >= nextDeadlineUs) {
            for (TrackedServer tracked : List.copyOf(trackedByUid.values())) {
                if (nowUs >= tracked.deadlineUs) {
                    remove(tracked, Cause.DEADLINE, nowUs);
                }
            }
            updateNextDeadline();
            confirmedRevision = nextDeadlineUs == NEVER ? revision : confirmedRevision;
        }
        return result(ListUpdate.Kind.DELTA, changes.entries);
    }

    /** Returns whether a request may be sent to the server now; to be checked right before its first byte. */
    public boolean maySend(String uid, long nowUs) {
        TrackedServer tracked = trackedByUid.get(uid);
        return tracked != null && isUsable(tracked) && nowUs < tracked.deadlineUs;
    }

    /** Records that a request is sent to the server. */
    public void recordSend(String uid, long nowUs) {
        TrackedServer tracked = trackedByUid.get(uid);
        if (tracked != null && tracked.status == ServerStatus.UNCONFIRMED) {
            tracked.lastSendUs = nowUs;
        }
    }

    /** Returns the status of the server; {@link ServerStatus#REMOVED} if it is not listed. */
    public ServerStatus statusOf(String uid) {
        TrackedServer tracked = trackedByUid.get(uid);
        return tracked == null ? ServerStatus.REMOVED : tracked.status;
    }

    /** Returns the last known entries of the listed servers; an unconfirmed one is returned as draining. */
    public List<ServerEntry> listedEntries() {
        return trackedByUid.values().stream().map(tracked -> isUsable(tracked) && tracked.status != ServerStatus.SERVING
                ? withState(State.DRAINING, tracked.entry) : tracked.entry).toList();
    }

    /** Returns the version of the last list that was trusted or restored. */
    public long revision() {
        return revision;
    }

    /**
     * Returns the version that a later process may start from: the changes after it include the servers that are
     * unconfirmed now.
     */
    public long confirmedRevision() {
        return confirmedRevision;
    }

    /** Returns how many servers are listed, including those that drain. */
    public int size() {
        return trackedByUid.size();
    }
}
