package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.facade.LegEnd;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The connections to issuer hosts: idle ones are used again, the last used first, and others opened. */
final class IssuerSide {
    private static final Logger LOG = Logger.getLogger(IssuerSide.class.getName());
    /** A host closes at the full time; what is written to a connection from then on ends as a reset. */
    private static final double IDLE_SHARE = 0.7;

    private final RoutingTable table;
    private final Deadlines deadlines;
    private final long connectTimeoutUs;
    private final long idleUs;
    private final int most;
    private final Map<InetSocketAddress, Deque<IssuerConnection>> idle = new HashMap<>();
    private int open;
    private Conductor conductor;

    IssuerSide(RoutingTable table, Deadlines deadlines, long connectTimeoutUs, long connIdleUs, int most) {
        this.table = table;
        this.deadlines = deadlines;
        this.connectTimeoutUs = connectTimeoutUs;
        this.idleUs = (long) (connIdleUs * IDLE_SHARE);
        this.most = most;
    }

    /** Who hears of the legs' ends; set once, before the first leg. */
    void conductor(Conductor theConductor) {
        conductor = theConductor;
    }

    long now() {
        return deadlines.now();
    }

    long connectTimeoutUs() {
        return connectTimeoutUs;
    }

    InetSocketAddress endpointOf(String uid) {
        return table.endpointOf(uid);
    }

    /** Starts a leg. Its end is told to the conductor, by this thread if nothing went out at all. */
    void send(Leg leg) {
        InetSocketAddress endpoint = table.endpointOf(leg.order.host());
        if (endpoint == null) {
            conductor.legEnded(leg, LegEnd.NOT_SENT, null, null, null);
            return;
        }
        if (!leg.authorisation.attach(leg)) {
            conductor.legEnded(leg, LegEnd.GIVEN_UP, null, null, null);
            return;
        }
        IssuerConnection connection;
        IssuerConnection evicted = null;
        boolean fresh = false;
        synchronized (this) {
            connection = takeIdle(endpoint, leg);
            if (connection == null) {
                if (open >= most) {
                    evicted = evict();
                }
                if (open < most || evicted != null) {
                    connection = new IssuerConnection(this, endpoint, leg);
                    fresh = true;
                    open++;
                }
            }
        }
        if (evicted != null) {
            evicted.close();
        }
        if (connection == null) {
            LOG.warning("no room for another connection to an issuer host");
            conductor.legEnded(leg, LegEnd.NOT_SENT, null, null, null);
            return;
        }
        leg.on(connection, deadlines.after(leg.untilUs - now(), () -> leg.cut(LegEnd.TIMED_OUT)));
        if (!fresh) {
            connection.write(leg);
            return;
        }
        try {
            new Thread(connection, "issuer " + Sockets.text(endpoint)).start();
        } catch (OutOfMemoryError e) {
            // No thread to be had; the leg never ran, and the module decides what to do instead.
            LOG.log(Level.SEVERE, "no thread for a connection", e);
            leg.writeEnded(false);
            ended(connection);
        }
    }

    private IssuerConnection takeIdle(InetSocketAddress endpoint, Leg leg) {
        Deque<IssuerConnection> ready = idle.get(endpoint);
        IssuerConnection connection = ready == null ? null : ready.pollLast();
        if (connection != null) {
            deadlines.cancel(connection.idleEnd());
            connection.assign(leg);
        }
        return connection;
    }

    private IssuerConnection evict() {
        for (Deque<IssuerConnection> ready : idle.values()) {
            IssuerConnection connection = ready.pollFirst();
            if (connection != null) {
                return connection;
            }
        }
        return null;
    }

    synchronized boolean isIdle(IssuerConnection connection) {
        Deque<IssuerConnection> ready = idle.get(connection.endpoint);
        return ready != null && ready.contains(connection);
    }

    /** A whole answer has come. The connection is free before the client can send the next request. */
    void answered(IssuerConnection connection, Leg leg, LegEnd end, HostLoad load, Head head, byte[] body,
                  boolean stays) {
        deadlines.cancel(leg.deadline());
        if (stays && table.endpointOf(leg.order.host()) != null) {
            synchronized (this) {
                connection.idleEnd(deadlines.after(idleUs, () -> retire(connection)));
                idle.computeIfAbsent(connection.endpoint, e -> new ArrayDeque<>()).addLast(connection);
            }
        } else {
            connection.close();
        }
        conductor.legEnded(leg, end, load, head, body);
    }

    private void retire(IssuerConnection connection) {
        if (removeIdle(connection)) {
            connection.close();
        }
    }

    private synchronized boolean removeIdle(IssuerConnection connection) {
        Deque<IssuerConnection> ready = idle.get(connection.endpoint);
        return ready != null && ready.remove(connection);
    }

    /** Closes the idle connections to endpoints that want no more work. */
    void closeIdle(Collection<InetSocketAddress> endpoints) {
        for (InetSocketAddress endpoint : endpoints) {
            Deque<IssuerConnection> ready;
            synchronized (this) {
                ready = idle.remove(endpoint);
            }
            if (ready != null) {
                ready.forEach(IssuerConnection::close);
            }
        }
    }

    /** A connection's thread is done with it; a leg that it still owed is reported. */
    void ended(IssuerConnection connection) {
        synchronized (this) {
            open--;
            removeIdle(connection);
            deadlines.cancel(connection.idleEnd());
        }
        Leg owed = connection.owed();
        if (owed != null) {
            LegEnd end = owed.broken();
            deadlines.cancel(owed.deadline());
            if (end == LegEnd.TIMED_OUT) {
                // A machine that vanished leaves its idle connections open and silent: a leg on another one
                // would time out too and might have run, while a connect that fails proves that it never ran.
                closeIdle(List.of(connection.endpoint));
            }
            conductor.legEnded(owed, end, null, null, null);
        }
    }
}
