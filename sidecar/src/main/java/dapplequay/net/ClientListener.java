package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.http.Sockets;
import dapplequay.management.RequestCounts;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Accepts clients and keeps their connections. */
final class ClientListener implements Runnable {
    private static final Logger LOG = Logger.getLogger(ClientListener.class.getName());
    private static final int RETRY_PAUSE_MS = 20;
    /** How long the last failures may take, in milliseconds, if the process was stalled until it was too late. */
    private static final long MIN_FAILURE_DELIVERY_MS = 30;
    /**
     * How long to wait for the accepting thread to stop, in milliseconds. It stops at once; if it were stuck, shutdown
     * must not be.
     */
    private static final long STOP_WAIT_MS = 500;
    /** Unproven connections (without a complete request yet) are a flood from this share of the connection limit on. */
    private static final double FLOOD_SHARE = 0.25;
    /**
     * How long the client of an idle connection has to close too, in microseconds: usually, and when connections are
     * short.
     */
    private static final long IDLE_LINGER_US = 100_000;
    private static final long SHORT_LINGER_US = 10_000;

    /** The share of the present clients that may stay when the system has no more threads. */
    private static final double SHORTAGE_KEEP_SHARE = 0.8;
    private static final double NEAR_LIMIT_SHARE = 0.75;
    /** The connection limit never falls below this. */
    private static final int MIN_CONNECTIONS = 4;
    /** After this time without a shortage of threads, the connection limit is restored, in microseconds. */
    private static final long LIMIT_RECOVERY_US = 60_000_000;
    /** How long a client may wait to be accepted before it gets a place over the limit, in microseconds. */
    private static final long MAX_ACCEPT_WAIT_US = 100_000;
    /** The share of the connections that is reserved for clients over the limit, and the least and most of these. */
    private static final double RESERVE_SHARE = 0.125;
    private static final int MIN_RESERVE = 4;
    private static final int MAX_RESERVE = 8;
    private static final long REFUSAL_LOG_INTERVAL_US = 1_000_000;
    private static final int REFUSAL_LOG_BURST = 10;

    private final Supplier<Setup> setup;
    private final Facade facade;
    private final RequestDispatcher dispatcher;
    private final DeadlineQueue deadlines;
    private final int maxConnections;
    /** Places over the limit, for clients whose requests are refused if no other place becomes free. */
    private final int reservedPlaces;
    private final int crowdThreshold;
    private final int maxUploads;
    private final AtomicInteger uploads = new AtomicInteger();
    private final ListeningSocket listeningSocket;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final CountDownLatch acceptingStopped = new CountDownLatch(1);
    private final RecentCallIds recentCallIds = new RecentCallIds();
    private volatile SharedCallIds sharedCallIds = SharedCallIds.none();
    private final RequestCounts counts;
    private final LateResponseLog lateResponses;
    private final LogLimiter refusalLog;
    private final AcceptQueue acceptQueue = new AcceptQueue();
    private final SidecarLifecycle lifecycle;
    private volatile boolean isShutdownTimeOver;
    /** Whether clients were crowded at any time since shutdown began; used only by the accepting thread. */
    private boolean endingSawCrowd;
    private final LongBodyThrottle bodyThrottle;
    private final ThreadReserve threads;
    /** The current limit of connections: below {@link #maxConnections} after a shortage of threads. Guarded by this. */
    private int connectionLimit;

    ClientListener(ListeningSocket listeningSocket, Supplier<Setup> setup, Facade facade, RequestDispatcher dispatcher,
            DeadlineQueue deadlines, RequestCounts counts, SidecarLifecycle lifecycle, LongBodyThrottle bodyThrottle,
            int maxConnections, int crowdThreshold, int maxUploads, ThreadReserve threads) {
        this.maxUploads = maxUploads;
        this.listeningSocket = listeningSocket;
        this.setup = setup;
        this.facade = facade;
        this.dispatcher = dispatcher;
        this.deadlines = deadlines;
        this.counts = counts;
        lateResponses = new LateResponseLog(deadlines::now, counts.lateResponses());
        this.lifecycle = lifecycle;
        this.bodyThrottle = bodyThrottle;
        int spared = (int) Math.min(MAX_RESERVE, maxConnections * RESERVE_SHARE);
        reservedPlaces = Math.max(MIN_RESERVE, spared);
        this.maxConnections = maxConnections - spared;
        refusalLog = new LogLimiter(deadlines::now, REFUSAL_LOG_INTERVAL_US, REFUSAL_LOG_BURST);
        this.threads = threads;
        connectionLimit = this.maxConnections;
        threads.onShortage(this::lowerConnectionLimit);
        this.crowdThreshold = crowdThreshold;
    }

