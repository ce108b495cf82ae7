package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.http.Sockets;
import dapplequay.management.RequestCounts;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Accepts clients; {@link ClientPlaces} has their connections. */
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
    /** How long the client of an idle connection has to close too, in microseconds. */
    private static final long IDLE_LINGER_US = 100_000;

    /** How long a client may wait to be accepted before it gets a place over the limit, in microseconds. */
    private static final long MAX_ACCEPT_WAIT_US = 100_000;

    private final Supplier<Setup> setup;
    private final Facade facade;
    private final RequestDispatcher dispatcher;
    private final DeadlineQueue deadlines;
    private final int maxUploads;
    private final AtomicInteger uploads = new AtomicInteger();
    private final ListeningSocket listeningSocket;
    private final ClientPlaces places;
    private final CountDownLatch acceptingStopped = new CountDownLatch(1);
    private final RecentCallIds recentCallIds = new RecentCallIds();
    private volatile SharedCallIds sharedCallIds = SharedCallIds.none();
    private final RequestCounts counts;
    private final LateResponseLog lateResponses;
    private final AcceptQueue acceptQueue = new AcceptQueue();
    private final SidecarLifecycle lifecycle;
    private volatile boolean isShutdownTimeOver;
    /** Whether clients were crowded at any time since shutdown began; used only by the accepting thread. */
    private boolean endingSawCrowd;
    private final LongBodyThrottle bodyThrottle;
    private final ThreadReserve threads;

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
        this.threads = threads;
        places = new ClientPlaces(deadlines::now, maxConnections, crowdThreshold, threads);
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

    ClientPlaces places() {
        return places;
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
                ClientConnection connection = new ClientConnection(this, socket, arrivedUs);
                places.add(connection);
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
        endingSawCrowd |= places.isCrowded() || places.isNearLimit();
        return endingSawCrowd && lifecycle.isEmptying();
    }

    private void startThread(ClientConnection connection) {
        try {
            new Thread(connection, "client").start();
        } catch (OutOfMemoryError e) {
            places.remove(connection);
            threads.reportShortage();
            throw e;
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
        while (places.isFull() && !listeningSocket.isStopped()) {
            boolean isClientWaiting = listeningSocket.awaitClient(RETRY_PAUSE_MS);
            acceptQueue.heldUp(!isClientWaiting, deadlines.now());
            if (isClientWaiting && acceptQueue.longestWaitUs(deadlines.now()) >= MAX_ACCEPT_WAIT_US
                    && places.hasReservedPlace()) {
                return;
            }
            places.makeRoom(isClientWaiting);
        }
    }

    /** Does the periodic work. During a drain or shutdown, closes idle connections. */
    void tick() {
        places.restoreLimit();
        if (!lifecycle.isEmptying()) {
            return;
        }
        List<ClientConnection> remaining = places.all();
        remaining.forEach(connection -> connection.closeIfIdleForDrain(IDLE_LINGER_US));
        lifecycle.setOpenConnections(remaining.size());
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
     * the clients. All connections but those with a long transfer are closed then; see {@link #awaitLongTransfers}. A
     * listening socket of this process alone stays open meanwhile, as the clients that the system has accepted have to
     * be answered. It is closed once all of these are accepted here, however late the accepting thread is, and at
     * {@code closeAtUs} in any case.
     */
    void awaitEmpty(long newClientsUntilUs, long answerUntilUs, long closeAtUs) throws InterruptedException {
        if (!places.awaitNone(newClientsUntilUs, answerUntilUs) || !acceptQueued(answerUntilUs)
                || !places.awaitNone(newClientsUntilUs, answerUntilUs)) {
            // Set before the loop, so that each connection is either seen here or sees this.
            isShutdownTimeOver = true;
            places.endWaits();
            List<Thread> failures = places.all().stream().filter(ClientConnection::hasUnansweredRequest)
                    .map(ClientListener::failInBackground).toList();
            long awaitFailuresUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MIN_FAILURE_DELIVERY_MS);
            if (acceptQueued(closeAtUs)) {
                places.awaitNone(newClientsUntilUs, closeAtUs);
            }
            awaitThreads(failures, awaitFailuresUntilNs);
        }
        listeningSocket.stopAccepting();
        // The exit would close them, too, but only after waiting for threads that block in reads.
        places.all().stream().filter(connection -> !connection.hasLongTransfer()).forEach(ClientConnection::close);
    }

    /**
     * Waits until the long transfers have ended that {@link #awaitEmpty} has left, however long they take: each ends by
     * itself if a peer stops.
     */
    void awaitLongTransfers() throws InterruptedException {
        places.awaitEndOfTransfers();
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
}
