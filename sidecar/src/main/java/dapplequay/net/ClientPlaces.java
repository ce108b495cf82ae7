package dapplequay.net;

import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The client connections of this process and the limits of their number: who is closed to make room, and who is
 * accepted over the limit. Thread-safe.
 */
final class ClientPlaces {
    private static final Logger LOG = Logger.getLogger(ClientPlaces.class.getName());
    /** Interval of the checks whether a connection has ended, in milliseconds. */
    private static final int WAIT_MS = 20;
    /** Unproven connections (without a complete request yet) are a flood from this share of the connection limit on. */
    private static final double FLOOD_SHARE = 0.25;
    /** How long the client of a connection that is closed to make room has to close too, in microseconds. */
    private static final long SHORT_LINGER_US = 10_000;
    /** The share of the present clients that may stay when the system has no more threads. */
    private static final double SHORTAGE_KEEP_SHARE = 0.8;
    private static final double NEAR_LIMIT_SHARE = 0.75;
    /** The connection limit never falls below this. */
    private static final int MIN_CONNECTIONS = 4;
    /** After this time without a shortage of threads, the connection limit is restored, in microseconds. */
    private static final long LIMIT_RECOVERY_US = 60_000_000;
    /** How many may be over the limit: a share of it, and the least and most. */
    private static final double RESERVE_SHARE = 0.125;
    private static final int MIN_RESERVE = 4;
    private static final int MAX_RESERVE = 8;
    private static final long REFUSAL_LOG_INTERVAL_US = 1_000_000;
    private static final int REFUSAL_LOG_BURST = 10;

    private final LongSupplier clock;
    private final ThreadReserve threads;
    private final LogLimiter refusalLog;
    private final int maxConnections;
    /** Places over the limit, for clients whose requests are refused if no other place becomes free. */
    private final int reservedPlaces;
    private final int crowdThreshold;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Those of the connections that were accepted over the limit and have no place yet. */
    private final Set<ClientConnection> overLimit = new HashSet<>();
    /** The current limit of connections: below {@link #maxConnections} after a shortage of threads. Guarded by this. */
    private int connectionLimit;
    private volatile boolean isWaitingOver;

    /**
     * @param clock          in microseconds
     * @param maxConnections the limit of connections, without the places reserved for clients over it
     * @param crowdThreshold the number of clients from which on they are crowded
     */
    ClientPlaces(LongSupplier clock, int maxConnections, int crowdThreshold, ThreadReserve threads) {
        this.clock = clock;
        reservedPlaces = Math.max(MIN_RESERVE, reserveOf(maxConnections));
        this.maxConnections = maxConnections;
        refusalLog = new LogLimiter(clock, REFUSAL_LOG_INTERVAL_US, REFUSAL_LOG_BURST);
        this.threads = threads;
        connectionLimit = maxConnections;
        threads.onShortage(this::lowerLimit);
        this.crowdThreshold = crowdThreshold;
    }

    /** Returns the limit if there may be so many connections together with those over it. */
    static int limitWithin(int allConnections) {
        return allConnections - reserveOf(allConnections);
    }

    private static int reserveOf(int connections) {
        return (int) Math.min(MAX_RESERVE, connections * RESERVE_SHARE);
    }

    /**
     * True if clients hold nearly as many descriptors as they may. Each response then ends its connection, as clients
     * that send one request and keep the connection would leave no descriptor for the next request.
     */
    synchronized boolean isCrowded() {
        return connections.size() >= crowdThreshold;
    }

    /** Adds a connection that was accepted; at the limit, it has no place yet. */
    synchronized void add(ClientConnection connection) {
        if (isFull()) {
            overLimit.add(connection);
        }
        connections.add(connection);
        notifyAll();
    }

    /**
     * True if connections are near their limit. Where memory allows few clients, they may be crowded far below their
     * share of the descriptors.
     */
    synchronized boolean isNearLimit() {
        return connections.size() >= connectionLimit * NEAR_LIMIT_SHARE;
    }

    /** Lowers the connection limit, as each client takes a thread; idle connections are then closed to make room. */
    private synchronized void lowerLimit() {
        connectionLimit = Math.max(MIN_CONNECTIONS,
                Math.min(connectionLimit, (int) (connections.size() * SHORTAGE_KEEP_SHARE)));
        notifyAll();
    }

    /** Restores the connection limit some time after the last shortage of threads. */
    synchronized void restoreLimit() {
        long lastShortageUs = threads.lastShortageUs();
        if (connectionLimit < maxConnections && lastShortageUs != Long.MIN_VALUE
                && clock.getAsLong() - lastShortageUs > LIMIT_RECOVERY_US) {
            connectionLimit = maxConnections;
        }
    }