    InetSocketAddress address() {
        return listeningSocket.address();
    }

    /** Sets the ids that other processes have met; called before clients are accepted. */
    void shareCallIds(SharedCallIds shared) {
        sharedCallIds = shared;
    }

    /** Returns the current settings. */
    Setup setup() {
        return setup.get();
    }

    /** Registers the id of a request; false if a request with the same id is open or may have run recently. */
    boolean registerCallId(long callId, long nowUs) {
        boolean isNew = recentCallIds.begin(callId, nowUs);
        if (isNew && !sharedCallIds.addIfNew(callId)) {
            recentCallIds.end(callId, false, nowUs, 0);
            return false;
        }
        return isNew;
    }

    /** Called when a request that was registered has ended; {@code mayHaveRun}: an attempt of it has begun. */
    void requestEnded(long callId, boolean mayHaveRun) {
        if (!mayHaveRun) {
            sharedCallIds.remove(callId);
        }
        recentCallIds.end(callId, mayHaveRun, deadlines.now(), 2 * setup().longestDeadlineUs());
    }

    long nextExchangeId() {
        return facade.nextRequestId();
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    DeadlineQueue deadlines() {
        return deadlines;
    }

    /**
     * True if clients hold nearly as many descriptors as they may. Each response then ends its connection, as clients
     * that send one request and keep the connection would leave no descriptor for the next request.
     */
    synchronized boolean isCrowded() {
        return connections.size() >= crowdThreshold;
    }

    RequestCounts counts() {
        return counts;
    }

    LateResponseLog lateResponses() {
        return lateResponses;
    }

    /** Counts another streamed request; false if there are too many at once, so that no attempt may begin for it. */
    boolean beginUpload() {
        return uploads.incrementAndGet() <= maxUploads;
    }

    void endUpload() {
        uploads.decrementAndGet();
    }

    /** Returns how long a thread that passes on a streamed body currently pauses between pieces, in milliseconds. */
    long streamPauseMs() {
        return bodyThrottle.pauseMs();
    }

    /** True if connections are being closed for a drain or shutdown: each response is then its connection's last. */
    boolean isEmptying() {
        return lifecycle.isEmptying();
    }

    ClientResponses.Response health() {
        return lifecycle.isReadyForClients() ? ClientResponses.plainText(200, "ok")
                : ClientResponses.plainText(503, "takes no clients");
    }

    /** Accepts connections until accepting is stopped; after any other failure the next connection is tried. */
    @Override
    public void run() {
        try {
            acceptAll();
        } finally {
            acceptingStopped.countDown();
        }
    }

    private void acceptAll() {
        while (!listeningSocket.isStopped()) {
            Socket socket = null;
            try {
                awaitRoom();
                if (stopsForCrowd()) {
                    listeningSocket.stopAccepting();
                    return;
                }
                long callUs = deadlines.now();
                socket = listeningSocket.accept();
                if (socket == null) {
                    return;
                }
                long arrivedUs = acceptQueue.accepted(deadlines.now() - callUs, deadlines.now());
                if (stopsForCrowd()) {
                    Sockets.closeQuietly(socket);
                    listeningSocket.stopAccepting();
                    return;
                }
                ClientConnection connection = new ClientConnection(this, socket, arrivedUs, isFull());
                synchronized (this) {
                    connections.add(connection);
                    notifyAll();
                }
                startThread(connection);
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                // Out of descriptors, threads or memory: other connections will end and release theirs.
                if (!listeningSocket.isStopped()) {
                    acceptQueue.heldUp(false, deadlines.now());
                    Sockets.closeQuietly(socket);
                    Logs.severeLine(LOG, "connection could not be accepted", e);
                    pauseBeforeRetry();
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * True if accepting should stop: shutdown has begun, clients were crowded since, and connections are to be closed.
     * Accepting all queued clients, and those that take their places, would take the time that is needed to respond to
     * requests which were already read.
     */
    private boolean stopsForCrowd() {
        if (!lifecycle.isEnding()) {
            return false;
        }
        endingSawCrowd |= isCrowded() || isNearLimit();
        return endingSawCrowd && lifecycle.isEmptying();
    }

    /**
     * True if connections are near their limit. Where memory allows few clients, they may be crowded far below their
     * share of the descriptors.
     */
    private synchronized boolean isNearLimit() {
        return connections.size() >= connectionLimit * NEAR_LIMIT_SHARE;
    }

    private void startThread(ClientConnection connection) {
        try {
            new Thread(connection, "client").start();
        } catch (OutOfMemoryError e) {
            connectionEnded(connection);
            threads.reportShortage();
            throw e;
        }
    }

    /** Lowers the connection limit, as each client takes a thread; idle connections are then closed to make room. */
    private synchronized void lowerConnectionLimit() {
        connectionLimit = Math.max(MIN_CONNECTIONS,
                Math.min(connectionLimit, (int) (connections.size() * SHORTAGE_KEEP_SHARE)));
        notifyAll();
    }

    /** Restores the connection limit some time after the last shortage of threads. */
    private synchronized void restoreConnectionLimit() {
        long lastShortageUs = threads.lastShortageUs();
        if (connectionLimit < maxConnections && lastShortageUs != Long.MIN_VALUE
                && deadlines.now() - lastShortageUs > LIMIT_RECOVERY_US) {
            connectionLimit = maxConnections;
        }
    }

    private static void pauseBeforeRetry() {
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits, at the connection limit, until a connection has ended, or until a client has waited for too long: its
     * request's time may be passing, and it has to be answered.
     */
    private void awaitRoom() throws IOException, InterruptedException {
        while (isFull() && !listeningSocket.isStopped()) {
            boolean isClientWaiting = listeningSocket.awaitClient(RETRY_PAUSE_MS);
            acceptQueue.heldUp(!isClientWaiting, deadlines.now());
            if (isClientWaiting && acceptQueue.longestWaitUs(deadlines.now()) >= MAX_ACCEPT_WAIT_US
                    && hasReservedPlace()) {
                return;
            }
            makeRoom(isClientWaiting);
        }
    }

    private synchronized boolean hasReservedPlace() {
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
        if (!connection.isOverLimit || awaitPlace(untilUs)) {
            return true;
        }
        long omitted = refusalLog.tryAcquire();
        if (omitted >= 0) {
            LOG.log(Level.WARNING, "limit of client connections reached; request {0} refused{1}",
                    new Object[] {timeline.callId(), omitted > 0 ? "; " + omitted + " such lines left out" : ""});
        }
        return false;
    }

    private synchronized boolean hasOrMakesPlace() {
        int ending = shortenLingers();
        return connections.size() - ending <= connectionLimit || ending == 0 && closeOne(true);
    }

    private synchronized boolean awaitPlace(long untilUs) throws InterruptedIOException {
        while (!hasOrMakesPlace()) {
            boolean mayWait = hasReservedPlace() || connections.stream().anyMatch(ClientConnection::isUnproven);
            if (!mayWait || deadlines.now() >= untilUs) {
                return false;
            }
            MonitorWaits.atMost(this, RETRY_PAUSE_MS);
        }
        return true;
    }

    private synchronized boolean isFull() {
        return connections.size() >= connectionLimit;
    }

    /** Makes room unless connections are ending already, and waits a moment for an end if a client waits. */
    private synchronized void makeRoom(boolean isClientWaiting) throws InterruptedException {
        if (!isFull()) {
            return;
        }
        if (shortenLingers() == 0) {
            closeOne(isClientWaiting);
        }
        if (isClientWaiting) {
            wait(RETRY_PAUSE_MS);
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

    synchronized void connectionEnded(ClientConnection connection) {
        connections.remove(connection);
        notifyAll();
    }

    /** Does the periodic work. During a drain or shutdown, closes idle connections. */
    void tick() {
        restoreConnectionLimit();
        if (!lifecycle.isEmptying()) {
            return;
        }
        List<ClientConnection> remaining = openConnections();
        remaining.forEach(connection -> connection.closeIfIdleForDrain(IDLE_LINGER_US));
        lifecycle.setOpenConnections(remaining.size());
    }

    /** Returns a copy of the open connections, on which methods can be called without the lock. */
    private synchronized List<ClientConnection> openConnections() {
        return new ArrayList<>(connections);
    }

    /**
     * Stops accepting at once if other processes accept from the same socket; true if so. All clients that were
     * accepted before are then among the connections.
     */
    boolean stopIfShared() throws InterruptedException {
        if (!listeningSocket.isShared()) {
            listeningSocket.prepareToStop();
            return false;
        }
        listeningSocket.stopAccepting();
        acceptingStopped.await(STOP_WAIT_MS, TimeUnit.MILLISECONDS);
        return true;
    }

    /**
     * Closes a connection that was idle for too long; not during shutdown, as the client could not open another one.
     */
    void idleTimeout(ClientConnection connection) {
        if (!lifecycle.isEnding()) {
            connection.idleTimeout(IDLE_LINGER_US);
        }
    }

    /**
     * Waits until there are no connections and, from {@code newClientsUntilUs} on, no new ones arrive, or until {@code
     * answerUntilUs}. Requests that are unanswered then fail, and the failures have until {@code closeAtUs} to reach
     * the clients. A listening socket of this process alone stays open meanwhile, as the clients that the system has
     * accepted have to be answered. It is closed once all of these are accepted here, however late the accepting thread
     * is, and at {@code closeAtUs} in any case.
     */
    void awaitEmpty(long newClientsUntilUs, long answerUntilUs, long closeAtUs) throws InterruptedException {
        if (!awaitNoConnections(newClientsUntilUs, answerUntilUs) || !acceptQueued(answerUntilUs)
                || !awaitNoConnections(newClientsUntilUs, answerUntilUs)) {
            // Set before the loop, so that each connection is either seen here or sees this.
            isShutdownTimeOver = true;
            List<Thread> failures = openConnections().stream().filter(ClientConnection::hasUnansweredRequest)
                    .map(ClientListener::failInBackground).toList();
            long awaitFailuresUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MIN_FAILURE_DELIVERY_MS);
            if (acceptQueued(closeAtUs)) {
                awaitNoConnections(newClientsUntilUs, closeAtUs);
            }
            awaitThreads(failures, awaitFailuresUntilNs);
        }
        listeningSocket.stopAccepting();
        // The exit would close them, too, but only after waiting for threads that block in reads.
        openConnections().forEach(ClientConnection::close);
    }

    /**
     * Fails the request on a new thread, which is returned, so that a client that does not read can't keep the others
     * from their responses.
     */
    private static Thread failInBackground(ClientConnection connection) {
        Thread writer = new Thread(connection::failUnansweredRequest, "last failure");
        writer.setDaemon(true);
        try {
            writer.start();
        } catch (OutOfMemoryError e) {
            // No thread available: responding one after the other is better than not at all.
            connection.failUnansweredRequest();
        }
        return writer;
    }

    /** Waits until the threads have ended, or until {@code untilNs} of the system's elapsed time. */
    private static void awaitThreads(List<Thread> threads, long untilNs) throws InterruptedException {
        for (Thread thread : threads) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
            if (leftMs <= 0) {
                return;
            }
            thread.join(leftMs);
        }
    }

    /** Stops accepting once the queue is empty; true once all queued clients are among the connections. */
    private boolean acceptQueued(long untilUs) throws InterruptedException {
        listeningSocket.stopOnceQueueEmpty();
        return acceptingStopped.await(Math.max(0, untilUs - deadlines.now()), TimeUnit.MICROSECONDS);
    }

    /**
     * True once the unanswered requests were failed for lack of time; a request that becomes complete now can't be
     * answered.
     */
    boolean isShutdownTimeOver() {
        return isShutdownTimeOver;
    }

    private synchronized boolean awaitNoConnections(long newClientsUntilUs, long untilUs) throws InterruptedException {
        while (deadlines.now() < newClientsUntilUs || !connections.isEmpty()) {
            if (deadlines.now() >= untilUs) {
                return false;
            }
            wait(RETRY_PAUSE_MS);
        }
        return true;
    }
}
