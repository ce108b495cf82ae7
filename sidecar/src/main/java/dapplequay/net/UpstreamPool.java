package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.facade.AttemptEnd;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.Sockets;
import dapplequay.management.Counts;
import dapplequay.management.DiscoveryFigures;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.Deadlines;
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

/** The connections to upstreams: idle ones are used again, the last used first, and others opened. */
final class UpstreamPool {
    private static final Logger LOG = Logger.getLogger(UpstreamPool.class.getName());
    /** A host closes at the full time; what is written to a connection from then on ends as a reset. */
    private static final double IDLE_TIMEOUT_SHARE = 0.7;
    /**
     * A connection rests so long after an answer: what a host sends or closes behind it, be it some milliseconds late,
     * shows by then, and is not taken for the answer to the next attempt, or that attempt for one that may have run.
     */
    static final long SETTLE_US = 20_000;
    /** How long a thread that has waited for a connection stays for the next such wait, ms. */
    private static final long WAITER_KEEP_ALIVE_MS = 1_000;

    /**
     * A spare connection, one beside another idle one, is kept so long. Hosts hold a bounded number for all instances
     * together: what each keeps from its busiest moment, others are turned away for, after a handshake that the host
     * has to work for. The last used is used first, so that those which no peak of this time needed run out.
     */
    static final long SPARE_IDLE_US = 500_000;

    /** Spare connections to one upstream that may come up at once: some come up late. */
    private static final int MAX_SPARES_OPENING = 4;

    private static final Deque<UpstreamConnection> NONE = new ArrayDeque<>();

    private final Endpoints endpointTable;
    private final Deadlines deadlines;
    private final Supplier<Setup> setup;
    private final int maxConnections;
    private final Map<Endpoints.Endpoint, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final IdleFailureRates idleFailures;
    private final Counts counts;
    private final DiscoveryFigures figures;
    private final Supplier<Socket> socketFactory;
    /** They wait for connections to have rested: no more at once than there are such connections. */
    private final Executor settleWaiters = new ThreadPoolExecutor(0, Integer.MAX_VALUE, WAITER_KEEP_ALIVE_MS, TimeUnit.MILLISECONDS,
            new SynchronousQueue<>(), UpstreamPool::newWaiterThread);
    private final SpareConnectionPolicy sparePolicy = new SpareConnectionPolicy();
    private int openCount;
    private boolean isClosing;
    private RequestDispatcher dispatcher;
    private volatile Runnable onThreadShortage = () -> { };

    UpstreamPool(Endpoints endpointTable, Deadlines deadlines, Supplier<Setup> setup, int maxConnections, Counts counts,
            DiscoveryFigures figures) {
        this(endpointTable, deadlines, setup, maxConnections, counts, figures, Socket::new);
    }

    /** {@code sockets}: where its connections get theirs, not connected yet. */
    UpstreamPool(Endpoints endpointTable, Deadlines deadlines, Supplier<Setup> setup, int maxConnections, Counts counts,
            DiscoveryFigures figures, Supplier<Socket> socketFactory) {
        this.endpointTable = endpointTable;
        this.deadlines = deadlines;
        this.setup = setup;
        this.maxConnections = maxConnections;
        this.counts = counts;
        this.figures = figures;
        this.socketFactory = socketFactory;
        idleFailures = new IdleFailureRates(deadlines::now);
    }

    /** Who hears of the attempts' ends; set once, before the first attempt. */
    void setDispatcher(RequestDispatcher newDispatcher) {
        dispatcher = newDispatcher;
    }

    /** What is done where a thread could not be started. */
    void onThreadShortage(Runnable action) {
        onThreadShortage = action;
    }

    long now() {
        return deadlines.now();
    }

    Counts counts() {
        return counts;
    }

    Socket newSocket() {
        return socketFactory.get();
    }

    long connectTimeoutUs() {
        return setup.get().connectTimeoutUs();
    }