    /** True if another client may be accepted over the limit. */
    synchronized boolean hasReservedPlace() {
        return connections.size() < connectionLimit + reservedPlaces;
    }

    /**
     * Called with a complete request; returns whether there is a place for it. A client that was accepted over the
     * limit takes the place of one that is idle, or waits until others have left, as long as the next client finds a
     * reserved place, or some may soon be closed as they have sent no request.
     *
     * @param untilUs until when it may wait, microseconds
     */
    boolean awaitPlace(ClientConnection connection, RequestTimeline timeline, long untilUs)
            throws InterruptedIOException {
        if (awaitPlace(connection, untilUs)) {
            return true;
        }
        long omitted = refusalLog.tryAcquire();
        if (omitted >= 0) {
            LOG.log(Level.WARNING, "limit of client connections reached; request {0} refused{1}",
                    new Object[] {timeline.callId(), LogLimiter.omittedNote(omitted)});
        }
        return false;
    }

    private synchronized boolean hasOrMakesPlace() {
        int ending = shortenLingers();
        return connections.size() - ending <= connectionLimit || ending == 0 && closeOne(true);
    }

    private synchronized boolean awaitPlace(ClientConnection connection, long untilUs) throws InterruptedIOException {
        while (overLimit.contains(connection) && !hasOrMakesPlace()) {
            boolean mayWait = hasReservedPlace() || connections.stream().anyMatch(ClientConnection::isUnproven);
            if (!mayWait || isWaitingOver || clock.getAsLong() >= untilUs) {
                return false;
            }
            MonitorWaits.atMost(this, WAIT_MS);
        }
        overLimit.remove(connection);
        return true;
    }

    /** True at the limit of connections. */
    synchronized boolean isFull() {
        return connections.size() >= connectionLimit;
    }

    /** Makes room unless connections are ending already, and waits a moment for an end if a client waits. */
    synchronized void makeRoom(boolean isClientWaiting) throws InterruptedException {
        if (!isFull()) {
            return;
        }
        if (shortenLingers() == 0) {
            closeOne(isClientWaiting);
        }
        if (isClientWaiting) {
            wait(WAIT_MS);
        }
    }

    /** Shortens the closes that have begun; returns how many connections are about to end. */
    private synchronized int shortenLingers() {
        int ending = 0;
        for (ClientConnection connection : connections) {
            ending += connection.shortenLinger(SHORT_LINGER_US) ? 1 : 0;
        }
        return ending;
    }

    /**
     * Closes the oldest unproven connection, else the oldest idle one. Only one at a time: closing all idle connections
     * also closed new ones whose first request was on its way. Unproven connections are closed first; in a flood of
     * them nothing else is closed while they are too young, as the flood would otherwise push out the clients' idle
     * connections. But every client is unproven at first, and a few of them must not hold up the others. While no
     * client waits, unproven connections stay, as their first request may be on its way. Returns whether one was
     * closed, or would be if a client waited.
     */
    private boolean closeOne(boolean isClientWaiting) {
        boolean isFlood = connections.stream().filter(ClientConnection::isUnproven).count()
                >= connectionLimit * FLOOD_SHARE;
        boolean closesUnproven = isClientWaiting
                ? connections.stream().anyMatch(c -> c.closeIfUnproven(isFlood))
                : connections.stream().anyMatch(c -> c.isClosableUnproven(isFlood));
        return closesUnproven || !isFlood && connections.stream().filter(c -> !c.isUnproven())
                .anyMatch(c -> c.closeIfIdle(SHORT_LINGER_US));
    }

    /** Removes a connection that has ended. */
    synchronized void remove(ClientConnection connection) {
        connections.remove(connection);
        overLimit.remove(connection);
        notifyAll();
    }

    /** Returns a copy of the open connections, on which methods can be called without the lock. */
    synchronized List<ClientConnection> all() {
        return new ArrayList<>(connections);
    }

    /** Ends all waits for places: these requests are refused. */
    void endWaits() {
        isWaitingOver = true;
    }

    /** Returns how many connections have a long transfer that has not ended. */
    synchronized long transferCount() {
        return connections.stream().filter(ClientConnection::awaitsEndOfTransfer).count();
    }

    /** Waits until no connection has a long transfer. */
    synchronized void awaitEndOfTransfers() throws InterruptedException {
        while (transferCount() > 0) {
            wait(WAIT_MS);
        }
    }

    /** Waits until there are none and the first time has come; false if the second comes before, microseconds. */
    synchronized boolean awaitNone(long newClientsUntilUs, long untilUs) throws InterruptedException {
        while (clock.getAsLong() < newClientsUntilUs || !connections.isEmpty()) {
            if (clock.getAsLong() >= untilUs) {
                return false;
            }
            wait(WAIT_MS);
        }
        return true;
    }
}
