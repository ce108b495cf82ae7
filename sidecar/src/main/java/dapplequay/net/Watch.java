package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.membership.ListClock;
import dapplequay.recovery.Doubt;
import dapplequay.settings.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The discovery client: watches for changes as long as the module wants that, one call after the other. How long a
 * call may wait, and whether the next one follows at once, {@link ListClock} says. When to begin again after a failure
 * is the module's to say: it backs off with jitter, as all sidecars share one discovery service. A new address is
 * asked at once, and for the whole list: its versions may be counted anew.
 */
final class Watch implements Runnable {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    /**
     * A connection that is not there after this, us, is asked for again: what is lost of it is sent anew after a
     * second.
     */
    private static final long CONNECT_US = 1_000_000;
    /** For so long, us, a list older than the one known is taken for a mistake of who gave it. */
    private static final long OLDER_US = 30_000_000;
    /** For so long, us, after it was heard a version counts: a quiet watch, and as long as an older one is refused. */
    static final long VERSION_COUNTS_US = ListClock.LONGEST_WAIT_US + ListClock.AFTER_WAIT_US + OLDER_US;

    private final RoutingTable table;
    private final Facade facade;
    private final IssuerSide issuers;
    private InetSocketAddress discovery;
    /** The open connection and whom it leads to; both change under the lock, as {@link #moveTo} closes it. */
    private Socket socket;
    private InetSocketAddress asked;
    private boolean whole;
    private boolean anyVersion;             // of a start that knows none, or at another address
    private final Sidecar.Memory memory;
    private final ListClock clock;
    private final LongSupplier now;
    private final Doubt doubt = new Doubt();
    private long doubtEndsUs;               // no second answer is waited for any longer
    private RoutingTable.Update doubted;
    private String fault;
    private long olderSinceUs;
    private MessageReader reader;
    private long waitUs;
    private volatile boolean isEnded;

    /** {@code now}: microseconds, never backwards. */
    Watch(InetSocketAddress discovery, RoutingTable table, Facade facade, IssuerSide issuers, Sidecar.Memory memory,
            ListClock clock, LongSupplier now) {
        this.discovery = discovery;
        this.memory = memory;
        this.clock = clock;
        this.now = now;
        anyVersion = !memory.binds();
        this.table = table;
        this.facade = facade;
        this.issuers = issuers;
    }

