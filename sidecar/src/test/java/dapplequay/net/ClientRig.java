package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListUpdate;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.management.RequestCounts;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import dapplequay.time.UnixClock;
import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The {@link ClientListener} on real sockets, with scripted hosts as upstreams. A test may stop the clock, keep the
 * timekeeper from ticking the listener, and hook the reads, writes and closes of client connections.
 */
final class ClientRig implements AutoCloseable {
    private static final AtomicInteger CALLS = new AtomicInteger();
    /** Size of the socket buffers for what a client sends: the client's send and the sidecar's receive buffer. */
    private static final int SOCKET_BUFFER_BYTES = 64 * 1024;

    /** Called on the thread that reads, writes or closes an accepted connection. */
    static class Hooks {
        /** Called on the accepting thread, before it accepts the next connection. */
        void beforeAccept() throws IOException { }

        /** Reads that do not block, as those of a check for the client, are not hooked. */
        void beforeRead() throws IOException { }

        void afterRead() { }

        void beforeClose() throws IOException { }

        void beforeWrite(Accepted connection) throws IOException { }
    }

    /** A client connection that the sidecar has accepted. */
    static final class Accepted extends Socket {
        final CountDownLatch closed = new CountDownLatch(1);
        final AtomicInteger bytesRead = new AtomicInteger();
        private final Hooks hooks;
        private final Socket socket;
        private boolean closing;

        Accepted(Hooks hooks, Socket socket) {
            this.hooks = hooks;
            this.socket = socket;
        }

        @Override
        public SocketChannel getChannel() {
            return socket.getChannel();
        }

        @Override
        public void setTcpNoDelay(boolean on) throws SocketException {
            socket.setTcpNoDelay(on);
        }

        @Override
        public void setSoTimeout(int timeoutMs) throws SocketException {
            socket.setSoTimeout(timeoutMs);
        }

        @Override
        public void setSoLinger(boolean on, int lingerS) throws SocketException {
            socket.setSoLinger(on, lingerS);
        }

        @Override
        public void setSendBufferSize(int bytes) throws SocketException {
            socket.setSendBufferSize(bytes);
        }

