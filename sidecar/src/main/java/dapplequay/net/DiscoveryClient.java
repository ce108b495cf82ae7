package dapplequay.net;

import dapplequay.discovery.ListResponse;
import dapplequay.discovery.ServerRegistry;
import dapplequay.discovery.ServerRegistry.Result;
import dapplequay.discovery.ServerStatus;
import dapplequay.discovery.Transition;
import dapplequay.facade.Facade;
import dapplequay.facade.ListUpdate;
import dapplequay.http.Sockets;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.membership.ListCallTiming;
import dapplequay.settings.Json;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The discovery client: watches for changes as long as the module wants that, one call after the other. How long a
 * call is waited for, and how soon the next one follows after a failure, {@link ListCallTiming} says; what an answer
 * changes, the {@link ServerRegistry}.
 *
 * <p>A call that is not waited for any longer, as discovery has moved or its time is over, is <em>superseded</em>: its
 * connection stays open for a while. Discovery may have written its answer by then, which makes known what it says, or
 * may yet come to it in its queue. What such an answer takes out counts at once; what it brings in does not.
 */
final class DiscoveryClient implements Runnable, DiscoveryConnection.Owner {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    /**
     * A connection that is not there after this, us, is asked for again: what is lost of it is sent anew after a
     * second.
     */
    private static final long CONNECT_US = 1_000_000;
    /** A superseded call is read for so long, us: by then what it could bring is known in other ways. */
    static final long SUPERSEDED_US = ListCallTiming.MISSED_TOLD_US + ListCallTiming.WATCH_MISSED_TOLD_US;
    /** More than so many superseded calls are not kept: each holds a descriptor. */
    static final int MOST_SUPERSEDED = 6;
    /** Calls for a whole list that an answer has made necessary begin at least so long apart, us. */
    static final long WHOLE_LISTS_APART_US = 1_000_000;
    /** For so long, us, after it was heard a version counts: a quiet watch, and as long as an older one is refused. */
    static final long VERSION_COUNTS_US = ListCallTiming.LONGEST_WAIT_US + ListCallTiming.WATCH_MISSED_TOLD_US
            + ServerRegistry.REGRESSION_TIMEOUT_US;
    private static final long NEVER = Long.MIN_VALUE;

    /** A call under way; {@code closeAtUs}: when it is not read any longer, once it is superseded. */
    private record Call(ListResponse.Request id, DiscoveryConnection connection, long closeAtUs) {
        Call superseded(long nowUs) {
            return new Call(id, connection, nowUs + SUPERSEDED_US);
        }
    }

    private final Endpoints table;
    private final Facade facade;
    private final UpstreamPool upstreams;
    private final Sidecar.Memory memory;
    private final ListCallTiming clock;
    private final LongSupplier now;
    private final DiscoveryMetrics figures;

    // All that follows changes under the lock.
    private InetSocketAddress discovery;
    private boolean hasMoved;                   // since the last call began
    private DiscoveryConnection connection;     // for the next call; null: a new one
    private Call current;
    private final Deque<Call> superseded = new ArrayDeque<>();
    private int supersededAnswers;              // that were taken over in full
    private long notBeforeUs = NEVER;
    /** When the last call for a whole list began that an answer had made necessary. */
    private long wholeListUs = NEVER;
    private String fault;
    private boolean isEnded;

    /** {@code now}: microseconds, never backwards. */
    DiscoveryClient(InetSocketAddress discovery, Endpoints table, Facade facade, UpstreamPool upstreams,
            Sidecar.Memory memory, ListCallTiming clock, LongSupplier now, DiscoveryMetrics figures) {
        this.discovery = discovery;
        this.memory = memory;
        this.clock = clock;
        this.now = now;
        this.table = table;
        this.facade = facade;
        this.upstreams = upstreams;
        this.figures = figures;
    }

