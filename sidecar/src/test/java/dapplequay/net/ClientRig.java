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
import java.net.ServerSocket;
import java.net.Socket;
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
import java.util.function.Supplier;

/**
 * The clients' side on real sockets before scripted hosts, with a clock that a test may stop, a timekeeper that it may
 * keep from telling of its turns, and a hook where a client's connection is read and where it is ended.
 */
final class ClientRig implements AutoCloseable {
    private static final AtomicInteger CALLS = new AtomicInteger();
    /** What the system may hold of what a client sends, bytes, on its side and on the sidecar's. */
    private static final int BUFFER = 64 * 1024;

    /** What happens at an accepted connection, on the thread that is about to go on. */
    static class Hooks {
        void beforeRead() throws IOException { }

        void afterRead() { }

        void beforeEnd() throws IOException { }

        void beforeWrite(Accepted to) throws IOException { }
    }

    /** An accepted connection, in the order in which they came. */
    static final class Accepted extends Socket {
        final CountDownLatch closed = new CountDownLatch(1);
        final AtomicInteger read = new AtomicInteger();
        private final Hooks hooks;
        private boolean ends;

        Accepted(Hooks hooks) {
            this.hooks = hooks;
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read(byte[] into, int from, int length) throws IOException {
                    hooks.beforeRead();
                    int count = super.read(into, from, length);
                    read.addAndGet(Math.max(0, count));
                    hooks.afterRead();
                    return count;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return new FilterOutputStream(super.getOutputStream()) {
                @Override
                public void write(byte[] from, int at, int length) throws IOException {
                    hooks.beforeWrite(Accepted.this);
                    out.write(from, at, length);
                }
            };
        }

        private void ending() throws IOException {
            synchronized (hooks) {
                if (ends) {
                    return;
                }
                ends = true;
            }
            hooks.beforeEnd();
        }

        @Override
        public void shutdownOutput() throws IOException {
            ending();
            super.shutdownOutput();
        }

        @Override
        public void close() throws IOException {
            ending();
            super.close();
            closed.countDown();
        }

        boolean isClosedInTime() throws InterruptedException {
            return closed.await(Host.PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    /** The process's own door, with hooks. */
    private static ListeningSocket door(Hooks hooks, BlockingQueue<Accepted> accepted) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress()) {
            @Override
            public Socket accept() throws IOException {
                Accepted socket = new Accepted(hooks);
                implAccept(socket);
                accepted.add(socket);
                return socket;
            }
        };
        listener.setReceiveBufferSize(BUFFER);
        return new ListeningSocket.Owned(listener);
    }

    final BlockingQueue<Accepted> accepted = new LinkedBlockingQueue<>();
    final SidecarLifecycle lifetime;
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final ClientListener side;
    private final DeadlineQueue deadlines;
    private final UnixClock running = new UnixClock();
    private volatile long stoppedUs = -1;
    private volatile boolean tellsTurns = true;
    private volatile boolean closed;

    /** {@code most}: client connections at the bound; {@code ports}: the hosts. */
    ClientRig(Hooks hooks, int most, int... ports) throws IOException {
        this(hooks, most, Socket::new, ports);
    }

    /** {@code sockets}: for the connections to hosts. */
    ClientRig(Hooks hooks, int most, Supplier<Socket> sockets, int... ports) throws IOException {
        this(hooks, most, 1_000, sockets, ports);
    }

    /** {@code crowd}: of so many clients. */
    ClientRig(Hooks hooks, int most, int crowd, Supplier<Socket> sockets, int... ports) throws IOException {
        deadlines = new DeadlineQueue(() -> stoppedUs >= 0 ? stoppedUs : running.getAsLong());
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("\"connect_timeout_us\": \\d+", "\"connect_timeout_us\": 8000000")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000");
        Map<?, ?> example = (Map<?, ?>) Json.parse(text.getBytes(StandardCharsets.UTF_8));
        Setup setup = SettingsReader.of(example.get("settings"), "example");
        Facade facade = new Facade(setup, 7, deadlines::now, line -> { });
        Endpoints table = new Endpoints();
        Endpoints.EndpointUpdate known = Endpoints.parse(Json.parse(list(ports).getBytes(StandardCharsets.UTF_8)));
        table.restore(known);
        facade.applyListUpdate(new ListUpdate(ListUpdate.Kind.RESTORED, known.listUpdate().entries()));
        RequestCounts counts = new RequestCounts();
        counts.addClasses(setup.classes().keySet());
        lifetime = new SidecarLifecycle(deadlines::now);
        UpstreamPool upstreams = new UpstreamPool(table, deadlines, () -> setup, 100, counts, new DiscoveryMetrics(),
                sockets);
        RequestDispatcher conductor = new RequestDispatcher(facade, upstreams);
        upstreams.setDispatcher(conductor);
        ListeningSocket door = door(hooks, accepted);
        side = new ClientListener(door, () -> setup, facade, conductor, deadlines, counts, lifetime,
                new LongBodyThrottle(1),
                most, crowd, 10, new ThreadReserve(deadlines::now));
        Host.daemon(side::run);
        lifetime.listening();
        Host.daemon(() -> {
            while (!closed) {
                conductor.abort(facade.tick());
                deadlines.runExpired();
                if (tellsTurns) {
                    side.tick();
                }
                deadlines.awaitNext(10_000);
            }
        });
        toClose.add(door::stopAccepting);
    }

    private static String list(int... ports) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < ports.length; i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(ports[i]).append("\",\"az\":\"north\",\"pod_group\":0,\"state\":\"SERVING\"}");
        }
        return "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
    }

    /** The timekeeper's turn, by the caller. */
    void turn() {
        side.tick();
    }

    /** From now on the timekeeper is not heard of, as in a process that does not get the processor. */
    void comesLate() {
        tellsTurns = false;
    }

    /** The clock stands still, this much after the moment at which it stood or stands. */
    void stopClock(long laterUs) {
        stoppedUs = (stoppedUs >= 0 ? stoppedUs : running.getAsLong()) + laterUs;
    }

    /** The last moment of an ending has come: what is held fails, and has so long to reach its clients, us. */
    void lastMoment(long marginUs) throws InterruptedException {
        side.awaitEmpty(0, 0, deadlines.now() + marginUs);
    }

    Host.Client client() throws IOException {
        Host.Client client = new Host.Client(side.address());
        client.socket.setSendBufferSize(BUFFER);
        toClose.add(client);
        return client;
    }

    Accepted accepted() throws InterruptedException {
        Accepted next = accepted.poll(Host.PATIENCE_S, TimeUnit.SECONDS);
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
