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
final class UpstreamSide {
    private static final Logger LOG = Logger.getLogger(UpstreamSide.class.getName());
    /** A host closes at the full time; what is written to a connection from then on ends as a reset. */
    private static final double IDLE_SHARE = 0.7;
    /**
     * A connection rests so long after an answer: what a host sends or closes behind it, be it some milliseconds late,
     * shows by then, and is not taken for the answer to the next attempt, or that attempt for one that may have run.
     */
    static final long REST_US = 20_000;
    /** How long a thread that has waited for a connection stays for the next such wait, ms. */
    private static final long WAITER_MS = 1_000;

    /**
     * A spare connection, one beside another idle one, is kept so long. Hosts hold a bounded number for all instances
     * together: what each keeps from its busiest moment, others are turned away for, after a handshake that the host
     * has to work for. The last used is used first, so that those which no peak of this time needed run out.
     */
    static final long SPARE_US = 500_000;

    /** Spare connections to one upstream that may come up at once: some come up late. */
    private static final int SPARES_AT_ONCE = 4;

    private static final Deque<UpstreamConnection> NONE = new ArrayDeque<>();

    private final Endpoints table;
    private final Deadlines deadlines;
    private final Supplier<Setup> setup;
    private final int most;
    private final Map<Endpoints.Endpoint, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final IdleRisk risk;
    private final Counts counts;
    private final DiscoveryFigures figures;
    private final Supplier<Socket> sockets;
    /** They wait for connections to have rested: no more at once than there are such connections. */
    private final Executor waiters = new ThreadPoolExecutor(0, Integer.MAX_VALUE, WAITER_MS, TimeUnit.MILLISECONDS,
            new SynchronousQueue<>(), UpstreamSide::waiter);
    private final SendPace pace = new SendPace();
    private int open;
    private boolean isClosing;
    private Conductor conductor;
    private volatile Runnable threadShortage = () -> { };

    UpstreamSide(Endpoints table, Deadlines deadlines, Supplier<Setup> setup, int most, Counts counts,
            DiscoveryFigures figures) {
        this(table, deadlines, setup, most, counts, figures, Socket::new);
    }

    /** {@code sockets}: where its connections get theirs, not connected yet. */
    UpstreamSide(Endpoints table, Deadlines deadlines, Supplier<Setup> setup, int most, Counts counts,
            DiscoveryFigures figures, Supplier<Socket> sockets) {
        this.table = table;
        this.deadlines = deadlines;
        this.setup = setup;
        this.most = most;
        this.counts = counts;
        this.figures = figures;
        this.sockets = sockets;
        risk = new IdleRisk(deadlines::now);
    }

    /** Who hears of the attempts' ends; set once, before the first attempt. */
    void conductor(Conductor theConductor) {
        conductor = theConductor;
    }

    /** What is done where a thread could not be started. */
    void onThreadShortage(Runnable told) {
        threadShortage = told;
    }

    long now() {
        return deadlines.now();
    }

    Counts counts() {
        return counts;
    }

    Socket newSocket() {
        return sockets.get();
    }

    long connectTimeoutUs() {
        return setup.get().connectTimeoutUs();
    }

    /** Starts an attempt. Its end is told to the conductor, by this thread if nothing went out at all. */
    void send(Attempt attempt) {
        Endpoints.Endpoint endpoint = table.endpointOf(attempt.order.host());
        if (endpoint == null) {
            figures.stopped(stoppedBy(attempt));
        }
        if (endpoint == null || attempt.isUploading() && !attempt.exchange.from.isUploadAdmitted()) {
            conductor.attemptEnded(attempt, AttemptEnd.NOT_SENT, null, null, null);
            return;
        }
        if (!attempt.exchange.attach(attempt)) {
            conductor.attemptEnded(attempt, AttemptEnd.GIVEN_UP, null, null, null);
            return;
        }
        // The time of a long request begins with its last byte.
        attempt.endsWith(attempt.isUploading() ? null
                : deadlines.after(attempt.untilUs() - now(), () -> attempt.cut(AttemptEnd.TIMED_OUT)));
        synchronized (this) {
            pace.sent(endpoint, now());
        }
        goOut(endpoint, attempt);
    }

