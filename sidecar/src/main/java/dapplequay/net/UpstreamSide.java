package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.facade.LegEnd;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.Sockets;
import dapplequay.management.Counts;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.Deadlines;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
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
     * shows by then, and is not taken for the answer to the next leg, or that leg for one that may have run.
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

    private static final Deque<UpstreamConnection> NONE = new ArrayDeque<>();

    private final RoutingTable table;
    private final Deadlines deadlines;
    private final Supplier<Setup> setup;
    private final int most;
    private final Map<RoutingTable.Route, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final IdleRisk risk;
    private final Counts counts;
    /** They wait for connections to have rested: no more at once than there are such connections. */
    private final Executor waiters = new ThreadPoolExecutor(0, Integer.MAX_VALUE, WAITER_MS, TimeUnit.MILLISECONDS,
            new SynchronousQueue<>(), UpstreamSide::waiter);
    private int open;
    private Conductor conductor;

    UpstreamSide(RoutingTable table, Deadlines deadlines, Supplier<Setup> setup, int most,
               Counts counts) {
        this.table = table;
        this.deadlines = deadlines;
        this.setup = setup;
        this.most = most;
        this.counts = counts;
        risk = new IdleRisk(deadlines::now);
    }

    /** Who hears of the legs' ends; set once, before the first leg. */
    void conductor(Conductor theConductor) {
        conductor = theConductor;
    }

    long now() {
        return deadlines.now();
    }

    Counts counts() {
        return counts;
    }

    long connectTimeoutUs() {
        return setup.get().connectTimeoutUs();
    }

    /** Starts a leg. Its end is told to the conductor, by this thread if nothing went out at all. */
    void send(Leg leg) {
        RoutingTable.Route route = table.routeOf(leg.order.host());
        if (route == null || leg.isUploading() && !leg.authorisation.from.hasRoom()) {
            conductor.legEnded(leg, LegEnd.NOT_SENT, null, null, null);
            return;
        }
        if (!leg.authorisation.attach(leg)) {
            conductor.legEnded(leg, LegEnd.GIVEN_UP, null, null, null);
            return;
        }
        // The time of a long request begins with its last byte.
        leg.endsWith(leg.isUploading() ? null
                : deadlines.after(leg.untilUs() - now(), () -> leg.cut(LegEnd.TIMED_OUT)));
        goOut(route, leg);
    }

    private static Thread waiter(Runnable work) {
        Thread thread = new Thread(work, "waits for an upstream connection");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Writes the leg to a connection that has rested, passing over those that prove unfit, has it wait for one that
     * rests, or opens one, in this order: a new one is work for the host, and may be slow to come up.
     */
    private void goOut(RoutingTable.Route route, Leg leg) {
        UpstreamConnection.Begin begin = UpstreamConnection.Begin.UNFIT;
        while (begin == UpstreamConnection.Begin.UNFIT) {
            Found found = find(route, leg);
            if (found == null) {
                open(route, leg);
                return;
            }
            if (found.restUs() > 0) {
                waitFor(route, leg, now() + found.restUs());
                return;
            }
            begin = found.connection().write(leg);
            if (begin != UpstreamConnection.Begin.TAKEN) {
                found.connection().close();
            }
        }
        if (begin == UpstreamConnection.Begin.STOPPED) {
            neverSent(leg);
        }
    }

    /** A thread of its own waits: the caller's has a client to listen to, or a connection. */
    private void waitFor(RoutingTable.Route route, Leg leg, long untilUs) {
        try {
            waiters.execute(() -> afterRest(route, leg, untilUs));
        } catch (OutOfMemoryError e) {
            LOG.log(Level.SEVERE, "no thread to wait for a connection", e);
            release(route, leg);
            neverSent(leg);
        }
    }

    /** Where it may still begin, it finds the connection that it was promised, or, that being lost, what there is. */
    private void afterRest(RoutingTable.Route route, Leg leg, long untilUs) {
        leg.rest(untilUs, deadlines::now);
        if (mayBegin(leg, route)) {
            goOut(route, leg);
        } else {
            release(route, leg);
            neverSent(leg);
        }
    }

    /** Opens a connection for the leg, in the place of an idle one where there are as many as there may be. */
    private void open(RoutingTable.Route route, Leg leg) {
        UpstreamConnection connection = null;
        UpstreamConnection evicted = null;
        synchronized (this) {
            if (open >= most) {
                evicted = evict();
            }
            if (open < most || evicted != null) {
                connection = new UpstreamConnection(this, route, leg);
                open++;
            }
        }
        if (evicted != null) {
            evicted.close();
        }
        if (connection == null) {
            LOG.warning("no room for another connection to an upstream");
            neverSent(leg);
            return;
        }
        leg.on(connection, -1);
        if (leg.isUploading()) {
            leg.takenUp();                  // its client's thread goes on from here
        } else {
            start(connection);
        }
    }

    /**
     * Asked right before a leg's first byte, on a used connection as on a new one: whether it may still go out. While
     * it waited, above all for its connect, the client may have left or been answered, the window for repeats or the
     * time may be over, or the host may want no new work. What is stopped here never ran: the module decides anew.
     */
    boolean mayBegin(Leg leg, RoutingTable.Route route) {
        long now = now();
        boolean may = !leg.isCut() && !leg.authorisation.isOver() && leg.mayBeginAt(now)
                && route.equals(table.routeOf(leg.order.host()));
        if (!may) {
            leg.answered(LegEnd.NOT_SENT);      // unless it has ended otherwise
        }
        return may;
    }

    /** Nothing of the leg went out, and no connection has it. */
    private void neverSent(Leg leg) {
        leg.writeEnded(false, now());
        deadlines.cancel(leg.deadline());
        conductor.legEnded(leg, leg.neverSent(), null, null, null);
    }

    /** Gives a connection its own thread. */
    void start(UpstreamConnection connection) {
        try {
            new Thread(connection, "upstream " + Sockets.text(connection.route.endpoint())).start();
        } catch (OutOfMemoryError e) {
            // No thread to be had: what was not written never ran, and the module decides what to do instead.
            LOG.log(Level.SEVERE, "no thread for a connection", e);
            Leg owed = connection.owed();
            if (owed != null && owed.isWriting()) {
                owed.writeEnded(false, now());
            }
            connection.close();
            ended(connection);
        }
    }

    /** A connection for a leg: its own from now on, or, with a rest left, promised to it alone, microseconds. */
    private record Found(UpstreamConnection connection, long restUs) { }

    /** The last used of those that have rested; else the first to have rested; null: there is none for it. */
    private synchronized Found find(RoutingTable.Route route, Leg leg) {
        release(route, leg);
        Deque<UpstreamConnection> ready = idle.get(route);
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
                connection.assign(leg);
                leg.on(connection, idleUs);
                return new Found(connection, 0);
            }
        }
        UpstreamConnection first = ready.stream().filter(c -> now - c.idleSinceUs() < REST_US && c.promisedTo() == null)
                .findFirst().orElse(null);
        if (first == null || !risk.isAccepted(REST_US) || !leg.mayBeginAt(first.idleSinceUs() + REST_US)) {
            return null;
        }
        first.promise(leg);
        return new Found(first, first.idleSinceUs() + REST_US - now);
    }

    /** The leg does not wait for a connection any more. */
    private synchronized void release(RoutingTable.Route route, Leg leg) {
        idle.getOrDefault(route, NONE).stream().filter(c -> c.promisedTo() == leg).forEach(c -> c.promise(null));
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

    /** The last piece of a long request is about to go out; false where its leg has ended. */
    boolean lastPiece(Leg leg, long budgetUs) {
        Deadlines.Deadline late = deadlines.after(budgetUs, () -> leg.cut(LegEnd.TIMED_OUT));
        boolean goes = leg.lastPiece(late, now() + budgetUs);
        if (!goes) {
            deadlines.cancel(late);
        }
        return goes;
    }

    /** The host has answered, whole or with the beginning of a long answer. */
    void answered(Leg leg) {
        deadlines.cancel(leg.deadline());
        risk.note(leg.idleUs(), false);
    }

    /** A whole answer goes to whom it concerns. */
    void told(Leg leg, LegEnd end, HostLoad load, Head head, byte[] body) {
        conductor.legEnded(leg, end, load, head, body);
    }

    /** A long answer is passed on; whether it was whole, and the client took all of it. */
    boolean relay(Leg leg, HostLoad load, Head head, Body body, byte[] start) {
        return conductor.relay(leg, load, head, body, start);
    }

    /** The connection may be used again: before the client can send its next request, where the answer was short. */
    void free(UpstreamConnection connection, String host) {
        boolean stays;
        synchronized (this) {
            // Where the list has changed meanwhile, the next leg goes to another process. Asked under the lock: the
            // news are in the table before the idle connections on the routes that are gone are closed.
            stays = connection.route.equals(table.routeOf(host));
            if (stays) {
                Deque<UpstreamConnection> ready = idle.computeIfAbsent(connection.route, e -> new ArrayDeque<>());
                long idleUs = (long) (setup.get().connIdleUs() * IDLE_SHARE);
                long stayUs = ready.isEmpty() ? idleUs : Math.min(idleUs, SPARE_US);
                connection.idle(now(), deadlines.after(stayUs, () -> retire(connection)));
                ready.addLast(connection);
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
        Deque<UpstreamConnection> ready = idle.get(connection.route);
        boolean removed = ready != null && ready.remove(connection);
        if (removed) {
            gone(connection);
        }
        if (removed && ready.isEmpty()) {
            idle.remove(connection.route);      // hosts come under new ids for good
        }
        return removed;
    }

    /** Closes the idle connections on routes that take no more work. */
    void closeIdle(Collection<RoutingTable.Route> routes) {
        for (RoutingTable.Route route : routes) {
            Deque<UpstreamConnection> ready;
            synchronized (this) {
                ready = idle.remove(route);
                if (ready != null) {
                    ready.forEach(UpstreamSide::gone);
                }
            }
            if (ready != null) {
                ready.forEach(UpstreamConnection::close);
            }
        }
    }

    /** Closes all idle connections: no more legs come. */
    void closeAllIdle() {
        List<RoutingTable.Route> routes;
        synchronized (this) {
            routes = List.copyOf(idle.keySet());
        }
        closeIdle(routes);
    }

    /** A connection's thread is done with it; a leg that it still owed is reported. */
    void ended(UpstreamConnection connection) {
        synchronized (this) {
            open--;
            removeIdle(connection);
            deadlines.cancel(connection.idleEnd());
        }
        Leg owed = connection.owedAtEnd();
        if (owed != null) {
            LegEnd end = owed.broken();
            deadlines.cancel(owed.deadline());
            if (end == LegEnd.RESET || end == LegEnd.NOT_CONNECTED) {
                risk.note(owed.idleUs(), true);
            }
            if (end == LegEnd.TIMED_OUT || end == LegEnd.SILENT) {
                // A machine that vanished leaves its idle connections open and silent: a leg on another one
                // would time out too and might have run, while a connect that fails proves that it never ran.
                closeIdle(List.of(connection.route));
            }
            conductor.legEnded(owed, end, null, null, null);
        }
    }
}
