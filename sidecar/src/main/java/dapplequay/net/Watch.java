package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.recovery.Doubt;
import dapplequay.settings.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The discovery client: watches for changes as long as the module wants that, one call after the other. When
 * to begin again after a failure is the module's to say: it backs off with jitter, as all sidecars share one
 * discovery service. A new address is asked at once, and for the whole list: its versions may be counted
 * anew.
 */
final class Watch implements Runnable {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final int WAIT_MS = 20_000;
    /** What discovery has to tell counts as told 2 s after a call's wait is over: no use in waiting on. */
    private static final int MARGIN_MS = 2_000;
    private static final int CONNECT_MS = 2_000;
    /** For so long, ns, a list older than the one known is taken for a mistake of who gave it. */
    private static final long OLDER_NS = 30_000_000_000L;
    /** For so long, us, after it was heard a version counts: a quiet watch, and as long as an older one is refused. */
    static final long VERSION_COUNTS_US = (WAIT_MS + MARGIN_MS) * 1_000L + OLDER_NS / 1_000;

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
    private final LongSupplier graceUs;
    private final Doubt doubt = new Doubt();
    private RoutingTable.Update doubted;
    private String fault;
    private long olderSinceNs;
    private MessageReader reader;

    /** {@code graceUs}: for so long after being told of a drain, work may still go there. */
    Watch(InetSocketAddress discovery, RoutingTable table, Facade facade, IssuerSide issuers, Sidecar.Memory memory,
            LongSupplier graceUs) {
        this.discovery = discovery;
        this.memory = memory;
        this.graceUs = graceUs;
        anyVersion = !memory.binds();
        this.table = table;
        this.facade = facade;
        this.issuers = issuers;
    }

    @Override
    public void run() {
        try {
            while (true) {
                facade.awaitWatch();
                try {
                    // Handed over before anything else is done: a drain counts as told once its bytes came.
                    hear(call());
                    if (fault != null) {
                        fault = null;
                        LOG.info("discovery answers again");
                    }
                } catch (IOException | RuntimeException | OutOfMemoryError e) {
                    drop();
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

    /** Before the second question after a list that was doubted, and the longest wait for its answer. */
    private int doubtMs() {
        return (int) Math.max(1, Doubt.pauseUs(graceUs.getAsLong()) / 1_000);
    }

    private int longestMs(int usualMs) {
        return doubt.isDoubting() ? doubtMs() : usualMs;
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
        Socket now;
        synchronized (this) {
            if (socket != null && !hasMoved()) {
                return socket;
            }
            drop();
            boolean moved = asked != null && hasMoved();
            anyVersion |= moved;
            whole |= moved;
            asked = discovery;
            socket = now = new Socket();
        }
        now.connect(asked, longestMs(CONNECT_MS));
        now.setTcpNoDelay(true);
        reader = new MessageReader(now.getInputStream(), MessageReader.MAX_LIST);
        return now;
    }

    /**
     * What is older than what is known takes nothing back that was told since. A discovery that has lost its count goes
     * on so, and is believed after a while.
     */
    private void hear(RoutingTable.Update update) throws IOException, InterruptedException {
        if (!anyVersion && update.revision() < table.revision()) {
            long now = System.nanoTime();
            olderSinceNs = olderSinceNs == 0 ? now : olderSinceNs;
            if (now - olderSinceNs < OLDER_NS) {
                throw new IOException("a list older than the one known");
            }
            if (update.news().kind() == ListNews.Kind.CHANGES) {
                whole = true;       // changes to a list that is not known here: all of it is needed
                return;
            }
        }
        olderSinceNs = 0;
        anyVersion = false;
        if (update.news().kind() == ListNews.Kind.WHOLE && isDoubtful(update)) {
            doubted = update;
            // The version stays: a life that begins with what is kept by now has to be told of the missing ones, too.
            take(new RoutingTable.Update(table.revision(), new ListNews(ListNews.Kind.CHANGES, update.news().lines()),
                    update.endpoints()));
            whole = true;
            Thread.sleep(doubtMs());
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
        to.setSoTimeout(longestMs(WAIT_MS + MARGIN_MS));
        String query = whole ? "" : "?after=" + table.revision() + "&wait_ms=" + WAIT_MS;
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
