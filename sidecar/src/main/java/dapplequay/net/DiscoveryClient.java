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
 * Watches discovery for changes for as long as the decision module wants that, one call after the other. {@link
 * ListCallTiming} decides how long a call is waited for and how soon the next one follows after a failure; {@link
 * ServerRegistry} decides what a response changes.
 *
 * <p>A call that is not waited for any longer, because discovery has moved or the call has timed out, is
 * <em>superseded</em>: its connection stays open for a while. Discovery may have written the response already, which
 * makes its content known, or may still reach the call in its queue. What such a response takes out of service counts
 * at once; what it brings in does not.
 */
final class DiscoveryClient implements Runnable, DiscoveryConnection.Listener {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    /**
     * Time for connecting, in microseconds; after it a new connection is tried. A lost packet of a connection attempt
     * is sent again after a second.
     */
    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    /** How long a superseded call is still read, in microseconds: by then its content is known in other ways. */
    static final long SUPERSEDED_READ_US = ListCallTiming.MISSED_TOLD_US + ListCallTiming.WATCH_MISSED_TOLD_US;
    /** Limit of superseded calls, as each holds a descriptor. */
    static final int MAX_SUPERSEDED_CALLS = 6;
    /**
     * Minimum interval between the beginnings of calls for a full list that a response made necessary, in
     * microseconds.
     */
    static final long FULL_LIST_INTERVAL_US = 1_000_000;
    /**
     * How long a version counts after it was received, in microseconds: a quiet watch, and then the time for which an
     * older version is refused.
     */
    static final long VERSION_VALIDITY_US = ListCallTiming.LONGEST_WAIT_US + ListCallTiming.WATCH_MISSED_TOLD_US
            + ServerRegistry.REGRESSION_TIMEOUT_US;
    private static final long NEVER = Long.MIN_VALUE;

    /** A call in progress; {@code readUntilUs}: when a superseded call is closed. */
    private record Call(ListResponse.Request listRequest, DiscoveryConnection connection, long readUntilUs) {
        Call superseded(long nowUs) {
            return new Call(listRequest, connection, nowUs + SUPERSEDED_READ_US);
        }
    }

    private final Endpoints endpoints;
    private final Facade facade;
    private final UpstreamPool upstreamPool;
    private final Sidecar.ListPersistence persistence;
    private final ListCallTiming callTiming;
    private final LongSupplier clock;
    private final DiscoveryMetrics metrics;

    // All fields below are guarded by this.
    private InetSocketAddress discovery;
    private boolean hasMoved;                   // since the last call began
    private DiscoveryConnection connection;   // for the next call; null: opens a new one
    private Call currentCall;
    private final Deque<Call> superseded = new ArrayDeque<>();
    private int supersededResponseCount;   // responses to superseded calls that counted as a success
    private long nextCallNotBeforeUs = NEVER;
    /** When the last call for a full list that a response made necessary began. */
    private long lastFullListCallUs = NEVER;
    private String lastFault;
    private boolean hasAppliedList;
    private boolean hasResponseStarted;
    private boolean isEnded;

