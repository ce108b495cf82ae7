package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The discovery client: watches for changes as long as the module wants that, one call after the other. When
 * to begin again after a failure is the module's to say: it backs off with jitter, as all sidecars share one
 * discovery service.
 */
final class Watch implements Runnable {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final int WAIT_MS = 20_000;
    /** What discovery has to tell counts as told 2 s after a call's wait is over: no use in waiting on. */
    private static final int MARGIN_MS = 2_000;
    private static final int CONNECT_MS = 2_000;

    private final InetSocketAddress discovery;
    private final RoutingTable table;
    private final Facade facade;
    private final IssuerSide issuers;
    private Socket socket;
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
                    Sockets.close(socket);
                    socket = null;
                    LOG.log(Level.WARNING, "discovery call failed: {0}", e.toString());
                    facade.news(ListNews.failed());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Sockets.close(socket);
        }
    }

    private void hear(RoutingTable.Update update) {
        var drained = table.take(update);
        facade.news(update.news());
        issuers.closeIdle(drained);
    }

    private RoutingTable.Update call() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(discovery, CONNECT_MS);
            socket.setTcpNoDelay(true);
            reader = new MessageReader(socket.getInputStream(), MessageReader.MAX_LIST);
        }
        socket.setSoTimeout(WAIT_MS + MARGIN_MS);
        String request = "GET /v1/servers?after=" + table.revision() + "&wait_ms=" + WAIT_MS
                + " HTTP/1.1\r\nHost: " + Sockets.text(discovery) + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Head head = reader.response();
        byte[] body = reader.responseBody(head);
        if (!head.start[1].equals("200")) {
            throw new IOException("discovery answered " + head.start[1]);
        }
        RoutingTable.Update update = RoutingTable.read(body);
        if (head.closes(head.start[0]) || MessageReader.lastsToTheEnd(head)) {
            Sockets.close(socket);
            socket = null;
        }
        return update;
    }
}
