package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.http.Sockets;
import dapplequay.management.Counts;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.Deadlines;
import java.io.IOException;
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

/** The listener, and the client's connections. */
final class ClientListener implements Runnable {
    private static final Logger LOG = Logger.getLogger(ClientListener.class.getName());
    private static final long RETRY_PAUSE_MS = 20;
    /** The accepting thread leaves a door that was shut at once; were it stuck, the ending must not be. */
    private static final long STOP_WAIT_MS = 500;
    /** Strangers are a flood from this share of the bound on. */
    private static final double FLOOD_SHARE = 0.25;
    /** A client that rests and is let go has so long to close too, us; where descriptors are short, so long. */
    private static final long IDLE_LINGER_US = 100_000;
    private static final long SHORT_LINGER_US = 10_000;

    /** Of the clients that there are when threads are short, so many may stay. */
    private static final double SHORTAGE_KEEP_SHARE = 0.8;
    private static final double NEAR_LIMIT_SHARE = 0.75;
    /** So many there may always be. */
    private static final int MIN_CONNECTIONS = 4;
    /** So long after the last shortage there may be as many as before, us. */
    private static final long LIMIT_RECOVERY_US = 60_000_000;

    private final Supplier<Setup> setup;
    private final Facade facade;
    private final Conductor conductor;
    private final Deadlines deadlines;
    private final int maxConnections;
    private final int crowdThreshold;
    private final int maxUploads;
    private final AtomicInteger uploads = new AtomicInteger();
    private final ListeningSocket listeningSocket;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final CountDownLatch acceptingStopped = new CountDownLatch(1);
    private final RecentCallIds recentCallIds = new RecentCallIds();
    private final Counts counts;
    private final SidecarLifecycle lifecycle;
    private volatile boolean isEndingTimeOver;
    /** The accepting thread's: there was a crowd since the ending began. */
    private boolean endingSawCrowd;
    private final Headroom headroom;
    private final Punctuality punctuality;
    private final ThreadReserve threads;
    /** How many there may be at present: fewer than {@link #most} after threads were short. Under the lock. */
    private int connectionLimit;

    ClientListener(ListeningSocket listeningSocket, Supplier<Setup> setup, Facade facade, Conductor conductor,
                 Deadlines deadlines, Counts counts, SidecarLifecycle lifecycle, Headroom headroom, int maxConnections,
                 int crowdThreshold, int maxUploads, ThreadReserve threads) {
        this.maxUploads = maxUploads;
        this.listeningSocket = listeningSocket;
        this.setup = setup;
        this.facade = facade;
        this.conductor = conductor;
        this.deadlines = deadlines;
        this.counts = counts;
        this.lifecycle = lifecycle;
        this.headroom = headroom;
        this.maxConnections = maxConnections;
        this.threads = threads;
        connectionLimit = maxConnections;
        threads.onShortage(this::lowerConnectionLimit);
        this.crowdThreshold = crowdThreshold;
        punctuality = new Punctuality(deadlines.now());
    }

    InetSocketAddress address() {
        return listeningSocket.address();
    }

    /** The settings of the moment. */
    Setup setup() {
        return setup.get();
    }

    /** Whether no request of late has this id. */
    boolean registerCallId(long callId, long nowUs) {
        return recentCallIds.addIfNew(callId, nowUs, 2 * setup().longestDeadlineUs());
    }

    long nextExchangeId() {
        return facade.nextId();
    }

    Conductor conductor() {
        return conductor;
    }

    Deadlines deadlines() {
        return deadlines;
    }

    /**
     * Whether clients are near the descriptors that they may hold: each answer then ends its connection, as
     * those who ask once and keep it would leave none for the next request.
     */
    synchronized boolean isCrowded() {
        return connections.size() >= crowdThreshold;
    }

    Counts counts() {
        return counts;
    }

    /**
     * Another long request comes; false where there are as many as may come at once, and no attempt may begin for it.
     */
    boolean beginUpload() {
        return uploads.incrementAndGet() <= maxUploads;
    }

    void endUpload() {
        uploads.decrementAndGet();
    }

    /** How long a carrier of a long body pauses now, ms. */
    long streamPauseMs() {
        return headroom.pauseMs();
    }

    /** Whether what is read at the moment may have lain unread for long. */
    boolean isLate(long nowUs) {
        return punctuality.isLate(nowUs);
    }

    /** Whether each answer is its connection's last, as the sidecar is being emptied. */
    boolean isEmptying() {
        return lifecycle.isEmptying();
    }

    ClientResponses.Response health() {
        return lifecycle.isReadyForClients() ? ClientResponses.plainText(200, "ok") : ClientResponses.plainText(503, "takes no clients");
    }