    private static Thread waiter(Runnable work) {
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
    private void goOut(Endpoints.Endpoint endpoint, Attempt attempt) {
        UpstreamConnection.Begin begin = UpstreamConnection.Begin.UNFIT;
        while (begin == UpstreamConnection.Begin.UNFIT) {
            Found found = find(endpoint, attempt);
            if (found == null) {
                conductor.attemptStarted(attempt);
                open(endpoint, attempt);
                return;
            }
            if (found.restUs() > 0) {
                openSpare(endpoint, attempt.order.host());
                waitFor(endpoint, attempt, now() + found.restUs());
                return;
            }
            conductor.attemptStarted(attempt);
            begin = found.connection().write(attempt);
            if (begin != UpstreamConnection.Begin.TAKEN) {
                found.connection().close();
            }
        }
        if (begin == UpstreamConnection.Begin.STOPPED) {
            neverSent(attempt);
        }
    }

    /** A thread of its own waits: the caller's has a client to listen to, or a connection. */
    private void waitFor(Endpoints.Endpoint endpoint, Attempt attempt, long untilUs) {
        try {
            waiters.execute(() -> afterRest(endpoint, attempt, untilUs));
        } catch (OutOfMemoryError e) {
            LOG.log(Level.SEVERE, "no thread to wait for a connection", e);
            threadShortage.run();
            release(endpoint, attempt);
            neverSent(attempt);
        }
    }

    /** Where it may still begin, it finds the connection that it was promised, or, that being lost, what there is. */
    private void afterRest(Endpoints.Endpoint endpoint, Attempt attempt, long untilUs) {
        attempt.rest(untilUs, deadlines::now);
        if (mayBegin(attempt, endpoint)) {
            goOut(endpoint, attempt);
        } else {
            release(endpoint, attempt);
            neverSent(attempt);
        }
    }

    /** Opens a connection for the attempt, in the place of an idle one where there are as many as there may be. */
    private void open(Endpoints.Endpoint endpoint, Attempt attempt) {
        UpstreamConnection connection = null;
        UpstreamConnection evicted = null;
        synchronized (this) {
            if (open >= most) {
                evicted = evict();
            }
            if (open < most || evicted != null) {
                connection = new UpstreamConnection(this, endpoint, attempt);
                open++;
            }
        }
        if (evicted != null) {
            evicted.close();
        }
        if (connection == null) {
            LOG.warning("no room for another connection to an upstream");
            neverSent(attempt);
            return;
        }
        attempt.on(connection, -1);
        if (attempt.isUploading()) {
            attempt.takenUp();                  // its client's thread goes on from here
        } else {
            start(connection);
        }
    }

    /** Opens a connection that no attempt has yet, where the pace of attempts is worth one and there is room. */
    private void openSpare(Endpoints.Endpoint endpoint, String host) {
        UpstreamConnection spare;
        synchronized (this) {
            if (isClosing || open >= most || !pace.wantsSpare(endpoint, now(), SPARES_AT_ONCE)) {
                return;
            }
            spare = new UpstreamConnection(this, endpoint, host);
            pace.opening(endpoint);
            open++;
        }
        start(spare);
    }

    /** A spare connection is open, or has failed; whether it stays. Nothing was asked on it: it needs no rest. */
    boolean spareOpened(UpstreamConnection spare, String host, boolean isOpen) {
        synchronized (this) {
            pace.opened(spare.endpoint, isOpen, now());
            if (!isOpen || isClosing || !spare.endpoint.equals(table.endpointOf(host))) {
                return false;
            }
            keepIdle(spare, now() - REST_US);
            // Whoever would wait the longest looks anew.
            Iterator<UpstreamConnection> last = idle.get(spare.endpoint).descendingIterator();
            while (last.hasNext()) {
                UpstreamConnection resting = last.next();
                if (resting.promisedTo() != null) {
                    resting.promisedTo().stopResting();
                    return true;
                }
            }
            return true;
        }
    }

    /** Among the idle ones from now on; under the lock. */
    private void keepIdle(UpstreamConnection connection, long sinceUs) {
        Deque<UpstreamConnection> ready = idle.computeIfAbsent(connection.endpoint, e -> new ArrayDeque<>());
        long idleUs = (long) (setup.get().connIdleUs() * IDLE_SHARE);
        long stayUs = ready.isEmpty() ? idleUs : Math.min(idleUs, SPARE_US);
        connection.idle(sinceUs, deadlines.after(stayUs, () -> retire(connection)));
        ready.addLast(connection);
    }

    /**
     * Asked right before an attempt's first byte, on a used connection as on a new one: whether it may still go out.
     * While it waited, above all for its connect, the client may have left or been answered, the window for repeats or
     * the time may be over, or the host may want no new work. What is stopped here never ran: the module decides anew.
     */
    boolean mayBegin(Attempt attempt, Endpoints.Endpoint endpoint) {
        long now = now();
        String reason = attempt.isCut() ? "cut" : attempt.exchange.isOver() ? "answered"
                : !attempt.mayBeginAt(now) ? "late"
                : !endpoint.equals(table.endpointToSend(attempt.order.host(), now)) ? stoppedBy(attempt) : null;
        if (reason != null) {
            figures.stopped(reason);
            attempt.answered(AttemptEnd.NOT_SENT);      // unless it has ended otherwise
        }
        return reason == null;
    }

    /** Why its server takes no new work: its status, which is "serving" where it is another process by now. */
    private String stoppedBy(Attempt attempt) {
        return table.statusOf(attempt.order.host()).name().toLowerCase(Locale.ROOT);
    }

    /** Nothing of the attempt went out, and no connection has it. */
    private void neverSent(Attempt attempt) {
        attempt.writeEnded(false, now());
        deadlines.cancel(attempt.deadline());
        conductor.attemptEnded(attempt, attempt.neverSent(), null, null, null);
    }

    /** Gives a connection its own thread. */
    void start(UpstreamConnection connection) {
        try {
            new Thread(connection, "upstream " + Sockets.text(connection.endpoint.address())).start();
        } catch (OutOfMemoryError e) {
            // No thread to be had: what was not written never ran, and the module decides what to do instead.
            LOG.log(Level.SEVERE, "no thread for a connection", e);
            threadShortage.run();
            Attempt owed = connection.owed();
            if (owed != null && owed.isWriting()) {
                owed.writeEnded(false, now());
            }
            connection.notStarted();
            connection.close();
            ended(connection);
        }
    }

    /** A connection for an attempt: its own from now on, or, with a rest left, promised to it alone, microseconds. */
    private record Found(UpstreamConnection connection, long restUs) { }

    /** The last used of those that have rested; else the first to have rested; null: there is none for it. */
    private synchronized Found find(Endpoints.Endpoint endpoint, Attempt attempt) {
        release(endpoint, attempt);
        Deque<UpstreamConnection> ready = idle.get(endpoint);
        if (ready == null) {
            return null;
        }
        long now = now();
        for (Iterator<UpstreamConnection> last = ready.descendingIterator(); last.hasNext(); ) {
            UpstreamConnection connection = last.next();
            long idleUs = now - connection.idleSinceUs();
            if (idleUs >= REST_US && connection.promisedTo() == null) {
                if (!risk.isAccepted(idleUs)) {
                    break;                  // and the others have been idle for longer
                }
                last.remove();
                deadlines.cancel(connection.idleEnd());
                connection.assign(attempt);
                attempt.on(connection, idleUs);
                return new Found(connection, 0);
            }
        }
        UpstreamConnection first = ready.stream().filter(c -> now - c.idleSinceUs() < REST_US && c.promisedTo() == null)
                .findFirst().orElse(null);
        if (first == null || !risk.isAccepted(REST_US) || !attempt.mayBeginAt(first.idleSinceUs() + REST_US)) {
            return null;
        }
        first.promise(attempt);
        return new Found(first, first.idleSinceUs() + REST_US - now);
    }

    /** The attempt does not wait for a connection any more. */
    private synchronized void release(Endpoints.Endpoint endpoint, Attempt attempt) {
        idle.getOrDefault(endpoint, NONE).stream().filter(c -> c.promisedTo() == attempt).forEach(c -> c.promise(null));
    }

    /** It can't be waited for any more, and has left the idle ones; under the lock. */
    private static void gone(UpstreamConnection connection) {
        if (connection.promisedTo() != null) {
            connection.promisedTo().stopResting();
        }
    }

    /** One that nobody waits for. */
    private UpstreamConnection evict() {
        for (Deque<UpstreamConnection> ready : idle.values()) {
            for (UpstreamConnection connection : ready) {
                if (connection.promisedTo() == null) {
                    ready.remove(connection);
                    return connection;
                }
            }
        }
        return null;
    }

    /** The last piece of a long request is about to go out; false where its attempt has ended. */
    boolean lastPiece(Attempt attempt, long budgetUs) {
        Deadlines.Deadline late = deadlines.after(budgetUs, () -> attempt.cut(AttemptEnd.TIMED_OUT));
        boolean goes = attempt.lastPiece(late, now() + budgetUs);
        if (!goes) {
            deadlines.cancel(late);
        }
        return goes;
    }

    /** The host has answered, whole or with the beginning of a long answer. */
    void answered(Attempt attempt) {
        deadlines.cancel(attempt.deadline());
        risk.note(attempt.idleUs(), false);
    }

    /** A whole answer goes to whom it concerns. */
    void told(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
        conductor.attemptEnded(attempt, end, load, head, body);
    }

    /** A long answer is passed on; whether it was whole, and the client took all of it. */
    boolean relay(Attempt attempt, HostLoad load, Head head, Body body, byte[] start) {
        return conductor.relay(attempt, load, head, body, start);
    }

    /** The connection may be used again: before the client can send its next request, where the answer was short. */
    void free(UpstreamConnection connection, String host) {
        boolean stays;
        synchronized (this) {
            // Where the list has changed meanwhile, the next attempt goes to another process. Asked under the lock: the
            // news are in the table before the idle connections on the endpoints that are gone are closed.
            stays = connection.endpoint.equals(table.endpointOf(host));
            if (stays) {
                keepIdle(connection, now());
            }
        }
        if (!stays) {
            connection.close();
        }
    }

    private void retire(UpstreamConnection connection) {
        if (removeIdle(connection)) {
            connection.close();
        }
    }

    private synchronized boolean removeIdle(UpstreamConnection connection) {
        Deque<UpstreamConnection> ready = idle.get(connection.endpoint);
        boolean removed = ready != null && ready.remove(connection);
        if (removed) {
            gone(connection);
        }
        if (removed && ready.isEmpty()) {
            idle.remove(connection.endpoint);      // hosts come under new ids for good
        }
        return removed;
    }

    /** Closes the idle connections on endpoints that take no more work. */
    void closeIdle(Collection<Endpoints.Endpoint> endpoints) {
        for (Endpoints.Endpoint endpoint : endpoints) {
            Deque<UpstreamConnection> ready;
            synchronized (this) {
                ready = idle.remove(endpoint);
                if (ready != null) {
                    ready.forEach(UpstreamSide::gone);
                }
            }
            if (ready != null) {
                ready.forEach(UpstreamConnection::close);
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
    void ended(UpstreamConnection connection) {
        synchronized (this) {
            open--;
            removeIdle(connection);
            deadlines.cancel(connection.idleEnd());
        }
        Attempt owed = connection.owedAtEnd();
        if (owed != null) {
            AttemptEnd end = owed.broken();
            deadlines.cancel(owed.deadline());
            if (end == AttemptEnd.RESET || end == AttemptEnd.NOT_CONNECTED) {
                risk.note(owed.idleUs(), true);
            }
            if (end == AttemptEnd.TIMED_OUT || end == AttemptEnd.SILENT) {
                // A machine that vanished leaves its idle connections open and silent: an attempt on another one
                // would time out too and might have run, while a connect that fails proves that it never ran.
                closeIdle(List.of(connection.endpoint));
            }
            conductor.attemptEnded(owed, end, null, null, null);
        }
    }
}
