package dapplequay.net;

import dapplequay.facade.AttemptEnd;
import dapplequay.facade.HostLoad;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.Sockets;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.management.RequestCounts;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The pool of connections to upstreams. Idle ones are reused, the last used first; others are opened on demand. */
final class UpstreamPool {
    private static final Logger LOG = Logger.getLogger(UpstreamPool.class.getName());
    /** Part of the configured idle time after which a connection is closed: at the full time, the host closes it. */
    private static final double IDLE_TIMEOUT_SHARE = 0.7;
    /**
     * After a response, a connection is not reused for this long. If the host sends further bytes or closes the
     * connection some milliseconds late, that shows before: else the bytes would count as the response to the next
     * attempt, or that attempt as one that may have run.
     */
    static final long SETTLE_US = 20_000;
    /** How long a thread that has waited for a connection is kept for the next wait. */
    private static final long WAITER_KEEP_ALIVE_MS = 1_000;

    /**
     * How long a spare connection, one that joins other idle ones, is kept. A host accepts a limited number of
     * connections from all instances together: if each kept those of its busiest moment, others would be refused, after
     * a handshake that costs the host time. The last used is reused first, so that those needed only for a peak expire.
     */
    static final long SPARE_IDLE_US = 500_000;

    /** Spare connections to one upstream that may be opening at the same time, as some connect slowly. */
    private static final int MAX_SPARES_OPENING = 4;

    private static final Deque<UpstreamConnection> NONE = new ArrayDeque<>();

    private final Endpoints endpoints;
    private final DeadlineQueue deadlines;
    private final Supplier<Setup> setup;
    private final int maxConnections;
    private final Map<Endpoints.Endpoint, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final IdleFailureRates idleFailureRates;
    private final RequestCounts counts;
    private final DiscoveryMetrics metrics;
    private final Supplier<Socket> socketFactory;
    /** Threads that wait for connections to settle: at most one for each such connection. */
    private final Executor settleWaiters = new ThreadPoolExecutor(0, Integer.MAX_VALUE, WAITER_KEEP_ALIVE_MS,
            TimeUnit.MILLISECONDS, new SynchronousQueue<>(), UpstreamPool::newWaiterThread);
    private final SpareConnectionPolicy sparePolicy = new SpareConnectionPolicy();
    private int openCount;
    private boolean isClosing;
    private RequestDispatcher dispatcher;
    private volatile Runnable onThreadShortage = () -> { };

    UpstreamPool(Endpoints endpoints, DeadlineQueue deadlines, Supplier<Setup> setup, int maxConnections,
            RequestCounts counts,
            DiscoveryMetrics metrics) {
        this(endpoints, deadlines, setup, maxConnections, counts, metrics, Socket::new);
    }

    /** {@code socketFactory} creates the sockets, not yet connected. */
    UpstreamPool(Endpoints endpoints, DeadlineQueue deadlines, Supplier<Setup> setup, int maxConnections,
            RequestCounts counts,
            DiscoveryMetrics metrics, Supplier<Socket> socketFactory) {
        this.endpoints = endpoints;
        this.deadlines = deadlines;
        this.setup = setup;
        this.maxConnections = maxConnections;
        this.counts = counts;
        this.metrics = metrics;
        this.socketFactory = socketFactory;
        idleFailureRates = new IdleFailureRates(deadlines::now);
    }

    /** Sets the dispatcher, which is notified of the attempts' ends; called once, before the first attempt. */
    void setDispatcher(RequestDispatcher newDispatcher) {
        dispatcher = newDispatcher;
    }

    /** Sets the action to run when a thread could not be started. */
    void onThreadShortage(Runnable action) {
        onThreadShortage = action;
    }

    long now() {
        return deadlines.now();
    }

    RequestCounts counts() {
        return counts;
    }

    Socket newSocket() {
        return socketFactory.get();
    }

    long connectTimeoutUs() {
        return setup.get().connectTimeoutUs();
    }

    /** Starts an attempt. Its end is reported to the dispatcher, on this thread if nothing was sent at all. */
    void send(Attempt attempt) {
        Endpoints.Endpoint endpoint = endpoints.endpointOf(attempt.decision.host());
        if (endpoint == null) {
            metrics.countStoppedSend(stopReason(attempt));
        }
        if (endpoint == null || attempt.isUploading() && !attempt.exchange.client.isUploadAdmitted()) {
            dispatcher.attemptEnded(attempt, AttemptEnd.NOT_SENT, null, null, null);
            return;
        }
        if (!attempt.exchange.attach(attempt)) {
            dispatcher.attemptEnded(attempt, AttemptEnd.GIVEN_UP, null, null, null);
            return;
        }
        // The timeout of a long request starts with its last byte.
        attempt.setTimeout(attempt.isUploading() ? null
                : deadlines.schedule(attempt.expiresAtUs() - now(), () -> attempt.abort(AttemptEnd.TIMED_OUT)));
        synchronized (this) {
            sparePolicy.attemptSent(endpoint, now());
        }
        writeOrConnect(endpoint, attempt);
    }

