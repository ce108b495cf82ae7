package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that disconnect while no thread reads their connection, or with unread bytes before the end of stream. */
@Timeout(90)
class ClientDepartureTest extends ClosesWhatItOpened {
    /** Far less than the requests' budget, after which their attempts would end anyway. */
    private static final int DEPARTURE_TIMEOUT_S = 6;
    /** More of a body than the sidecar reads before the first attempt, and less than the sockets hold beside that. */
    private static final int MORE_THAN_IS_READ_BYTES = 220_000;

    private ClientRig rig(ClientRig.Hooks hooks, int... ports) throws IOException {
        return open(new ClientRig(hooks, 100, ports));
    }

    /** Opens a host that holds requests with this key until their attempt is given up, and answers the others. */
    private Host hostHolding(String key) throws IOException {
        return open(new Host((head, request) -> {
            if (key.equals(head.get("Idempotency-Key"))) {
                request.socket().getInputStream().read();
                return null;
            }
            return Host.ok("done");
        }));
    }

    private static void disconnect(Host.Client client, boolean withReset) throws IOException {
        client.socket.setSoLinger(withReset, 0);
        client.close();
    }

    private static String key(Host host) throws Exception {
        return host.next().head().get("Idempotency-Key");
    }

    private static String trailingBytes(String kind) {
        return switch (kind) {
            case "request" -> ClientRig.pay("behind");
            case "half" -> ClientRig.pay("behind").substring(0, 50);
            case "line" -> "\r\n";
            case "much" -> "x".repeat(100_000);
            default -> "";
        };
    }

    /** While a request was out, the thread read no further than the next request's first byte: it missed the end. */
    @ParameterizedTest
    @CsvSource({"request,false", "request,true", "half,false", "half,true", "line,false", "much,false", "much,true",
        "nothing,false", "nothing,true"})
    void departureIsNoticedBehindUnreadBytesAndTheseAreNotServed(String trailing, boolean withReset) throws Exception {
        Host host = hostHolding("held");
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        client.send(ClientRig.pay("held") + trailingBytes(trailing));
        assertThat(key(host)).isEqualTo("held");
        disconnect(client, withReset);
        assertThat(host.closed.poll(DEPARTURE_TIMEOUT_S, TimeUnit.SECONDS)).as("the attempt is given up").isTrue();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        Host.Client other = rig.client();
        other.send(ClientRig.pay("other"));
        assertThat(other.answer().status()).isEqualTo(200);
        assertThat(key(host)).isEqualTo("other");
        assertThat(host.received).isEmpty();
    }