    @Override
    public void run() {
        try {
            while (!isEnded) {
                facade.awaitWatch(clock.longestPauseUs(now.getAsLong()));
                try {
                    // Handed over before anything else is done: a drain counts as told once its bytes came.
                    hear(call());
                    clock.heard();
                    if (fault != null) {
                        fault = null;
                        LOG.info("discovery answers again");
                    }
                } catch (IOException | RuntimeException | OutOfMemoryError e) {
                    drop();
                    if (isEnded) {
                        return;
                    }
                    if (doubt.isDoubting()) {
                        LOG.warning("the list that was doubted counts: no second one came");
                        doubt.failed();
                        believe(doubted);
                    }
                    if (hasMoved()) {
                        continue;       // no failure of discovery's: the next call goes to the new address
                    }
                    if (!e.toString().equals(fault)) {       // one line a cause: an agent is asked again very soon
                        fault = e.toString();
                        LOG.log(Level.WARNING, "discovery call failed: {0}", fault);
                    }
                    if (e instanceof SocketTimeoutException && clock.silent()) {
                        continue;       // what it may have missed counts soon: the next one is not put off
                    }
                    facade.news(ListNews.failed());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            drop();
        }
    }

    /** Another address from now on; a call that waits at the old one is cut, as its news may never come. */
    void moveTo(InetSocketAddress next) {
        synchronized (this) {
            if (next.equals(discovery)) {
                return;
            }
            discovery = next;
            Sockets.close(socket);
        }
        LOG.log(Level.INFO, "discovery is at {0} now", Sockets.text(next));
        facade.watchAnew();
    }

    private void begin() {
        waitUs = clock.begin(now.getAsLong(), whole);
    }

    private void answering() {
        clock.answering(now.getAsLong());
    }

    /** How long the call under way may still be waited for. */
    private long leftUs() {
        long limitUs = doubt.isDoubting() ? Math.min(clock.limitUs(), doubtEndsUs) : clock.limitUs();
        return limitUs - now.getAsLong();
    }

    /** No more calls; one that waits is cut. */
    void end() {
        isEnded = true;
        synchronized (this) {
            Sockets.close(socket);
        }
    }

    private synchronized boolean hasMoved() {
        return !discovery.equals(asked);
    }

    private synchronized void drop() {
        Sockets.close(socket);
        socket = null;
    }

    /** The connection to where discovery is now. */
    private Socket connected() throws IOException {
        Socket opened;
        synchronized (this) {
            if (socket != null && !hasMoved()) {
                begin();
                return socket;
            }
            drop();
            boolean moved = asked != null && hasMoved();
            anyVersion |= moved;
            whole |= moved;
            if (moved) {
                clock.moved();
            }
            asked = discovery;
            socket = opened = new Socket();
        }
        begin();
        opened.connect(asked, LimitedInput.millis(Math.min(leftUs(), CONNECT_US)));
        opened.setTcpNoDelay(true);
        reader = new MessageReader(new LimitedInput(opened, this::leftUs, this::answering), MessageReader.MAX_LIST);
        return opened;
    }

    /**
     * What is older than what is known takes nothing back that was told since. A discovery that has lost its count
     * goes on so, and is believed after a while.
     */
    private void hear(RoutingTable.Update update) throws IOException, InterruptedException {
        if (!anyVersion && update.revision() < table.revision()) {
            long nowUs = now.getAsLong();
            olderSinceUs = olderSinceUs == 0 ? nowUs : olderSinceUs;
            if (nowUs - olderSinceUs < OLDER_US) {
                throw new IOException("a list older than the one known");
            }
            if (update.news().kind() == ListNews.Kind.CHANGES) {
                whole = true;       // changes to a list that is not known here: all of it is needed
                return;
            }
        }
        olderSinceUs = 0;
        anyVersion = false;
        if (update.news().kind() == ListNews.Kind.WHOLE && isDoubtful(update)) {
            doubted = update;
            // The version stays: a life that begins with what is kept by now has to be told of the missing ones, too.
            take(new RoutingTable.Update(table.revision(), new ListNews(ListNews.Kind.CHANGES, update.news().lines()),
                    update.endpoints()));
            whole = true;
            // A silence before it may have eaten of the grace: doubt has only what is left of that.
            long nowUs = now.getAsLong();
            long pauseUs = Doubt.pauseUs(clock.graceLeftUs(nowUs));
            doubtEndsUs = nowUs + 2 * pauseUs;
            Thread.sleep(pauseUs / 1_000);
            return;
        }
        take(update);
    }

    private boolean isDoubtful(RoutingTable.Update update) {
        int[] count = table.servingAndMissing(update);
        boolean second = doubt.isDoubting();
        boolean believed = doubt.believes(count[0], count[1]);
        if (!believed || second) {
            LOG.log(Level.WARNING, "a list without {0} of {1} hosts that served {2}", new Object[] {count[1], count[0],
                second ? "came again, and counts" : "is asked for again before it counts"});
        }
        return !believed;
    }

    private void believe(RoutingTable.Update update) {
        try {
            take(update);
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "the list could not be taken over, and is asked for again", e);
        }
    }

    private void take(RoutingTable.Update update) {
        var drained = table.take(update);
        try {
            facade.news(update.news());
        } catch (RuntimeException e) {
            whole = true;           // the table has what the module does not: both need all of it
            throw e;
        }
        issuers.closeIdle(drained);
        memory.keep().accept(() -> Json.text(table.tree()));
    }

    private RoutingTable.Update call() throws IOException {
        Socket to = connected();
        String query = whole ? "" : "?after=" + table.revision() + "&wait_ms=" + Math.max(1, waitUs / 1_000);
        String request = "GET /v1/servers" + query + " HTTP/1.1\r\nHost: " + Sockets.text(asked) + "\r\n\r\n";
        to.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Head head = reader.response();
        byte[] body = reader.responseBody(head);
        if (!head.start[1].equals("200")) {
            throw new IOException("discovery answered " + head.start[1]);
        }
        RoutingTable.Update update = RoutingTable.read(body);
        whole = false;
        if (head.closes(head.start[0]) || MessageReader.lastsToTheEnd(head) || reader.hasBytes()) {
            drop();             // bytes that nobody asked for would be read as the next answer
        }
        return update;
    }
}
