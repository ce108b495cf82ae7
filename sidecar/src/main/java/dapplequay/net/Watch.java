package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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

    private final RoutingTable table;
    private final Facade facade;
    private final IssuerSide issuers;
    private InetSocketAddress discovery;
    /** The open connection and whom it leads to; both change under the lock, as {@link #moveTo} closes it. */
    private Socket socket;
    private InetSocketAddress asked;
    private boolean whole;
    private MessageReader reader;

    Watch(InetSocketAddress discovery, RoutingTable table, Facade facade, IssuerSide issuers) {
        this.discovery = discovery;
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
                } catch (IOException | RuntimeException | OutOfMemoryError e) {
                    drop();
                    if (hasMoved()) {
                        continue;       // no failure of discovery's: the next call goes to the new address
                    }
                    LOG.log(Level.WARNING, "discovery call failed: {0}", e.toString());
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
            whole |= asked != null && hasMoved();
            asked = discovery;
            socket = now = new Socket();
        }
        now.connect(asked, CONNECT_MS);
        now.setTcpNoDelay(true);
        reader = new MessageReader(now.getInputStream(), MessageReader.MAX_LIST);
        return now;
    }

    private void hear(RoutingTable.Update update) {
        var drained = table.take(update);
        facade.news(update.news());
        issuers.closeIdle(drained);
    }

    private RoutingTable.Update call() throws IOException {
        Socket to = connected();
        to.setSoTimeout(WAIT_MS + MARGIN_MS);
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
