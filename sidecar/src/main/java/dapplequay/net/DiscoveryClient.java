package dapplequay.net;

import dapplequay.discovery.ListAnswer;
import dapplequay.discovery.ServerRegistry;
import dapplequay.discovery.ServerRegistry.Outcome;
import dapplequay.discovery.ServerStatus;
import dapplequay.discovery.Transition;
import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.http.Sockets;
import dapplequay.management.DiscoveryFigures;
import dapplequay.membership.ListClock;
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
 * call is waited for, and how soon the next one follows after a failure, {@link ListClock} says; what an answer
 * changes, the {@link ServerRegistry}.
 *
 * <p>A call that is not waited for any longer, as discovery has moved or its time is over, is <em>superseded</em>: its
 * connection stays open for a while. Discovery may have written its answer by then, which makes known what it says, or
 * may yet come to it in its queue. What such an answer takes out counts at once; what it brings in does not.
 */
final class DiscoveryClient implements Runnable, DiscoveryConnection.Listener {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    /**
     * A connection that is not there after this, us, is asked for again: what is lost of it is sent anew after a
     * second.
     */
    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    /** A superseded call is read for so long, us: by then what it could bring is known in other ways. */
    static final long SUPERSEDED_READ_US = ListClock.MISSED_US + ListClock.AFTER_WAIT_US;
    /** More than so many superseded calls are not kept: each holds a descriptor. */
    static final int MAX_SUPERSEDED_CALLS = 6;
    /** Calls for a whole list that an answer has made necessary begin at least so long apart, us. */
    static final long WHOLE_LIST_INTERVAL_US = 1_000_000;
    /** For so long, us, after it was heard a version counts: a quiet watch, and as long as an older one is refused. */
    static final long VERSION_VALIDITY_US = ListClock.LONGEST_WAIT_US + ListClock.AFTER_WAIT_US
            + ServerRegistry.REGRESSION_US;
    private static final long NEVER = Long.MIN_VALUE;

    /** A call under way; {@code closeAtUs}: when it is not read any longer, once it is superseded. */
    private record Call(ListAnswer.Call listCall, DiscoveryConnection connection, long readUntilUs) {
        Call superseded(long nowUs) {
            return new Call(listCall, connection, nowUs + SUPERSEDED_READ_US);
        }
    }

    private final Endpoints endpoints;
    private final Facade facade;
    private final UpstreamSide upstreams;
    private final Sidecar.ListPersistence persistence;
    private final ListClock listClock;
    private final LongSupplier clock;
    private final DiscoveryFigures figures;

    // All that follows changes under the lock.
    private InetSocketAddress discovery;
    private boolean hasMoved;                   // since the last call began
    private DiscoveryConnection connection;     // for the next call; null: a new one
    private Call currentCall;
    private final Deque<Call> superseded = new ArrayDeque<>();
    private int supersededAnswerCount;              // that were taken over in full
    private long nextCallNotBeforeUs = NEVER;
    /** When the last call for a whole list began that an answer had made necessary. */
    private long lastWholeListCallUs = NEVER;
    private String lastFault;
    private boolean isEnded;

    /** {@code now}: microseconds, never backwards. */
    DiscoveryClient(InetSocketAddress discovery, Endpoints endpoints, Facade facade, UpstreamSide upstreams,
            Sidecar.ListPersistence persistence, ListClock listClock, LongSupplier clock, DiscoveryFigures figures) {
        this.discovery = discovery;
        this.persistence = persistence;
        this.listClock = listClock;
        this.clock = clock;
        this.endpoints = endpoints;
        this.facade = facade;
        this.upstreams = upstreams;
        this.figures = figures;
    }