    /** {@code clock}: monotonic, in microseconds. */
    DiscoveryClient(InetSocketAddress discovery, Endpoints endpoints, Facade facade, UpstreamPool upstreamPool,
            Sidecar.ListPersistence persistence, ListCallTiming callTiming, LongSupplier clock,
            DiscoveryMetrics metrics) {
        this.discovery = discovery;
        this.persistence = persistence;
        this.callTiming = callTiming;
        this.clock = clock;
        this.endpoints = endpoints;
        this.facade = facade;
        this.upstreamPool = upstreamPool;
        this.metrics = metrics;
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

    /**
     * Waits for the first list if an agent holds it, as its content counts as announced from the start of the process
     * on. Returns after {@code silentUs} if nothing of it has arrived, after {@code longestUs} in any case, and at once
     * if lists are asked for. Times in microseconds.
     */
    synchronized void awaitAgentsList(long silentUs, long longestUs) throws InterruptedException {
        long begunUs = clock.getAsLong();
        while (callTiming.asksAgent() && !hasAppliedList && !isEnded
                && waitUntil(begunUs + (hasResponseStarted ? longestUs : silentUs))) {
            continue;
        }
    }

    private synchronized boolean isEnded() {
        return isEnded;
    }

    /** Waits until the next call may begin; a new address is asked at once. */
    private void awaitNextCall() throws InterruptedException {
        long begunUs = clock.getAsLong();
        long pauseUs;
        int responsesBefore;
        synchronized (this) {
            pauseUs = callTiming.longestPauseUs(begunUs);
            responsesBefore = supersededResponseCount;
        }
        facade.awaitListWanted(pauseUs);
        if (pauseUs != Long.MAX_VALUE) {
            pauseUntil(begunUs + pauseUs, () -> callTiming.keepsPause() && supersededResponseCount == responsesBefore);
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

    /**
     * Keeps the first calls to new addresses apart if discovery moves in quick succession, as a call for each address
     * would burden a discovery service that many clients ask.
     */
    private synchronized void awaitMovesApart() throws InterruptedException {
        while (!isEnded && hasMoved && waitUntil(callTiming.newAddressCallFromUs())) {
            continue;
        }
    }

    /** Waits until a notification or {@code untilUs}; false if that time has passed. The caller holds the lock. */
    private boolean waitUntil(long untilUs) throws InterruptedException {
        long nowUs = clock.getAsLong();
        if (nowUs >= untilUs) {
            return false;
        }
        wait((untilUs - nowUs + 999) / 1_000);
        return true;
    }

    /** Moves to another address; the current call to the old one becomes superseded. */
    void moveTo(InetSocketAddress newAddress) {
        synchronized (this) {
            notifyAll();            // other settings, too, may end a pause
            if (newAddress.equals(discovery) || isEnded) {
                return;
            }
            LOG.log(Level.INFO, "discovery has moved to {0}; {1}", new Object[] {Sockets.hostAndPort(newAddress),
                currentCall == null ? "no call was in progress" : "the call in progress is still read"});
            discovery = newAddress;
            hasMoved = true;
            if (currentCall != null) {
                supersede();
            } else if (connection != null) {
                connection.close();
            }
            connection = null;
            nextCallNotBeforeUs = NEVER;
            lastFullListCallUs = NEVER;
            endpoints.discoveryMoved();
            callTiming.addressChanged();
        }
        facade.requestListNow();
    }

    /** Stops waiting for the current call, which is still read. */
    private void supersede() {
        superseded.add(currentCall.superseded(clock.getAsLong()));
        currentCall = null;
        connection = null;
        if (superseded.size() > MAX_SUPERSEDED_CALLS) {
            superseded.remove().connection().close();
        }
    }

    /** Ends this client: closes all connections and makes no more calls. */
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

    /** Begins a call; null if this client has ended, or if the call failed at once. */
    private synchronized Call beginCall() {
        if (isEnded) {
            return null;
        }
        hasMoved = false;
        long nowUs = clock.getAsLong();
        ListResponse.Request listRequest = endpoints.nextRequest(nowUs);
        boolean isFullList = listRequest.after() == ListResponse.FULL_LIST;
        long waitUs = callTiming.callBegins(nowUs, isFullList);
        if (connection == null) {
            connection = new DiscoveryConnection(discovery, this, clock);
        }
        currentCall = new Call(listRequest, connection, Long.MAX_VALUE);
        long connectUs = Math.max(1_000, Math.min(callTiming.callLimitUs() - nowUs, CONNECT_TIMEOUT_US));
        try {
            connection.call(isFullList ? ""
                    : "?after=" + listRequest.after() + "&wait_ms=" + Math.max(1, waitUs / 1_000),
                    (int) ((connectUs + 999) / 1_000));
        } catch (OutOfMemoryError e) {
            callFailed(connection, e, false);   // no thread available
        }
        return currentCall;
    }

    /** Waits until the call has ended, is superseded, or has timed out. */
    private synchronized void awaitCallEnd(Call call) throws InterruptedException {
        while (call != null && currentCall == call && !isEnded) {
            if (!waitUntil(callTiming.callLimitUs())) {
                supersede();
                callFailed(new SocketTimeoutException("no answer in time; it is still read"), false);
            }
        }
    }

    @Override
    public synchronized void responseStarted(DiscoveryConnection from) {
        hasResponseStarted = true;
        if (isCurrent(from)) {
            callTiming.answerBegins(clock.getAsLong());
            notifyAll();
        }
    }

    private boolean isCurrent(DiscoveryConnection from) {
        return currentCall != null && currentCall.connection() == from;
    }

    @Override
    public synchronized void responseReceived(DiscoveryConnection from, Endpoints.EndpointUpdate update,
            long receivedUs, boolean isReusable) {
        boolean isCurrent = isCurrent(from);
        Call call = isCurrent ? currentCall : removeSuperseded(from);
        if (call == null || isEnded) {
            from.close();
            return;
        }
        // Applied first: the server's drain counts as announced once its bytes have arrived.
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
        if (endpoints.needsFullList()) {
            boolean isFirst = lastFullListCallUs == NEVER;
            nextCallNotBeforeUs = isFirst ? receivedUs + endpoints.refetchDelayUs(receivedUs)
                    : lastFullListCallUs + FULL_LIST_INTERVAL_US;
            lastFullListCallUs = Math.max(receivedUs, nextCallNotBeforeUs);
        } else {
            nextCallNotBeforeUs = callTiming.watchFromUs(receivedUs);
            lastFullListCallUs = lastFullListCallUs != NEVER
                    && receivedUs - lastFullListCallUs > FULL_LIST_INTERVAL_US ? NEVER : lastFullListCallUs;
        }
        discoveryResponded();
    }

    /** A late response from the discovery address that still counts: nothing was missed. */
    private void endOfSuperseded(Call call) {
        if (call.listRequest().addressGeneration() == endpoints.nextRequest(0).addressGeneration()) {
            discoveryResponded();
            supersededResponseCount++;
            facade.requestListNow();
        }
    }

    private void discoveryResponded() {
        callTiming.callSucceeded();
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
    public synchronized void callFailed(DiscoveryConnection from, Throwable failure, boolean gotResponse) {
        if (isCurrent(from) && !isEnded) {
            currentCall = null;
            connection = null;
            callFailed(failure, gotResponse);
            notifyAll();
        } else if (removeSuperseded(from) != null) {
            LOG.log(Level.FINE, "superseded discovery call at {0} ended: {1}",
                    new Object[] {Sockets.hostAndPort(from.address()), failure});
        }
    }

    private void callFailed(Throwable failure, boolean gotResponse) {
        hasResponseStarted &= failure instanceof SocketTimeoutException;     // that one is still read
        String text = failure.toString();
        if (!text.equals(lastFault)) {   // one line for each cause: an agent is called again very soon
            lastFault = text;
            LOG.log(Level.WARNING, "discovery call failed: {0}", text);
        }
        if (!(failure instanceof SocketTimeoutException)) {
            callTiming.callFailed(clock.getAsLong(), gotResponse);
        } else if (callTiming.callWasSilent()) {
            // Changes that it may have missed count soon: the next call is not put off.
            return;
        }
        facade.applyListUpdate(ListUpdate.failed());
        if (hasMoved) {
            // The new address arrived just before the decision module learned of the failure at the old one.
            facade.requestListNow();
        }
    }

    /** Applies a response: first to the endpoints, which each write checks, then to the decision module. */
    private void apply(Endpoints.EndpointUpdate update, Call call, long receivedUs, boolean isCurrent) {
        boolean wasRegressed = endpoints.isRegressed();
        long knownRevision = endpoints.revision();
        Endpoints.ApplyResult applied = endpoints.apply(update, call.listRequest(), receivedUs,
                graceLeftUs(receivedUs));
        if (endpoints.isRegressed() && !wasRegressed) {
            LOG.log(Level.WARNING, "a list with version {0}, older than {1}: what it brings back does not count yet",
                    new Object[] {Long.toString(update.revision()), Long.toString(knownRevision)});
        }
        logUnconfirmed(applied.outcome());
        boolean isNews = isCurrent || !applied.outcome().update().entries().isEmpty();
        applyToModule(applied, isNews);
        String source = "version " + update.revision() + " of " + Sockets.hostAndPort(call.connection().address())
                + (isCurrent ? "" : ", on a superseded call") + ", asked for "
                + (receivedUs - call.listRequest().startedUs()) / 1_000 + " ms before";
        logAndCount(applied.outcome(), source);
        hasAppliedList = true;
    }

    /** Returns what is left of the drain grace for a list; the grace of an agent's first one began with the process. */
    private long graceLeftUs(long receivedUs) {
        return callTiming.asksAgent() && !hasAppliedList ? 0 : callTiming.graceLeftUs(receivedUs);
    }

    private static void logUnconfirmed(Result outcome) {
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

    private void applyToModule(Endpoints.ApplyResult applied, boolean isNews) {
        try {
            if (isNews) {
                facade.applyListUpdate(applied.outcome().update());
            }
        } catch (RuntimeException e) {
            endpoints.requestFullList();
            throw e;
        } finally {
            upstreamPool.closeIdle(applied.retired());
        }
        persistence.save().accept(() -> Json.serialize(endpoints.toJsonTree()));
    }

    private void logAndCount(Result outcome, String source) {
        TransitionLog.addMetrics(outcome, metrics);
        if (!outcome.transitions().isEmpty()) {
            LOG.info(() -> TransitionLog.format(outcome, source));
        }
    }

    /** Returns how many superseded calls are still read. */
    synchronized int supersededCount() {
        return superseded.size();
    }

    /** Closes superseded calls and removes servers whose time is over; called periodically by the timekeeper. */
    synchronized void tick(long nowUs) {
        while (!superseded.isEmpty() && superseded.peek().readUntilUs() <= nowUs) {
            superseded.remove().connection().close();
        }
        Endpoints.ApplyResult applied = endpoints.expire(nowUs);
        if (!applied.outcome().transitions().isEmpty()) {
            applyToModule(applied, true);
            logAndCount(applied.outcome(), "expiry, as discovery neither confirmed nor denied them in time");
        }
    }
}
