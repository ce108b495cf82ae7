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
 * Whether new work may be sent to each server, until when at the latest, and why. All that discovery says goes through
 * here, so that no two rules can put off a drain between them: <b>what takes a server out never waits longer than its
 * deadline, what brings one in may wait</b>.
 *
 * <p>A drain or a deletion counts at once, whichever version, address or call it comes from. A server that a whole list
 * leaves out is {@link ServerStatus#REMOVED} at once where the list is trusted, and else
 * {@link ServerStatus#UNCONFIRMED} with a deadline that lies inside the drain's grace; once set, no other event moves
 * it: only a trusted list that was asked for and names the server ends it. A list is trusted where it belongs to the
 * count of versions that is followed, and does not lose more than half of the servers at once, as a discovery does that
 * has lost its state.
 *
 * <p>Pure; times are microseconds of one monotonic clock. Not thread-safe.
 */
public final class ServerRegistry {
    /** A process may be held up this long, us, between looking at a deadline and writing. */
    public static final long SEND_DELAY_MARGIN_US = 150_000;
    /** For so long, us, what lists of a lower version bring in is taken for a mistake. */
    public static final long REGRESSION_TIMEOUT_US = 30_000_000;
    /** A server that was taken out is remembered for so long, us, against answers to calls made before. */
    private static final long REMOVAL_MEMORY_US = 30_000_000;
    private static final int MAX_REMEMBERED_REMOVALS = 4_096;
    /** Losing a larger share of the servers than this at once is asked about again. */
    private static final double MAX_LOSS_SHARE = 0.5;
    /** Of fewer servers than this, any share may go at once. */
    private static final int MIN_SERVERS_FOR_LOSS_CHECK = 3;
    /** Of the time until the next deadline: the pause before a doubtful list is asked about again. */
    private static final double REFETCH_DELAY_SHARE = 0.25;
    private static final long NEVER = Long.MAX_VALUE;

    /** A listed server. {@code statusSinceUs}: since when; {@code lastSendUs}: its last send while unconfirmed, or 0. */
    private static final class TrackedServer {
        private ServerEntry entry;
        private ServerStatus status;
        private long statusSinceUs;
        private long deadlineUs = NEVER;
        private long lastSendUs;
    }

    /** A server that is gone, and the start of the process that it was. */
    private record RemovedServer(long removedUs, long bootMs) { }

    private final Map<String, TrackedServer> trackedByUid = new LinkedHashMap<>();
    private final Map<String, RemovedServer> recentlyRemoved = new LinkedHashMap<>();      // the first to have gone first
    private int addressGeneration;
    private long revision;
    /** The version of the last list that was taken over with nothing left unconfirmed. */
    private long confirmedRevision;
    private boolean acceptsAnyRevision;
    private long newestAppliedRequestUs = Long.MIN_VALUE;     // of the answers that were taken over in full
    private boolean fullListNeeded;
    private boolean isRegressed;                    // lists of a lower version come
    private long regressionStartUs;
    private int regressedFullLists;
    private long regressedRevision;
    private long nextDeadlineUs = NEVER;
    private Changes changes = new Changes();

    /** What one event has changed. */
    private static final class Changes {
        private final List<Transition> transitions = new ArrayList<>();
        private final List<ServerEntry> entries = new ArrayList<>();
        private final List<RotationExit> rotationExits = new ArrayList<>();
    }

    /** For a server that was taken out: how long after the news the last work was sent to it, microseconds. */
    public record RotationExit(String uid, long lastSendAfterNewsUs) { }

    /**
     * What came of an event.
     *
     * @param news        for the decision module; no lines where it has nothing to learn
     * @param transitions of servers' statuses
     * @param rotationExits    the servers that get no new work from now on
     */
    public record Result(ListUpdate update, List<Transition> transitions, List<RotationExit> rotationExits) {
        /** How many servers came to have that status for that cause. */
        public long count(Cause cause, ServerStatus status) {
            return transitions.stream().filter(transition -> transition.cause() == cause && transition.to() == status).count();
        }
    }

    /** {@code acceptsAnyRevision}: the list that it begins with binds nobody, as the count of its versions may be another. */
    public ServerRegistry(boolean acceptsAnyRevision) {
        this.acceptsAnyRevision = acceptsAnyRevision;
    }

    /** The list to begin with: taken over as it is. */
    public void restore(long listRevision, Collection<ServerEntry> entries) {
        changes = new Changes();
        trackedByUid.clear();
        entries.forEach(entry -> add(entry, 0));
        revision = listRevision;
        confirmedRevision = listRevision;
    }

    /** Discovery is at another address from now on; deadlines that run stay. */
    public void discoveryMoved() {
        addressGeneration++;
        acceptsAnyRevision = true;
        fullListNeeded = true;
        isRegressed = false;
    }

    /** The call to make next, at that time. */
    public ListResponse.Request nextRequest(long nowUs) {
        long after = fullListNeeded ? ListResponse.FULL_LIST : isRegressed ? regressedRevision : revision;
        return new ListResponse.Request(addressGeneration, after, nowUs);
    }

    /**
     * How long to wait after an answer before all is asked for again, microseconds: a discovery that has lost its state
     * may find it again, and its second answer has to come before the first deadline.
     */
    public long refetchDelayUs(long nowUs) {
        return nextDeadlineUs == NEVER ? 0 : (long) (Math.max(0, nextDeadlineUs - nowUs) * REFETCH_DELAY_SHARE);
    }

    /** Whether the next call has to ask for the whole list. */
    public boolean needsFullList() {
        return fullListNeeded;
    }

    /** The last list could not be used by others: all of it is asked for again. */
    public void requestFullList() {
        fullListNeeded = true;
    }

    /** Whether lists of a lower version than the one known are coming. */
    public boolean isRegressed() {
        return isRegressed;
    }

    /** Takes in an answer; {@code graceLeftUs}: what is left of the drain's grace for what it brings, 0 or more. */
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
            fullListNeeded |= !changes.transitions.isEmpty();      // the newer word is asked for again
            return result(ListUpdate.Kind.DELTA, changes.entries);
        }
        if (isDeltaOfUnknownList(response) || !acceptsAnyRevision && response.revision() < revision) {
            return applyRegressed(response, deadlineUs);
        }
        return applyTrusted(response, deadlineUs);
    }

    /** Changes to a list that is not known: of a lower version than the one asked after, or, asked for all, of any. */
    private boolean isDeltaOfUnknownList(ListResponse response) {
        long after = response.request().after();
        boolean isUnknown = after == ListResponse.FULL_LIST ? acceptsAnyRevision : response.revision() < after;
        return !response.isFull() && isUnknown;
    }

    /** An answer of a lower version: it takes out, and what it brings in waits. */
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
            isFollowed = regressedFullLists > 1;       // the first may be a mistake that the next one shows
        } else {
            isFollowed = !isTimedOut && regressedFullLists > 0 && response.request().after() == regressedRevision
                    && response.revision() >= regressedRevision;
            regressedRevision = isFollowed ? response.revision() : regressedRevision;
        }
        fullListNeeded = !isFollowed;
        return result(ListUpdate.Kind.DELTA, changes.entries);
    }

    /** Of an answer that is not trusted, what it takes out. */
    private void applyRemovalsOnly(ListResponse response, long deadlineUs) {
        Set<String> namedUids = new HashSet<>();
        for (ServerEntry entry : response.update().entries()) {
            namedUids.add(entry.uid());
            TrackedServer tracked = trackedByUid.get(entry.uid());
            if (tracked == null) {
                continue;
            }
            // A drain before a later start of the server is over.
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

    /** A list that may be wrong leaves it out: the first time the deadline is set, the second time it is gone. */
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

    /** All of an answer counts, but for servers that it seems to have lost. */
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
        // Changes to a list of which, while versions were lower, not all was taken over.
        fullListNeeded |= !isConfirmed || isPartial || wasRegressed && !response.isFull();
        boolean isAll = response.isFull() && isConfirmed && !isPartial;
        return isAll ? result(ListUpdate.Kind.FULL, response.update().entries())
                : result(ListUpdate.Kind.DELTA, changes.entries);
    }

    /** False where the line would bring back what was taken out after the call was made. */
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

    /** Whether the server, being the same process, was taken or left out after the call was made. */
    private boolean isStale(ServerEntry entry, TrackedServer tracked, long startedUs) {
        if (tracked != null) {
            return tracked.status != ServerStatus.SERVING && tracked.statusSinceUs > startedUs
                    && entry.bootMs() <= tracked.entry.bootMs();
        }
        RemovedServer removed = recentlyRemoved.get(entry.uid());
        return removed != null && removed.removedUs > startedUs && entry.bootMs() <= removed.bootMs;
    }

    /** The servers that a trusted list leaves out are gone; where they are most of all, they are unconfirmed first. */
    private void removeLeftOut(ListResponse response, long deadlineUs) {
        Set<String> namedUids = new HashSet<>();
        response.update().entries().forEach(entry -> namedUids.add(entry.uid()));
        List<TrackedServer> missing = trackedByUid.values().stream().filter(tracked -> !namedUids.contains(tracked.entry.uid())).toList();
        long usableCount = trackedByUid.values().stream().filter(ServerRegistry::isUsable).count();
        long lostCount = missing.stream().filter(ServerRegistry::isUsable).count();
        boolean isLossSuspicious = usableCount >= MIN_SERVERS_FOR_LOSS_CHECK && lostCount > usableCount * MAX_LOSS_SHARE;
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
        changes.rotationExits.add(new RotationExit(tracked.entry.uid(), receivedWork ? tracked.lastSendUs - tracked.statusSinceUs : 0));
    }

    private void changeStatus(TrackedServer tracked, ServerStatus to, Cause cause, long nowUs) {
        changes.transitions.add(new Transition(tracked.entry.uid(), tracked.status, to, cause, nowUs - tracked.statusSinceUs));
        tracked.status = to;
        tracked.statusSinceUs = nowUs;
    }

    private static ServerEntry withState(State state, ServerEntry entry) {
        return new ServerEntry(entry.uid(), entry.zone(), entry.cell(), state, entry.weight(), entry.bootMs());
    }

    private Result result(ListUpdate.Kind kind, List<ServerEntry> entries) {
        return new Result(new ListUpdate(kind, entries), List.copyOf(changes.transitions), List.copyOf(changes.rotationExits));
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

    /** When {@link #expire} has something to do next; {@link Long#MAX_VALUE} where no deadline runs. */
    public long nextDeadlineUs() {
        return nextDeadlineUs;
    }

    /** Takes out the servers whose deadline has come. */
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

    /** Whether new work may go to the server now: asked right before its first byte. */
    public boolean maySend(String uid, long nowUs) {
        TrackedServer tracked = trackedByUid.get(uid);
        return tracked != null && isUsable(tracked) && nowUs < tracked.deadlineUs;
    }

    /** Work went out to it. */
    public void recordSend(String uid, long nowUs) {
        TrackedServer tracked = trackedByUid.get(uid);
        if (tracked != null && tracked.status == ServerStatus.UNCONFIRMED) {
            tracked.lastSendUs = nowUs;
        }
    }

    /** Its status; {@link ServerStatus#REMOVED} where it is not listed. */
    public ServerStatus statusOf(String uid) {
        TrackedServer tracked = trackedByUid.get(uid);
        return tracked == null ? ServerStatus.REMOVED : tracked.status;
    }

    /** The listed servers' lines, as last heard; of an unconfirmed one, as if it drained. */
    public List<ServerEntry> listedEntries() {
        return trackedByUid.values().stream().map(tracked -> isUsable(tracked) && tracked.status != ServerStatus.SERVING
                ? withState(State.DRAINING, tracked.entry) : tracked.entry).toList();
    }

    /** The version known. */
    public long revision() {
        return revision;
    }

    /** The version with which a later life may begin: changes after it tell of those that are unconfirmed now. */
    public long confirmedRevision() {
        return confirmedRevision;
    }

    /** How many servers are listed, those that drain included. */
    public int size() {
        return trackedByUid.size();
    }
}