    /** Accepts until the door is shut; whatever else goes wrong, the next connection is tried. */
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
                socket = listeningSocket.accept();
                if (socket == null) {
                    return;
                }
                if (stopsForCrowd()) {
                    Sockets.close(socket);
                    listeningSocket.stopAccepting();
                    return;
                }
                ClientConnection connection = new ClientConnection(this, socket);
                synchronized (this) {
                    connections.add(connection);
                }
                startThread(connection);
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                // Out of descriptors, threads or memory: others are about to end and give theirs back.
                if (!listeningSocket.isStopped()) {
                    Sockets.close(socket);
                    LOG.log(Level.SEVERE, "connection could not be accepted: {0}", e.toString());
                    pauseBeforeRetry();
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * In an ending beside a crowd nobody is let in once connections are to go. To let in all who wait at the door, and
     * those who take their places, would take the time in which requests that have been read are answered.
     */
    private boolean stopsForCrowd() {
        if (!lifecycle.isEnding()) {
            return false;
        }
        endingSawCrowd |= isCrowded() || isNearLimit();
        return endingSawCrowd && lifecycle.isEmptying();
    }

    /** Where memory allows few clients, there may be a crowd for them far below its share of the descriptors. */
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

    /** Each client has a thread: from now on there may be fewer of them, and idle ones make room. */
    private synchronized void lowerConnectionLimit() {
        connectionLimit = Math.max(MIN_CONNECTIONS, Math.min(connectionLimit, (int) (connections.size() * SHORTAGE_KEEP_SHARE)));
        notifyAll();
    }

    /** After a while without a shortage there may be as many as before. */
    private synchronized void restoreConnectionLimit() {
        long lastShortageUs = threads.lastShortageUs();
        if (connectionLimit < maxConnections && lastShortageUs != Long.MIN_VALUE && deadlines.now() - lastShortageUs > LIMIT_RECOVERY_US) {
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

    /** At the bound the next connection waits until another has ended. */
    private synchronized void awaitRoom() throws InterruptedException {
        if (connections.size() < connectionLimit) {
            return;
        }
        long sinceUs = deadlines.now();
        while (connections.size() >= connectionLimit && !listeningSocket.isStopped()) {
            boolean anyEnding = false;
            for (ClientConnection connection : connections) {
                anyEnding |= connection.shortenLinger(SHORT_LINGER_US);
            }
            if (!anyEnding) {
                makeRoom();
            }
            wait(RETRY_PAUSE_MS);
        }
        punctuality.waited(sinceUs, deadlines.now());
    }

    /**
     * The oldest stranger goes, else the oldest idle connection. One at a time: closing all idle ones also met those
     * just accepted, whose first request was still on its way. Strangers first, and a flood of them has to come of
     * age, as it would close the clients' connections; but each client is a stranger at first, and a few must not
     * hold up the others.
     */
    private void makeRoom() {
        boolean isFlood = connections.stream().filter(ClientConnection::isUnproven).count() >= connectionLimit * FLOOD_SHARE;
        if (connections.stream().noneMatch(c -> c.closeIfUnproven(isFlood)) && !isFlood) {
            connections.stream().anyMatch(c -> c.closeIfIdle(SHORT_LINGER_US));
        }
    }

    synchronized void connectionEnded(ClientConnection connection) {
        connections.remove(connection);
        notifyAll();
    }

    /** The timekeeper's turn. While the sidecar is being emptied, idle connections are closed. */
    void tick() {
        punctuality.turn(deadlines.now());
        restoreConnectionLimit();
        if (!lifecycle.isEmptying()) {
            return;
        }
        List<ClientConnection> remaining = openConnections();
        remaining.forEach(connection -> connection.closeIfIdleForDrain(IDLE_LINGER_US));
        lifecycle.setOpenConnections(remaining.size());
    }

    /** The connections of the moment, to be called without the lock. */
    private synchronized List<ClientConnection> openConnections() {
        return new ArrayList<>(connections);
    }

    /**
     * Whether clients find another process at the same door: then this one stops taking them at once. Whom it had
     * accepted until then is among its connections when this returns.
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

    /** The connection has been idle for too long; in an ending it stays, as its client can't open another any more. */
    void idleTimeout(ClientConnection connection) {
        if (!lifecycle.isEnding()) {
            connection.idleTimeout(IDLE_LINGER_US);
        }
    }

    /**
     * Waits until nothing is held any more and no new connection comes, from {@code lateUs} on, or until {@code
     * untilUs}; what is held then fails, and that has until {@code closedUs} to reach its clients. A door of this
     * process alone stays open meanwhile, as what the system has accepted counts as taken: it is shut once all of that
     * is here, however late the accepting thread is, and at {@code closedUs} in any case.
     */
    void awaitEmpty(long newClientsUntilUs, long untilUs, long closeAtUs) throws InterruptedException {
        if (!awaitNoConnections(newClientsUntilUs, untilUs) || !acceptQueued(untilUs) || !awaitNoConnections(newClientsUntilUs, untilUs)) {
            isEndingTimeOver = true;          // before those that are held are gone over: each is seen here or sees this
            openConnections().stream().filter(ClientConnection::hasUnansweredRequest).forEach(ClientListener::failInBackground);
            if (acceptQueued(closeAtUs)) {
                awaitNoConnections(newClientsUntilUs, closeAtUs);
            }
        }
        listeningSocket.stopAccepting();
        // The exit would close them in the same way, but only once threads that sit in their reads were waited for.
        openConnections().forEach(ClientConnection::close);
    }

    /** By a thread of its own: a client that takes nothing must not keep the others from their answers. */
    private static void failInBackground(ClientConnection connection) {
        Thread writer = new Thread(connection::failUnansweredRequest, "last failure");
        writer.setDaemon(true);
        try {
            writer.start();
        } catch (OutOfMemoryError e) {
            connection.failUnansweredRequest();             // no thread to be had: better one after the other than not at all
        }
    }

    /** Has the door shut behind whoever waits there; true once all of these are among the connections. */
    private boolean acceptQueued(long untilUs) throws InterruptedException {
        listeningSocket.stopOnceQueueEmpty();
        return acceptingStopped.await(Math.max(0, untilUs - deadlines.now()), TimeUnit.MICROSECONDS);
    }

    /** Whether what is held has failed for want of time: what becomes whole now could not be answered any more. */
    boolean isEndingTimeOver() {
        return isEndingTimeOver;
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