        @Override
        public void shutdownInput() throws IOException {
            socket.shutdownInput();
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(socket.getInputStream()) {
                @Override
                public int read(byte[] into, int from, int length) throws IOException {
                    hooks.beforeRead();
                    int count = super.read(into, from, length);
                    bytesRead.addAndGet(Math.max(0, count));
                    hooks.afterRead();
                    return count;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return new FilterOutputStream(socket.getOutputStream()) {
                @Override
                public void write(byte[] from, int at, int length) throws IOException {
                    hooks.beforeWrite(Accepted.this);
                    out.write(from, at, length);
                }
            };
        }

        private void beginClose() throws IOException {
            synchronized (hooks) {
                if (closing) {
                    return;
                }
                closing = true;
            }
            hooks.beforeClose();
        }

        @Override
        public void shutdownOutput() throws IOException {
            beginClose();
            socket.shutdownOutput();
        }

        @Override
        public void close() throws IOException {
            beginClose();
            socket.close();
            closed.countDown();
        }

        boolean isClosedInTime() throws InterruptedException {
            return closed.await(Host.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    /** Opens the listening socket of a sidecar, with hooks on its connections. */
    private static ListeningSocket openListeningSocket(Hooks hooks, BlockingQueue<Accepted> accepted)
            throws IOException {
        ServerSocket listener = ServerSocketChannel.open().socket();
        listener.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        return new ListeningSocket.Owned(new ServerSocket() {
            @Override
            public Socket accept() throws IOException {
                hooks.beforeAccept();
                Accepted socket = new Accepted(hooks, listener.accept());
                accepted.add(socket);
                return socket;
            }

            @Override
            public SocketAddress getLocalSocketAddress() {
                return listener.getLocalSocketAddress();
            }

            @Override
            public void setSoTimeout(int timeoutMs) throws SocketException {
                listener.setSoTimeout(timeoutMs);
            }

            @Override
            public boolean isClosed() {
                return listener.isClosed();
            }

            @Override
            public void close() throws IOException {
                listener.close();
            }
        });
    }

    /** The accepted connections, in the order of their arrival. */
    final BlockingQueue<Accepted> accepted = new LinkedBlockingQueue<>();
    final SidecarLifecycle lifecycle;
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final ClientListener clientListener;
    private final DeadlineQueue deadlines;
    private final UnixClock clock = new UnixClock();
    private volatile long stoppedUs = -1;
    private volatile LongSupplier runningClock = clock;
    private volatile boolean ticksEnabled = true;
    private volatile boolean closed;

    /** @param maxConnections limit of client connections
     * @param ports the ports of the hosts */
    ClientRig(Hooks hooks, int maxConnections, int... ports) throws IOException {
        this(hooks, maxConnections, Socket::new, ports);
    }

    /** @param sockets creates the sockets for connections to hosts */
    ClientRig(Hooks hooks, int maxConnections, Supplier<Socket> sockets, int... ports) throws IOException {
        this(hooks, maxConnections, 1_000, sockets, ports);
    }

    /** @param crowdThreshold number of clients from which the listener counts them as a crowd */
    ClientRig(Hooks hooks, int maxConnections, int crowdThreshold, Supplier<Socket> sockets, int... ports)
            throws IOException {
        deadlines = new DeadlineQueue(() -> stoppedUs >= 0 ? stoppedUs : runningClock.getAsLong());
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("\"connect_timeout_us\": \\d+", "\"connect_timeout_us\": 8000000")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000");
        Map<?, ?> example = (Map<?, ?>) Json.parse(text.getBytes(StandardCharsets.UTF_8));
        Setup setup = SettingsReader.of(example.get("settings"), "example");
        Facade facade = new Facade(setup, 7, deadlines::now, line -> { });
        Endpoints endpoints = new Endpoints();
        Endpoints.EndpointUpdate known = Endpoints.parse(Json.parse(list(ports).getBytes(StandardCharsets.UTF_8)));
        endpoints.restore(known);
        facade.applyListUpdate(new ListUpdate(ListUpdate.Kind.RESTORED, known.listUpdate().entries()));
        RequestCounts counts = new RequestCounts();
        counts.addClasses(setup.classes().keySet());
        lifecycle = new SidecarLifecycle(deadlines::now);
        UpstreamPool upstreams = new UpstreamPool(endpoints, deadlines, () -> setup, 100, counts,
                new DiscoveryMetrics(), sockets);
        RequestDispatcher dispatcher = new RequestDispatcher(facade, upstreams);
        upstreams.setDispatcher(dispatcher);
        ListeningSocket listeningSocket = openListeningSocket(hooks, accepted);
        clientListener = new ClientListener(listeningSocket, () -> setup, facade, dispatcher, deadlines, counts,
                lifecycle, new LongBodyThrottle(1),
                maxConnections, crowdThreshold, 10, new ThreadReserve(deadlines::now));
        Host.daemon(clientListener::run);
        lifecycle.listening();
        Host.daemon(() -> {
            while (!closed) {
                dispatcher.abort(facade.tick());
                deadlines.runExpired();
                if (ticksEnabled) {
                    clientListener.tick();
                }
                deadlines.awaitNext(10_000);
            }
        });
        toClose.add(listeningSocket::stopAccepting);
    }

    private static String list(int... ports) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < ports.length; i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(ports[i]).append("\",\"az\":\"north\",\"pod_group\":0,\"state\":\"SERVING\"}");
        }
        return "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
    }

    /** Does the timekeeper's tick on the calling thread. */
    void tick() {
        clientListener.tick();
    }

    /** Stops the timekeeper's ticks, as in a process that gets no processor time. */
    void suspendTicks() {
        ticksEnabled = false;
    }

    /** Stops the clock at its present time plus this offset; a clock that is stopped moves by the offset. */
    void stopClock(long offsetUs) {
        stoppedUs = (stoppedUs >= 0 ? stoppedUs : runningClock.getAsLong()) + offsetUs;
    }

    /** Makes the clock run so many times as fast as real time from now on, for peers that are slow for long. */
    void speedUpClock(int factor) {
        long sinceUs = clock.getAsLong();
        long fromUs = runningClock.getAsLong();
        runningClock = () -> fromUs + factor * (clock.getAsLong() - sinceUs);
    }

    /** Ends the shutdown's waiting: requests in progress fail, and the failures have this long to reach clients, us. */
    void failHeldRequests(long marginUs) throws InterruptedException {
        clientListener.awaitEmpty(0, 0, deadlines.now() + marginUs);
    }

    /** Returns once the long transfers have ended that a shutdown's end has left. */
    void awaitLongTransfers() throws InterruptedException {
        clientListener.awaitLongTransfers();
    }

    Host.Client client() throws IOException {
        Host.Client client = new Host.Client(clientListener.address());
        client.socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
        toClose.add(client);
        return client;
    }

    /** Returns the next accepted connection, and fails if none comes in time. */
    Accepted accepted() throws InterruptedException {
        Accepted next = accepted.poll(Host.TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no connection was accepted");
        }
        return next;
    }

    static String pay(String key, int budgetMs, int length) {
        return "POST /pay/x HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(CALLS.incrementAndGet())
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: " + budgetMs + "\r\nIdempotency-Key: " + key
                + "\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(length);
    }

    static String pay(String key) {
        return pay(key, 15_000, 0);
    }

    @Override
    public void close() throws Exception {
        closed = true;
        for (AutoCloseable one : toClose) {
            one.close();
        }
    }
}