    /** Starts an attempt. Its end is told to the conductor, by this thread if nothing went out at all. */
    void send(Attempt attempt) {
        Endpoints.Endpoint endpoint = endpointTable.endpointOf(attempt.decision.host());
        if (endpoint == null) {
            figures.stopped(stopReason(attempt));
        }
        if (endpoint == null || attempt.isUploading() && !attempt.exchange.client.hasRoom()) {
            dispatcher.attemptEnded(attempt, AttemptEnd.NOT_SENT, null, null, null);
            return;
        }
        if (!attempt.exchange.attach(attempt)) {
            dispatcher.attemptEnded(attempt, AttemptEnd.GIVEN_UP, null, null, null);
            return;
        }
        // The time of a long request begins with its last byte.
        attempt.setTimeout(attempt.isUploading() ? null
                : deadlines.after(attempt.expiresAtUs() - now(), () -> attempt.abort(AttemptEnd.TIMED_OUT)));
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
     * Writes the attempt to a connection that has rested, passing over those that prove unfit, has it wait for one that
     * rests, or opens one, in this order: a new one is work for the host, and may be slow to come up. Where attempts
     * follow on each other so fast that a further connection would be used, one is opened meanwhile, and whichever is
     * fit first is taken.
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

    /** A thread of its own waits: the caller's has a client to listen to, or a connection. */
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

    /** Where it may still begin, it finds the connection that it was promised, or, that being lost, what there is. */
    private void afterSettled(Endpoints.Endpoint endpoint, Attempt attempt, long untilUs) {
        attempt.awaitSettled(untilUs, deadlines::now);
        if (mayBegin(attempt, endpoint)) {
            writeOrConnect(endpoint, attempt);
        } else {
            releaseReservation(endpoint, attempt);
            reportUnsent(attempt);
        }
    }

    /** Opens a connection for the attempt, in the place of an idle one where there are as many as there may be. */
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
            LOG.warning("no room for another connection to an upstream");
            reportUnsent(attempt);
            return;
        }
        attempt.setConnection(connection, -1);
        if (attempt.isUploading()) {
            attempt.markReadyForBody();                  // its client's thread goes on from here
        } else {
            start(connection);
        }
    }

    /** Opens a connection that no attempt has yet, where the pace of attempts is worth one and there is room. */
    private void openSpare(Endpoints.Endpoint endpoint, String host) {
        UpstreamConnection spare;
        synchronized (this) {
            if (isClosing || openCount >= maxConnections || !sparePolicy.wantsSpare(endpoint, now(), MAX_SPARES_OPENING)) {
                return;
            }
            spare = new UpstreamConnection(this, endpoint, host);
            sparePolicy.openStarted(endpoint);
            openCount++;
        }
        start(spare);
    }

    /** A spare connection is open, or has failed; whether it stays. Nothing was asked on it: it needs no rest. */
    boolean spareOpened(UpstreamConnection spare, String host, boolean isOpen) {
        synchronized (this) {
            sparePolicy.openEnded(spare.endpoint, isOpen, now());
            if (!isOpen || isClosing || !spare.endpoint.equals(endpointTable.endpointOf(host))) {
                return false;
            }
            addIdle(spare, now() - SETTLE_US);
            // Whoever would wait the longest looks anew.
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

    /** Among the idle ones from now on; under the lock. */
    private void addIdle(UpstreamConnection connection, long sinceUs) {
        Deque<UpstreamConnection> idleHere = idle.computeIfAbsent(connection.endpoint, e -> new ArrayDeque<>());
        long idleUs = (long) (setup.get().connIdleUs() * IDLE_TIMEOUT_SHARE);
        long keepUs = idleHere.isEmpty() ? idleUs : Math.min(idleUs, SPARE_IDLE_US);
        connection.setIdle(sinceUs, deadlines.after(keepUs, () -> closeIfIdle(connection)));
        idleHere.addLast(connection);
    }

    /**
     * Asked right before an attempt's first byte, on a used connection as on a new one: whether it may still go out.
     * While it waited, above all for its connect, the client may have left or been answered, the window for repeats or
     * the time may be over, or the host may want no new work. What is stopped here never ran: the module decides anew.
     */
    boolean mayBegin(Attempt attempt, Endpoints.Endpoint endpoint) {
        long now = now();
        String reason = attempt.hasEnded() ? "cut" : attempt.exchange.isClaimed() ? "answered"
                : !attempt.mayBeginAt(now) ? "late"
                : !endpoint.equals(endpointTable.endpointForSend(attempt.decision.host(), now)) ? stopReason(attempt) : null;
        if (reason != null) {
            figures.stopped(reason);
            attempt.tryEnd(AttemptEnd.NOT_SENT);      // unless it has ended otherwise
        }
        return reason == null;
    }

    /** Why its server takes no new work: its status, which is "serving" where it is another process by now. */
    private String stopReason(Attempt attempt) {
        return endpointTable.statusOf(attempt.decision.host()).name().toLowerCase(Locale.ROOT);
    }

    /** Nothing of the attempt went out, and no connection has it. */
    private void reportUnsent(Attempt attempt) {
        attempt.writeEnded(false, now());
        deadlines.cancel(attempt.timeout());
        dispatcher.attemptEnded(attempt, attempt.endUnsent(), null, null, null);
    }

    /** Gives a connection its own thread. */
    void start(UpstreamConnection connection) {
        try {
            new Thread(connection, "upstream " + Sockets.text(connection.endpoint.address())).start();
        } catch (OutOfMemoryError e) {
            // No thread to be had: what was not written never ran, and the module decides what to do instead.
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

    /** A connection for an attempt: its own from now on, or, with a rest left, promised to it alone, microseconds. */
    private record Candidate(UpstreamConnection connection, long settleLeftUs) { }

    /** The last used of those that have rested; else the first to have rested; null: there is none for it. */
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
                if (!idleFailures.isAcceptable(idleUs)) {
                    break;                  // and the others have been idle for longer
                }
                newestFirst.remove();
                deadlines.cancel(connection.idleTimeout());
                connection.assign(attempt);
                attempt.setConnection(connection, idleUs);
                return new Candidate(connection, 0);
            }
        }
        UpstreamConnection first = idleHere.stream().filter(c -> now - c.idleSinceUs() < SETTLE_US && c.reservedFor() == null)
                .findFirst().orElse(null);
        if (first == null || !idleFailures.isAcceptable(SETTLE_US) || !attempt.mayBeginAt(first.idleSinceUs() + SETTLE_US)) {
            return null;
        }
        first.reserveFor(attempt);
        return new Candidate(first, first.idleSinceUs() + SETTLE_US - now);
    }

    /** The attempt does not wait for a connection any more. */
    private synchronized void releaseReservation(Endpoints.Endpoint endpoint, Attempt attempt) {
        idle.getOrDefault(endpoint, NONE).stream().filter(c -> c.reservedFor() == attempt).forEach(c -> c.reserveFor(null));
    }

    /** It can't be waited for any more, and has left the idle ones; under the lock. */
    private static void cancelReservation(UpstreamConnection connection) {
        if (connection.reservedFor() != null) {
            connection.reservedFor().cancelSettleWait();
        }
    }

    /** One that nobody waits for. */
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

    /** The last piece of a long request is about to go out; false where its attempt has ended. */
    boolean beginFinalWrite(Attempt attempt, long budgetUs) {
        Deadlines.Deadline timer = deadlines.after(budgetUs, () -> attempt.abort(AttemptEnd.TIMED_OUT));
        boolean begun = attempt.beginFinalWrite(timer, now() + budgetUs);
        if (!begun) {
            deadlines.cancel(timer);
        }
        return begun;
    }

    /** The host has answered, whole or with the beginning of a long answer. */
    void responseReceived(Attempt attempt) {
        deadlines.cancel(attempt.timeout());
        idleFailures.recordAttempt(attempt.connectionIdleUs(), false);
    }

    /** A whole answer goes to whom it concerns. */
    void reportResponse(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
        dispatcher.attemptEnded(attempt, end, load, head, body);
    }

    /** A long answer is passed on; whether it was whole, and the client took all of it. */
    boolean relay(Attempt attempt, HostLoad load, Head head, Body body, byte[] start) {
        return dispatcher.relay(attempt, load, head, body, start);
    }

    /** The connection may be used again: before the client can send its next request, where the answer was short. */
    void returnConnection(UpstreamConnection connection, String host) {
        boolean kept;
        synchronized (this) {
            // Where the list has changed meanwhile, the next attempt goes to another process. Asked under the lock: the
            // news are in the table before the idle connections on the endpoints that are gone are closed.
            kept = connection.endpoint.equals(endpointTable.endpointOf(host));
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
            idle.remove(connection.endpoint);      // hosts come under new ids for good
        }
        return removed;
    }

    /** Closes the idle connections on endpoints that take no more work. */
    void closeIdle(Collection<Endpoints.Endpoint> endpoints) {
        for (Endpoints.Endpoint endpoint : endpoints) {
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

    /** Closes all idle connections: no more attempts come. */
    void closeAllIdle() {
        List<Endpoints.Endpoint> endpoints;
        synchronized (this) {
            isClosing = true;
            endpoints = List.copyOf(idle.keySet());
        }
        closeIdle(endpoints);
    }

    /** A connection's thread is done with it; an attempt that it still owed is reported. */
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
                idleFailures.recordAttempt(unreported.connectionIdleUs(), true);
            }
            if (end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT) {
                // A machine that vanished leaves its idle connections open and silent: an attempt on another one
                // would time out too and might have run, while a connect that fails proves that it never ran.
                closeIdle(List.of(connection.endpoint));
            }
            dispatcher.attemptEnded(unreported, end, null, null, null);
        }
    }
}