    @Override
    public void run() {
        try {
            while (!isEnded()) {
                awaitNextCall();
                awaitEnd(begin());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            end();
        }
    }

    private synchronized boolean isEnded() {
        return isEnded;
    }

    /** Until the next call may begin; a new address is asked at once. */
    private void awaitNextCall() throws InterruptedException {
        long begunUs = now.getAsLong();
        long pauseUs;
        int answers;
        synchronized (this) {
            pauseUs = clock.longestPauseUs(begunUs);
            answers = supersededAnswers;
        }
        facade.awaitListWanted(pauseUs);
        if (pauseUs != Long.MAX_VALUE) {
            rest(begunUs + pauseUs, () -> clock.keepsPause() && supersededAnswers == answers);
        }
        synchronized (this) {
            rest(notBeforeUs, () -> true);
        }
        awaitMovesApart();
    }

    private synchronized void rest(long untilUs, BooleanSupplier isKept) throws InterruptedException {
        while (!isEnded && !hasMoved && isKept.getAsBoolean() && waitUntil(untilUs)) {
            continue;
        }
    }

    /** Moves in quick succession: what calls for each address would cost a discovery that many ask is kept down. */
    private synchronized void awaitMovesApart() throws InterruptedException {
        while (!isEnded && hasMoved && waitUntil(clock.newAddressCallFromUs())) {
            continue;
        }
    }

    /** Waits until something changes or the time has come; false where it has. Under the lock. */
    private boolean waitUntil(long untilUs) throws InterruptedException {
        long nowUs = now.getAsLong();
        if (nowUs >= untilUs) {
            return false;
        }
        wait((untilUs - nowUs + 999) / 1_000);
        return true;
    }

    /** Another address from now on; a call that is out at the old one is superseded. */
    void moveTo(InetSocketAddress next) {
        synchronized (this) {
            notifyAll();            // other settings, too, may end a pause
            if (next.equals(discovery) || isEnded) {
                return;
            }
            LOG.log(Level.INFO, "discovery is at {0} now, {1}", new Object[] {Sockets.hostAndPort(next),
                current == null ? "no call was out" : "the call that was out is still read"});
            discovery = next;
            hasMoved = true;
            if (current != null) {
                supersede();
            } else if (connection != null) {
                connection.close();
            }
            connection = null;
            notBeforeUs = NEVER;
            wholeListUs = NEVER;
            table.discoveryMoved();
            clock.addressChanged();
        }
        facade.requestListNow();
    }

    /** The call under way is not waited for any longer, and still read. */
    private void supersede() {
        superseded.add(current.superseded(now.getAsLong()));
        current = null;
        connection = null;
        if (superseded.size() > MOST_SUPERSEDED) {
            superseded.remove().connection().close();
        }
    }

    /** No more calls. */
    synchronized void end() {
        isEnded = true;
        notifyAll();
        superseded.forEach(call -> call.connection().close());
        superseded.clear();
        current = null;
        if (connection != null) {
            connection.close();
        }
    }

    /** Begins a call; null where it could not, or is not wanted any more. */
    private synchronized Call begin() {
        if (isEnded) {
            return null;
        }
        hasMoved = false;
        long nowUs = now.getAsLong();
        ListResponse.Request id = table.nextCall(nowUs);
        boolean asksForAll = id.after() == ListResponse.FULL_LIST;
        long waitUs = clock.callBegins(nowUs, asksForAll);
        if (connection == null) {
            connection = new DiscoveryConnection(discovery, this, now);
        }
        current = new Call(id, connection, Long.MAX_VALUE);
        long connectUs = Math.max(1_000, Math.min(clock.callLimitUs() - nowUs, CONNECT_US));
        try {
            connection.call(asksForAll ? "" : "?after=" + id.after() + "&wait_ms=" + Math.max(1, waitUs / 1_000),
                    (int) ((connectUs + 999) / 1_000));
        } catch (OutOfMemoryError e) {
            failed(connection, e, false);       // no thread to be had
        }
        return current;
    }

    /** Waits until the call has ended, is superseded, or its time is over. */
    private synchronized void awaitEnd(Call call) throws InterruptedException {
        while (call != null && current == call && !isEnded) {
            if (!waitUntil(clock.callLimitUs())) {
                supersede();
                failed(new SocketTimeoutException("no answer in time; it is still read"), false);
            }
        }
    }

    @Override
    public synchronized void answering(DiscoveryConnection its) {
        if (isCurrent(its)) {
            clock.answerBegins(now.getAsLong());
            notifyAll();
        }
    }

    private boolean isCurrent(DiscoveryConnection its) {
        return current != null && current.connection() == its;
    }

    @Override
    public synchronized void answered(DiscoveryConnection its, Endpoints.EndpointUpdate update, long receivedUs,
            boolean stays) {
        boolean isCurrent = isCurrent(its);
        Call call = isCurrent ? current : takeSuperseded(its);
        if (call == null || isEnded) {
            its.close();
            return;
        }
        // Taken over before anything else is done: a drain counts as told once its bytes came.
        apply(update, call, receivedUs, isCurrent);
        if (isCurrent) {
            endOfCurrent(call, receivedUs, stays);
        } else {
            its.close();
            endOfSuperseded(call);
        }
        notifyAll();
    }

    private void endOfCurrent(Call call, long receivedUs, boolean stays) {
        current = null;
        connection = stays ? connection : null;
        if (table.wantsWholeList()) {
            boolean first = wholeListUs == NEVER;
            notBeforeUs = first ? receivedUs + table.pauseBeforeAskingAgainUs(receivedUs)
                    : wholeListUs + WHOLE_LISTS_APART_US;
            wholeListUs = Math.max(receivedUs, notBeforeUs);
        } else {
            notBeforeUs = clock.watchFromUs(receivedUs);
            wholeListUs = wholeListUs != NEVER && receivedUs - wholeListUs > WHOLE_LISTS_APART_US ? NEVER : wholeListUs;
        }
        heard();
    }

    /** An answer that came late of where discovery still is: nothing was missed. */
    private void endOfSuperseded(Call call) {
        if (call.id().addressGeneration() == table.nextCall(0).addressGeneration()) {
            heard();
            supersededAnswers++;
            facade.requestListNow();
        }
    }

    private void heard() {
        clock.callSucceeded();
        if (fault != null) {
            fault = null;
            LOG.info("discovery answers again");
        }
    }

    private Call takeSuperseded(DiscoveryConnection its) {
        for (Iterator<Call> calls = superseded.iterator(); calls.hasNext(); ) {
            Call call = calls.next();
            if (call.connection() == its) {
                calls.remove();
                return call;
            }
        }
        return null;
    }

    @Override
    public synchronized void failed(DiscoveryConnection its, Throwable failure, boolean answered) {
        if (isCurrent(its) && !isEnded) {
            current = null;
            connection = null;
            failed(failure, answered);
            notifyAll();
        } else if (takeSuperseded(its) != null) {
            LOG.log(Level.FINE, "superseded discovery call at {0} ended: {1}",
                    new Object[] {Sockets.hostAndPort(its.address()), failure});
        }
    }

    private void failed(Throwable failure, boolean answered) {
        String text = failure.toString();
        if (!text.equals(fault)) {              // one line a cause: an agent is asked again very soon
            fault = text;
            LOG.log(Level.WARNING, "discovery call failed: {0}", text);
        }
        if (!(failure instanceof SocketTimeoutException)) {
            clock.callFailed(now.getAsLong(), answered);
        } else if (clock.callWasSilent()) {
            return;             // what it may have missed counts soon: the next one is not put off
        }
        facade.applyListUpdate(ListUpdate.failed());
        if (hasMoved) {
            facade.requestListNow();    // the address came just before the module was told of the old one's failure
        }
    }

    /** Takes in an answer: the table first, which is asked at each write, then the module. */
    private void apply(Endpoints.EndpointUpdate update, Call call, long receivedUs, boolean isCurrent) {
        boolean wasRegressed = table.isRegressed();
        long known = table.revision();
        Endpoints.ApplyResult applied = table.apply(update, call.id(), receivedUs, clock.graceLeftUs(receivedUs));
        if (table.isRegressed() && !wasRegressed) {
            LOG.log(Level.WARNING, "a list with version {0}, older than {1}: what it brings back does not count yet",
                    new Object[] {Long.toString(update.revision()), Long.toString(known)});
        }
        tellOfDoubt(applied.outcome());
        boolean isNews = isCurrent || !applied.outcome().update().entries().isEmpty();
        take(applied, isNews);
        String source = "version " + update.revision() + " of " + Sockets.hostAndPort(call.connection().address())
                + (isCurrent ? "" : ", on a superseded call") + ", asked for "
                + (receivedUs - call.id().startedUs()) / 1_000 + " ms before";
        tell(applied.outcome(), source);
    }

    private static void tellOfDoubt(Result outcome) {
        long unconfirmed = outcome.count(Transition.Cause.LEFT_OUT, ServerStatus.UNCONFIRMED);
        if (unconfirmed > 0) {
            LOG.log(Level.WARNING, "a list without {0} servers that served is asked for again before it counts",
                    unconfirmed);
        }
        long confirmed = outcome.count(Transition.Cause.LEFT_OUT_AGAIN, ServerStatus.REMOVED);
        if (confirmed > 0) {
            LOG.log(Level.WARNING, "a list without {0} servers that served came again, and counts", confirmed);
        }
    }

    private void take(Endpoints.ApplyResult applied, boolean isNews) {
        try {
            if (isNews) {
                facade.applyListUpdate(applied.outcome().update());
            }
        } catch (RuntimeException e) {
            table.wantWholeList();
            throw e;
        } finally {
            upstreams.closeIdle(applied.retired());
        }
        memory.keep().accept(() -> Json.serialize(table.toJsonTree()));
    }

    private void tell(Result outcome, String source) {
        TransitionLog.count(outcome, figures);
        if (!outcome.transitions().isEmpty()) {
            LOG.info(() -> TransitionLog.text(outcome, source));
        }
    }

    /** How many superseded calls are still read. */
    synchronized int superseded() {
        return superseded.size();
    }

    /** To be called at each turn of the timekeeper's: ends superseded calls, and what may be used no longer. */
    synchronized void turn(long nowUs) {
        while (!superseded.isEmpty() && superseded.peek().closeAtUs() <= nowUs) {
            superseded.remove().connection().close();
        }
        Endpoints.ApplyResult applied = table.expire(nowUs);
        if (!applied.outcome().transitions().isEmpty()) {
            take(applied, true);
            tell(applied.outcome(), "nothing confirmed or denied it in time");
        }
    }
}