    private static Thread newWaiterThread(Runnable work) {
        Thread thread = new Thread(work, "waits for an upstream connection");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Writes the attempt to a settled idle connection, skipping unusable ones; else waits for one that is settling;
     * else opens one. A new connection is the last choice, as it costs the host time and may be slow. During the wait,
     * a spare connection is opened if the rate of attempts is worth it, and whichever is ready first is used.
     */
    private void writeOrConnect(Endpoints.Endpoint endpoint, Attempt attempt) {
        UpstreamConnection.WriteResult result = UpstreamConnection.WriteResult.UNUSABLE;
        while (result == UpstreamConnection.WriteResult.UNUSABLE) {
            Candidate candidate = findIdle(endpoint, attempt);
            if (candidate == null) {
                dispatcher.attemptStarted(attempt);
                openConnection(endpoint, attempt);
                return;
            }
            if (candidate.settleLeftUs() > 0) {
                openSpare(endpoint, attempt.decision.host());
                awaitSettled(endpoint, attempt, now() + candidate.settleLeftUs());
                return;
            }
            dispatcher.attemptStarted(attempt);
            result = candidate.connection().write(attempt);
            if (result != UpstreamConnection.WriteResult.ACCEPTED) {
                candidate.connection().close();
            }
        }
        if (result == UpstreamConnection.WriteResult.STOPPED) {
            reportUnsent(attempt);
        }
    }

    /** Waits on a separate thread, as the caller's must watch its client or read its connection. */
    private void awaitSettled(Endpoints.Endpoint endpoint, Attempt attempt, long untilUs) {
        try {
            settleWaiters.execute(() -> afterSettled(endpoint, attempt, untilUs));
        } catch (OutOfMemoryError e) {
            LOG.log(Level.SEVERE, "no thread to wait for a connection", e);
            onThreadShortage.run();
            releaseReservation(endpoint, attempt);
            reportUnsent(attempt);
        }
    }

    /**
     * Waits, then sends the attempt if it may still begin, on the connection reserved for it or, without that, another.
     */
    private void afterSettled(Endpoints.Endpoint endpoint, Attempt attempt, long untilUs) {
        attempt.awaitSettled(untilUs, deadlines::now);
        if (mayBegin(attempt, endpoint)) {
            writeOrConnect(endpoint, attempt);
        } else {
            releaseReservation(endpoint, attempt);
            reportUnsent(attempt);
        }
    }

    /** Opens a connection for the attempt; at the limit, an idle one is closed for it. */
    private void openConnection(Endpoints.Endpoint endpoint, Attempt attempt) {
        UpstreamConnection connection = null;
        UpstreamConnection evicted = null;
        synchronized (this) {
            if (openCount >= maxConnections) {
                evicted = evict();
            }
            if (openCount < maxConnections || evicted != null) {
                connection = new UpstreamConnection(this, endpoint, attempt);
                openCount++;
            }
        }
        if (evicted != null) {
            evicted.close();
        }
        if (connection == null) {
            LOG.log(Level.WARNING, "limit of upstream connections reached; attempt not sent; request {0}",
                    attempt.exchange.timeline.callId());
            reportUnsent(attempt);
            return;
        }
        attempt.setConnection(connection, -1);
        if (attempt.isUploading()) {
            attempt.markReadyForBody();         // the client's thread connects
        } else {
            start(connection);
        }
    }

    /** Opens a connection without an attempt if the rate of attempts is worth one and the limit allows it. */
    private void openSpare(Endpoints.Endpoint endpoint, String host) {
        UpstreamConnection spare;
        synchronized (this) {
            if (isClosing || openCount >= maxConnections
                    || !sparePolicy.wantsSpare(endpoint, now(), MAX_SPARES_OPENING)) {
                return;
            }
            spare = new UpstreamConnection(this, endpoint, host);
            sparePolicy.openStarted(endpoint);
            openCount++;
        }
        start(spare);
    }

    /** Called when a spare connection is open or has failed; returns whether it is kept. Unused, it need not settle. */
    boolean spareOpened(UpstreamConnection spare, String host, boolean isOpen) {
        synchronized (this) {
            sparePolicy.openEnded(spare.endpoint, isOpen, now());
            if (!isOpen || isClosing || !spare.endpoint.equals(endpoints.endpointOf(host))) {
                return false;
            }
            addIdle(spare, now() - SETTLE_US);
            // Wakes the attempt that would wait longest, so that it finds this connection.
            Iterator<UpstreamConnection> newestFirst = idle.get(spare.endpoint).descendingIterator();
            while (newestFirst.hasNext()) {
                UpstreamConnection resting = newestFirst.next();
                if (resting.reservedFor() != null) {
                    resting.reservedFor().cancelSettleWait();
                    return true;
                }
            }
            return true;
        }
    }

    /** Adds the connection to the idle ones; the caller holds the lock. */
    private void addIdle(UpstreamConnection connection, long sinceUs) {
        Deque<UpstreamConnection> idleHere = idle.computeIfAbsent(connection.endpoint, e -> new ArrayDeque<>());
        long idleUs = (long) (setup.get().connIdleUs() * IDLE_TIMEOUT_SHARE);
        long keepUs = idleHere.isEmpty() ? idleUs : Math.min(idleUs, SPARE_IDLE_US);
        connection.setIdle(sinceUs, deadlines.schedule(keepUs, () -> closeIfIdle(connection)));
        idleHere.addLast(connection);
    }

    /**
     * Called right before an attempt's first byte, on used and new connections; returns whether it may still be sent.
     * While it waited, mostly to connect, the client may have left or been answered, the window for repeats or the
     * timeout may have passed, or the host may accept no new work. An attempt stopped here never ran: the module
     * decides again.
     */
    boolean mayBegin(Attempt attempt, Endpoints.Endpoint endpoint) {
        long now = now();
        String reason = attempt.hasEnded() ? "cut" : attempt.exchange.isClaimed() ? "answered"
                : !attempt.mayBeginAt(now) ? "late"
                : !endpoint.equals(endpoints.endpointForSend(attempt.decision.host(), now)) ? stopReason(attempt)
                : null;
        if (reason != null) {
            metrics.countStoppedSend(reason);
            attempt.tryEnd(AttemptEnd.NOT_SENT);
        }
        return reason == null;
    }

    /** Returns why the server accepts no new work: its status, or "serving" if the process has been replaced. */
    private String stopReason(Attempt attempt) {
        return endpoints.statusOf(attempt.decision.host()).name().toLowerCase(Locale.ROOT);
    }

    /** Ends and reports an attempt of which nothing was sent and which no connection has. */
    private void reportUnsent(Attempt attempt) {
        attempt.writeEnded(false, now());
        deadlines.cancel(attempt.timeout());
        dispatcher.attemptEnded(attempt, attempt.endUnsent(), null, null, null);
    }

    /** Starts the connection's thread. */
    void start(UpstreamConnection connection) {
        try {
            new Thread(connection, "upstream " + Sockets.hostAndPort(connection.endpoint.address())).start();
        } catch (OutOfMemoryError e) {
            // No thread: a request that was not written never ran, and the module decides what to do instead.
            LOG.log(Level.SEVERE, "no thread for a connection", e);
            onThreadShortage.run();
            Attempt unreported = connection.unreportedAttempt();
            if (unreported != null && unreported.isWriting()) {
                unreported.writeEnded(false, now());
            }
            connection.notStarted();
            connection.close();
            connectionEnded(connection);
        }
    }

    /** A connection assigned to an attempt, or reserved for it while it settles for {@code settleLeftUs} more. */
    private record Candidate(UpstreamConnection connection, long settleLeftUs) { }

    /** Returns the last used of the settled connections; else the first that will have settled; else null. */
    private synchronized Candidate findIdle(Endpoints.Endpoint endpoint, Attempt attempt) {
        releaseReservation(endpoint, attempt);
        Deque<UpstreamConnection> idleHere = idle.get(endpoint);
        if (idleHere == null) {
            return null;
        }
        long now = now();
        for (Iterator<UpstreamConnection> newestFirst = idleHere.descendingIterator(); newestFirst.hasNext(); ) {
            UpstreamConnection connection = newestFirst.next();
            long idleUs = now - connection.idleSinceUs();
            if (idleUs >= SETTLE_US && connection.reservedFor() == null) {
                if (!idleFailureRates.isAcceptable(idleUs)) {
                    break;                  // the others have been idle for longer
                }
                newestFirst.remove();
                deadlines.cancel(connection.idleTimeout());
                connection.assign(attempt);
                attempt.setConnection(connection, idleUs);
                return new Candidate(connection, 0);
            }
        }
        UpstreamConnection first = idleHere.stream()
                .filter(c -> now - c.idleSinceUs() < SETTLE_US && c.reservedFor() == null).findFirst().orElse(null);
        if (first == null || !idleFailureRates.isAcceptable(SETTLE_US)
                || !attempt.mayBeginAt(first.idleSinceUs() + SETTLE_US)) {
            return null;
        }
        first.reserveFor(attempt);
        return new Candidate(first, first.idleSinceUs() + SETTLE_US - now);
    }

    /** Releases the connection that is reserved for the attempt, if any. */
    private synchronized void releaseReservation(Endpoints.Endpoint endpoint, Attempt attempt) {
        idle.getOrDefault(endpoint, NONE).stream().filter(c -> c.reservedFor() == attempt)
                .forEach(c -> c.reserveFor(null));
    }

    /** Wakes the attempt that waits for a connection no longer in the pool, if any; the caller holds the lock. */
    private static void cancelReservation(UpstreamConnection connection) {
        if (connection.reservedFor() != null) {
            connection.reservedFor().cancelSettleWait();
        }
    }

    /** Removes and returns an idle connection that is not reserved, or null; the caller holds the lock. */
    private UpstreamConnection evict() {
        for (Deque<UpstreamConnection> idleHere : idle.values()) {
            for (UpstreamConnection connection : idleHere) {
                if (connection.reservedFor() == null) {
                    idleHere.remove(connection);
                    return connection;
                }
            }
        }
        return null;
    }

    /** Called before the last piece of a long request is written; returns false if its attempt has ended. */
    boolean beginFinalWrite(Attempt attempt, long dueUs) {
        DeadlineQueue.Deadline timer = deadlines.schedule(dueUs - now(), () -> attempt.abort(AttemptEnd.TIMED_OUT));
        boolean begun = attempt.beginFinalWrite(timer, dueUs);
        if (!begun) {
            deadlines.cancel(timer);
        }
        return begun;
    }

    /** Called when the host has sent a whole response, or the start of a long one. */
    void responseReceived(Attempt attempt) {
        deadlines.cancel(attempt.timeout());
        idleFailureRates.recordAttempt(attempt.connectionIdleUs(), false);
    }

    /** Reports a whole response to the dispatcher. */
    void reportResponse(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
        dispatcher.attemptEnded(attempt, end, load, head, body);
    }

    /** Relays a long response; returns whether it was complete and the client received all of it. */
    boolean relay(Attempt attempt, HostLoad load, Head head, Body body, ResponseStart start) {
        return dispatcher.relay(attempt, load, head, body, start);
    }

    /** Returns a connection to the pool; for a short response, before the client can send its next request. */
    void returnConnection(UpstreamConnection connection, String host) {
        boolean kept;
        synchronized (this) {
            // If the list has changed, the next attempt goes to another process. Checked under the lock: changes reach
            // the endpoints before the idle connections to retired endpoints are closed.
            kept = !isClosing && connection.endpoint.equals(endpoints.endpointOf(host));
            if (kept) {
                addIdle(connection, now());
            }
        }
        if (!kept) {
            connection.close();
        }
    }

    private void closeIfIdle(UpstreamConnection connection) {
        if (removeIdle(connection)) {
            connection.close();
        }
    }

    private synchronized boolean removeIdle(UpstreamConnection connection) {
        Deque<UpstreamConnection> idleHere = idle.get(connection.endpoint);
        boolean removed = idleHere != null && idleHere.remove(connection);
        if (removed) {
            cancelReservation(connection);
        }
        if (removed && idleHere.isEmpty()) {
            idle.remove(connection.endpoint);      // or the map would grow, as new hosts get new uids
        }
        return removed;
    }

    /** Closes the idle connections to endpoints that accept no more work. */
    void closeIdle(Collection<Endpoints.Endpoint> retired) {
        for (Endpoints.Endpoint endpoint : retired) {
            Deque<UpstreamConnection> idleHere;
            synchronized (this) {
                idleHere = idle.remove(endpoint);
                if (idleHere != null) {
                    idleHere.forEach(UpstreamPool::cancelReservation);
                }
            }
            if (idleHere != null) {
                idleHere.forEach(UpstreamConnection::close);
            }
        }
    }

    /** Closes all idle connections; called when no more attempts follow. */
    void closeAllIdle() {
        List<Endpoints.Endpoint> withIdle;
        synchronized (this) {
            isClosing = true;
            withIdle = List.copyOf(idle.keySet());
        }
        closeIdle(withIdle);
    }

    /** Called when a connection has ended; reports its attempt if it has not been reported. */
    void connectionEnded(UpstreamConnection connection) {
        synchronized (this) {
            openCount--;
            removeIdle(connection);
            deadlines.cancel(connection.idleTimeout());
        }
        Attempt unreported = connection.unreportedAttemptAtEnd();
        if (unreported != null) {
            AttemptEnd end = unreported.endBroken();
            deadlines.cancel(unreported.timeout());
            if (end == AttemptEnd.RESET || end == AttemptEnd.NOT_CONNECTED) {
                idleFailureRates.recordAttempt(unreported.connectionIdleUs(), true);
            }
            if (end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT) {
                // A machine that has vanished leaves its idle connections open and silent. An attempt on another one
                // would time out too and might have run; a failed connect proves that the attempt never ran.
                closeIdle(List.of(connection.endpoint));
            }
            dispatcher.attemptEnded(unreported, end, null, null, null);
        }
    }
}