    @Override
    public void run() {
        try {
            while (!isEnded()) {
                awaitNextCall();
                awaitCallEnd(beginCall());
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
        long begunUs = clock.getAsLong();
        long pauseUs;
        int answersBefore;
        synchronized (this) {
            pauseUs = listClock.longestPauseUs(begunUs);
            answersBefore = supersededAnswerCount;
        }
        facade.awaitWatch(pauseUs);
        if (pauseUs != Long.MAX_VALUE) {
            pauseUntil(begunUs + pauseUs, () -> listClock.keepsPause() && supersededAnswerCount == answersBefore);
        }
        synchronized (this) {
            pauseUntil(nextCallNotBeforeUs, () -> true);
        }
        awaitMovesApart();
    }

    private synchronized void pauseUntil(long untilUs, BooleanSupplier keepsPausing) throws InterruptedException {
        while (!isEnded && !hasMoved && keepsPausing.getAsBoolean() && waitUntil(untilUs)) {
            continue;
        }
    }

    /** Moves in quick succession: what calls for each address would cost a discovery that many ask is kept down. */
    private synchronized void awaitMovesApart() throws InterruptedException {
        while (!isEnded && hasMoved && waitUntil(listClock.moveCallFromUs())) {
            continue;
        }
    }

    /** Waits until something changes or the time has come; false where it has. Under the lock. */
    private boolean waitUntil(long untilUs) throws InterruptedException {
        long nowUs = clock.getAsLong();
        if (nowUs >= untilUs) {
            return false;
        }
        wait((untilUs - nowUs + 999) / 1_000);
        return true;
    }

    /** Another address from now on; a call that is out at the old one is superseded. */
    void moveTo(InetSocketAddress newAddress) {
        synchronized (this) {
            notifyAll();            // other settings, too, may end a pause
            if (newAddress.equals(discovery) || isEnded) {
                return;
            }
            LOG.log(Level.INFO, "discovery is at {0} now, {1}", new Object[] {Sockets.text(newAddress),
                currentCall == null ? "no call was out" : "the call that was out is still read"});
            discovery = newAddress;
            hasMoved = true;
            if (currentCall != null) {
                supersede();
            } else if (connection != null) {
                connection.close();
            }
            connection = null;
            nextCallNotBeforeUs = NEVER;
            lastWholeListCallUs = NEVER;
            endpoints.moved();
            listClock.moved();
        }
        facade.watchAnew();
    }

    /** The call under way is not waited for any longer, and still read. */
    private void supersede() {
        superseded.add(currentCall.superseded(clock.getAsLong()));
        currentCall = null;
        connection = null;
        if (superseded.size() > MAX_SUPERSEDED_CALLS) {
            superseded.remove().connection().close();
        }
    }

    /** No more calls. */
    synchronized void end() {
        isEnded = true;
        notifyAll();
        superseded.forEach(call -> call.connection().close());
        superseded.clear();
        currentCall = null;
        if (connection != null) {
            connection.close();
        }
    }

    /** Begins a call; null where it could not, or is not wanted any more. */
    private synchronized Call beginCall() {
        if (isEnded) {
            return null;
        }
        hasMoved = false;
        long nowUs = clock.getAsLong();
        ListAnswer.Call listCall = endpoints.nextCall(nowUs);
        boolean isWholeList = listCall.after() == ListAnswer.WHOLE_LIST;
        long waitUs = listClock.begin(nowUs, isWholeList);
        if (connection == null) {
            connection = new DiscoveryConnection(discovery, this, clock);
        }
        currentCall = new Call(listCall, connection, Long.MAX_VALUE);
        long connectUs = Math.max(1_000, Math.min(listClock.limitUs() - nowUs, CONNECT_TIMEOUT_US));
        try {
            connection.call(isWholeList ? "" : "?after=" + listCall.after() + "&wait_ms=" + Math.max(1, waitUs / 1_000),
                    (int) ((connectUs + 999) / 1_000));
        } catch (OutOfMemoryError e) {
            callFailed(connection, e, false);       // no thread to be had
        }
        return currentCall;
    }

    /** Waits until the call has ended, is superseded, or its time is over. */
    private synchronized void awaitCallEnd(Call call) throws InterruptedException {
        while (call != null && currentCall == call && !isEnded) {
            if (!waitUntil(listClock.limitUs())) {
                supersede();
                callFailed(new SocketTimeoutException("no answer in time; it is still read"), false);
            }
        }
    }

    @Override
    public synchronized void answerStarted(DiscoveryConnection from) {
        if (isCurrent(from)) {
            listClock.answering(clock.getAsLong());
            notifyAll();
        }
    }

    private boolean isCurrent(DiscoveryConnection from) {
        return currentCall != null && currentCall.connection() == from;
    }

    @Override
    public synchronized void answerReceived(DiscoveryConnection from, Endpoints.Update update, long receivedUs,
            boolean isReusable) {
        boolean isCurrent = isCurrent(from);
        Call call = isCurrent ? currentCall : removeSuperseded(from);
        if (call == null || isEnded) {
            from.close();
            return;
        }
        // Taken over before anything else is done: a drain counts as told once its bytes came.
        apply(update, call, receivedUs, isCurrent);
        if (isCurrent) {
            endOfCurrent(call, receivedUs, isReusable);
        } else {
            from.close();
            endOfSuperseded(call);
        }
        notifyAll();
    }

    private void endOfCurrent(Call call, long receivedUs, boolean isReusable) {
        currentCall = null;
        connection = isReusable ? connection : null;
        if (endpoints.wantsWholeList()) {
            boolean isFirst = lastWholeListCallUs == NEVER;
            nextCallNotBeforeUs = isFirst ? receivedUs + endpoints.pauseBeforeAskingAgainUs(receivedUs)
                    : lastWholeListCallUs + WHOLE_LIST_INTERVAL_US;
            lastWholeListCallUs = Math.max(receivedUs, nextCallNotBeforeUs);
        } else {
            nextCallNotBeforeUs = listClock.watchFromUs(receivedUs);
            lastWholeListCallUs = lastWholeListCallUs != NEVER && receivedUs - lastWholeListCallUs > WHOLE_LIST_INTERVAL_US ? NEVER : lastWholeListCallUs;
        }
        heardFromDiscovery();
    }

    /** An answer that came late of where discovery still is: nothing was missed. */
    private void endOfSuperseded(Call call) {
        if (call.listCall().generation() == endpoints.nextCall(0).generation()) {
            heardFromDiscovery();
            supersededAnswerCount++;
            facade.watchAnew();
        }
    }

    private void heardFromDiscovery() {
        listClock.heard();
        if (lastFault != null) {
            lastFault = null;
            LOG.info("discovery answers again");
        }
    }

    private Call removeSuperseded(DiscoveryConnection from) {
        for (Iterator<Call> calls = superseded.iterator(); calls.hasNext(); ) {
            Call call = calls.next();
            if (call.connection() == from) {
                calls.remove();
                return call;
            }
        }
        return null;
    }

    @Override
    public synchronized void callFailed(DiscoveryConnection from, Throwable failure, boolean gotAnswer) {
        if (isCurrent(from) && !isEnded) {
            currentCall = null;
            connection = null;
            callFailed(failure, gotAnswer);
            notifyAll();
        } else if (removeSuperseded(from) != null) {
            LOG.log(Level.FINE, "superseded discovery call at {0} ended: {1}",
                    new Object[] {Sockets.text(from.address()), failure});
        }
    }

    private void callFailed(Throwable failure, boolean gotAnswer) {
        String text = failure.toString();
        if (!text.equals(lastFault)) {              // one line a cause: an agent is asked again very soon
            lastFault = text;
            LOG.log(Level.WARNING, "discovery call failed: {0}", text);
        }
        if (!(failure instanceof SocketTimeoutException)) {
            listClock.failed(clock.getAsLong(), gotAnswer);
        } else if (listClock.silent()) {
            return;             // what it may have missed counts soon: the next one is not put off
        }
        facade.news(ListNews.failed());
        if (hasMoved) {
            facade.watchAnew();         // the address came just before the module was told of the old one's failure
        }
    }

    /** Takes in an answer: the table first, which is asked at each write, then the module. */
    private void apply(Endpoints.Update update, Call call, long receivedUs, boolean isCurrent) {
        boolean wasRegressed = endpoints.isRegressed();
        long knownRevision = endpoints.revision();
        Endpoints.Applied applied = endpoints.apply(update, call.listCall(), receivedUs, listClock.graceLeftUs(receivedUs));
        if (endpoints.isRegressed() && !wasRegressed) {
            LOG.log(Level.WARNING, "a list with version {0}, older than {1}: what it brings back does not count yet",
                    new Object[] {Long.toString(update.revision()), Long.toString(knownRevision)});
        }
        logUnconfirmed(applied.outcome());
        boolean isNews = isCurrent || !applied.outcome().news().lines().isEmpty();
        applyToModule(applied, isNews);
        String source = "version " + update.revision() + " of " + Sockets.text(call.connection().address())
                + (isCurrent ? "" : ", on a superseded call") + ", asked for "
                + (receivedUs - call.listCall().begunUs()) / 1_000 + " ms before";
        logAndCount(applied.outcome(), source);
    }

    private static void logUnconfirmed(Outcome outcome) {
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

    private void applyToModule(Endpoints.Applied applied, boolean isNews) {
        try {
            if (isNews) {
                facade.news(applied.outcome().news());
            }
        } catch (RuntimeException e) {
            endpoints.wantWholeList();
            throw e;
        } finally {
            upstreams.closeIdle(applied.closed());
        }
        persistence.save().accept(() -> Json.text(endpoints.tree()));
    }

    private void logAndCount(Outcome outcome, String source) {
        TransitionLog.addFigures(outcome, figures);
        if (!outcome.transitions().isEmpty()) {
            LOG.info(() -> TransitionLog.format(outcome, source));
        }
    }

    /** How many superseded calls are still read. */
    synchronized int supersededCount() {
        return superseded.size();
    }

    /** To be called at each turn of the timekeeper's: ends superseded calls, and what may be used no longer. */
    synchronized void tick(long nowUs) {
        while (!superseded.isEmpty() && superseded.peek().readUntilUs() <= nowUs) {
            superseded.remove().connection().close();
        }
        Endpoints.Applied applied = endpoints.expire(nowUs);
        if (!applied.outcome().transitions().isEmpty()) {
            applyToModule(applied, true);
            logAndCount(applied.outcome(), "nothing confirmed or denied it in time");
        }
    }
}