    /** Each answer came before the check for departed clients, and so the next pipelined request followed. */
    @Test
    void pipelinedRequestsOfADepartedClientAreNotAllServed() throws Exception {
        int pipelined = 40;
        Host host = open(new Host((head, request) -> {
            Thread.sleep(15);
            return Host.ok("done");
        }));
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < pipelined; i++) {
            all.append(ClientRig.pay("row" + i));
        }
        client.send(all.toString());
        assertThat(key(host)).isEqualTo("row0");
        client.socket.shutdownOutput();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        assertThat(host.received).as("of " + pipelined).hasSizeLessThan(pipelined / 2);
    }

    /** A client that shuts down its output counts as departed, and its attempt is given up. */
    @Test
    void clientThatShutsDownItsOutputHasDepartedThoughItStillReads() throws Exception {
        Host host = hostHolding("held");
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        client.send(ClientRig.pay("held"));
        host.next();
        client.socket.shutdownOutput();
        assertThat(host.closed.poll(DEPARTURE_TIMEOUT_S, TimeUnit.SECONDS)).as("the attempt is given up").isTrue();
        assertThat(client.atEnd()).as("with no answer").isTrue();
    }

    /** A process without processor time read a request late, when the end of its connection had already arrived. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestWhoseClientLeftBeforeItWasReadIsNotForwarded(boolean withReset) throws Exception {
        Host host = open(new Host((head, request) -> Host.ok("done")));
        CountDownLatch left = new CountDownLatch(1);
        AtomicInteger connections = new AtomicInteger();
        ClientRig rig = rig(new ClientRig.Hooks() {
            @Override
            void beforeRead() {
                try {
                    if (connections.get() == 2) {
                        left.await();
                    }
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }, host.port());
        Host.Client other = rig.client();
        connections.set(1);
        other.send(ClientRig.pay("before"));
        assertThat(other.answer().status()).isEqualTo(200);
        Thread.sleep(30);           // the host's connection has settled, so that the next attempt is written at once
        rig.suspendTicks();
        connections.set(2);
        Host.Client stale = rig.client();
        stale.send(ClientRig.pay("stale"));
        disconnect(stale, withReset);
        Thread.sleep(60);           // the time for which the process gets no processor time
        left.countDown();
        rig.accepted();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        other.send(ClientRig.pay("after"));
        assertThat(other.answer().status()).isEqualTo(200);
        assertThat(key(host)).isEqualTo("before");
        assertThat(key(host)).isEqualTo("after");
        assertThat(host.received).isEmpty();
    }

    /** The first attempt fails after its client has left. A second one would be due then, and must not begin. */
    @ParameterizedTest
    @ValueSource(strings = {"nothing", "half", "request"})
    void attemptThatFailsAfterTheDepartureIsNotRetried(String trailing) throws Exception {
        Host.Script script = (head, request) -> {
            if ("other".equals(head.get("Idempotency-Key"))) {
                return Host.ok("done");
            }
            try {
                request.socket().setSoTimeout(3_000);
                request.socket().getInputStream().read();
            } catch (SocketTimeoutException e) {
                // The attempt was not given up though its client has left: it fails now.
            }
            return "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
        };
        Host first = open(new Host(script));
        Host second = open(new Host(script));
        ClientRig rig = rig(new ClientRig.Hooks(), first.port(), second.port());
        Host.Client client = rig.client();
        client.send(ClientRig.pay("held") + trailingBytes(trailing));
        while (first.received.isEmpty() && second.received.isEmpty()) {
            Thread.sleep(1);
        }
        disconnect(client, false);
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        Host.Client other = rig.client();
        other.send(ClientRig.pay("other"));
        assertThat(other.answer().status()).isEqualTo(200);
        assertThat(first.received.size() + second.received.size()).isEqualTo(2);
    }

    /** A host whose backlog is full, so that connects wait until it accepts; records the keys of its requests. */
    private static final class BacklogFullHost implements AutoCloseable {
        final BlockingQueue<String> receivedKeys = new LinkedBlockingQueue<>();
        final BlockingQueue<Boolean> ended = new LinkedBlockingQueue<>();
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> queue = new ArrayList<>();

        BacklogFullHost() throws IOException {
            try {
                while (true) {
                    Socket one = new Socket();
                    queue.add(one);
                    one.connect(listener.getLocalSocketAddress(), 300);
                }
            } catch (SocketTimeoutException e) {
                queue.remove(queue.size() - 1).close();
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        void startAccepting() {
            Host.daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    Host.daemon(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                MessageReader reader = new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
                while (reader.awaitData()) {
                    Head head = reader.readRequestHead();
                    String key = head.get("Idempotency-Key");
                    try {
                        reader.readRequestBody(head);
                    } catch (IOException e) {
                        key += " in part";
                    }
                    receivedKeys.add(key);
                    socket.getOutputStream().write(Host.ok("done").getBytes(StandardCharsets.ISO_8859_1));
                }
            } finally {
                ended.add(true);
            }
        }

        @Override
        public void close() throws IOException {
            for (Socket one : queue) {
                one.close();
            }
            listener.close();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"nothing", "half", "request"})
    void nothingIsWrittenIfTheClientLeavesDuringTheConnect(String trailing) throws Exception {
        BacklogFullHost host = open(new BacklogFullHost());
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        client.send(ClientRig.pay("held") + trailingBytes(trailing));
        ClientRig.Accepted accepted = rig.accepted();
        while (accepted.bytesRead.get() == 0) {
            Thread.sleep(1);
        }
        disconnect(client, false);
        assertThat(accepted.closed.await(DEPARTURE_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        host.startAccepting();
        Host.Client other = rig.client();
        other.send(ClientRig.pay("other"));
        assertThat(other.answer().status()).isEqualTo(200);
        assertThat(host.receivedKeys).containsExactly("other");
    }

    /**
     * A host with small socket buffers. It answers each request but those with the key "held": of these it reads the
     * head alone, and resets the connection when told to.
     */
    private static final class StalledHost implements AutoCloseable {
        private static final int BUFFER_BYTES = 4_096;
        final BlockingQueue<String> receivedKeys;
        private final CountDownLatch reset;
        private final ServerSocket listener = new ServerSocket();

        StalledHost(BlockingQueue<String> receivedKeys, CountDownLatch reset) throws IOException {
            this.receivedKeys = receivedKeys;
            this.reset = reset;
            listener.setReceiveBufferSize(BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Host.daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    Host.daemon(() -> serve(socket));
                }
            });
        }

        /** Returns a socket with a small send buffer. */
        static Socket smallBufferSocket() {
            Socket socket = new Socket();
            try {
                socket.setSendBufferSize(BUFFER_BYTES);
            } catch (SocketException e) {
                throw new AssertionError(e);
            }
            return socket;
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                MessageReader reader = new MessageReader(socket.getInputStream());
                while (reader.awaitData()) {
                    Head head = reader.readRequestHead();
                    receivedKeys.add(head.get("Idempotency-Key"));
                    if (head.get("Idempotency-Key").equals("held")) {
                        reset.await();
                        socket.setSoLinger(true, 0);
                        return;
                    }
                    reader.readRequestBody(head);
                    socket.getOutputStream().write(Host.ok("done").getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /**
     * No thread reads the client's connection while the client's thread is blocked in the write. The host's reset ends
     * the write, and a second attempt is due before the thread reads again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void attemptThatIsResetDuringItsWriteIsNotRetriedForADepartedClient(boolean withReset) throws Exception {
        BlockingQueue<String> receivedKeys = new LinkedBlockingQueue<>();
        CountDownLatch reset = new CountDownLatch(1);
        StalledHost first = open(new StalledHost(receivedKeys, reset));
        StalledHost second = open(new StalledHost(receivedKeys, reset));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks() {
            /** Lets the thread read again only after another attempt, or after 1 s without one. */
            @Override
            void beforeRead() throws IOException {
                long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
                while (reset.getCount() == 0 && !receivedKeys.contains("other")
                        && Collections.frequency(receivedKeys, "held") < 2 && System.nanoTime() < untilNs) {
                    Thread.onSpinWait();
                }
            }
        }, 100, StalledHost::smallBufferSocket, first.listener.getLocalPort(), second.listener.getLocalPort()));
        Host.Client client = rig.client();
        client.send(ClientRig.pay("before"));
        assertThat(client.answer().status()).isEqualTo(200);
        rig.stopClock(30_000);          // the connection has settled, so that it is reused
        client.send(ClientRig.pay("held", 15_000, 60_000));
        while (!receivedKeys.contains("held")) {
            Thread.onSpinWait();
        }
        disconnect(client, withReset);
        rig.stopClock(200_000);
        reset.countDown();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        Host.Client other = rig.client();
        other.send(ClientRig.pay("other"));
        assertThat(other.answer().status()).isEqualTo(200);
        assertThat(receivedKeys).containsExactly("before", "held", "other");
    }

    /** The connect ends long after the client has left: not even the head is written. */
    @ParameterizedTest
    @ValueSource(ints = {100_000, MORE_THAN_IS_READ_BYTES})
    void longRequestIsNotBegunIfItsClientLeavesDuringTheConnect(int length) throws Exception {
        BacklogFullHost host = open(new BacklogFullHost());
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        client.send(ClientRig.pay("long", 15_000, length));
        ClientRig.Accepted accepted = rig.accepted();
        awaitConnecting();
        disconnect(client, false);
        rig.stopClock(200_000);
        host.startAccepting();
        assertThat(accepted.isClosedInTime()).isTrue();
        assertThat(host.ended.poll(DEPARTURE_TIMEOUT_S, TimeUnit.SECONDS)).as("its connection is closed").isTrue();
        Host.Client other = rig.client();
        other.send(ClientRig.pay("other"));
        assertThat(other.answer().status()).isEqualTo(200);
        assertThat(host.receivedKeys).containsExactly("other");
    }

    private static void awaitConnecting() {
        while (Thread.getAllStackTraces().entrySet().stream().noneMatch(e -> e.getKey().getName().equals("client")
                && Arrays.stream(e.getValue()).anyMatch(f -> f.getClassName().equals(Socket.class.getName())
                        && f.getMethodName().equals("connect")))) {
            Thread.onSpinWait();
        }
    }

    /** Whether the client is still there can't be seen behind its body, so it gets the answer that is always true. */
    @Test
    void longRequestIsRefusedIfItsClientCanNotBeSeenAfterTheConnect() throws Exception {
        BacklogFullHost host = open(new BacklogFullHost());
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        client.send(ClientRig.pay("long", 15_000, MORE_THAN_IS_READ_BYTES));
        awaitConnecting();
        rig.stopClock(200_000);
        host.startAccepting();
        assertThat(client.answer().status()).isEqualTo(503);
        assertThat(host.ended.poll(DEPARTURE_TIMEOUT_S, TimeUnit.SECONDS)).as("its connection is closed").isTrue();
        assertThat(host.receivedKeys).isEmpty();
    }

    /** The client's thread is in the connect, and the rest of the body is in the socket buffer when that returns. */
    @Test
    void longRequestIsNotCompletedForADepartedClient() throws Exception {
        BacklogFullHost host = open(new BacklogFullHost());
        ClientRig rig = rig(new ClientRig.Hooks(), host.port());
        Host.Client client = rig.client();
        String request = ClientRig.pay("long", 15_000, 100_000);
        int held = 80_000;
        client.send(request.substring(0, held));
        ClientRig.Accepted accepted = rig.accepted();
        while (accepted.bytesRead.get() < 10_000) {      // more than the sidecar holds of the body
            Thread.sleep(1);
        }
        client.send(request.substring(held));
        disconnect(client, false);
        host.startAccepting();
        assertThat(accepted.isClosedInTime()).isTrue();
        Host.Client other = rig.client();
        other.send(ClientRig.pay("other"));
        assertThat(other.answer().status()).isEqualTo(200);
        while (!host.receivedKeys.contains("other")) {
            Thread.sleep(1);
        }
        assertThat(host.receivedKeys).doesNotContain("long");
    }
}
