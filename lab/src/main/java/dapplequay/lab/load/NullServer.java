package dapplequay.lab.load;

import dapplequay.lab.http.HttpConnection;
import dapplequay.lab.http.MalformedHttpException;
import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A server that answers every request at once with the same bytes, to measure the generator itself. */
public final class NullServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(NullServer.class.getName());
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);
    private static final int BACKLOG = 1024;

    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final EventLoop acceptLoop = new EventLoop("null-accept");
    private final List<EventLoop> loops = new ArrayList<>();
    private int acceptedCount;

    public NullServer(int threads) throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        for (int i = 0; i < Math.max(1, threads); i++) {
            loops.add(new EventLoop("null-" + i));
        }
        acceptLoop.post(() -> acceptLoop.accept(listener,
                channel -> serve(channel, loops.get(acceptedCount++ % loops.size()))));
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static void serve(SocketChannel channel, EventLoop loop) {
        loop.post(() -> {
            try {
                new Connection(channel).register(loop, SelectionKey.OP_READ);
            } catch (IOException e) {
                LOG.log(Level.FINE, "accepted connection could not be registered", e);
            }
        });
    }

    private static final class Connection extends HttpConnection {
        Connection(SocketChannel channel) {
            super(channel, false);
        }

        @Override
        protected void onBytesReceived() throws IOException {
            try {
                while (!isClosed() && parser.next() != null) {
                    write(ANSWER);
                }
            } catch (MalformedHttpException e) {
                close();
            }
        }

        @Override
        protected void onPeerClosed() {
            close();
        }

        @Override
        protected void onClosed() {
            // There is no state to release.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        acceptLoop.close();
        loops.forEach(EventLoop::close);
    }
}
