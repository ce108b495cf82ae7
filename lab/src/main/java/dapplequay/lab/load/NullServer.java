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

/** Answers every request at once with the same few bytes: what a generator is measured against. */
public final class NullServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(NullServer.class.getName());
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);
    private static final int BACKLOG = 1024;

    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final EventLoop accepting = new EventLoop("null-accept");
    private final List<EventLoop> loops = new ArrayList<>();
    private int accepted;

    public NullServer(int threads) throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        for (int i = 0; i < Math.max(1, threads); i++) {
            loops.add(new EventLoop("null-" + i));
        }
        accepting.post(() -> accepting.accept(listener,
                channel -> serve(channel, loops.get(accepted++ % loops.size()))));
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private static void serve(SocketChannel channel, EventLoop loop) {
        loop.post(() -> {
            try {
                new Connection(channel).register(loop, SelectionKey.OP_READ);
            } catch (IOException e) {
                LOG.log(Level.FINE, "connection was gone at once", e);
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
                while (!isClosed() && framer.next() != null) {
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
            // Nothing is kept of a connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        accepting.close();
        loops.forEach(EventLoop::close);
    }
}
