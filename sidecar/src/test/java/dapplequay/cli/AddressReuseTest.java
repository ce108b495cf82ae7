package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work that runs twice as a new process has come up at the address of the one that ran it first. */
@Timeout(60)
class AddressReuseTest extends ClosesWhatItOpened {
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 12;
    private static final int SERVICE_MS = 40;

    @TempDir
    private Path folder;
    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
    private final AtomicInteger callIds = new AtomicInteger();

    /** A server process; its memory of keys goes with it, as that of another pod would not know them. */
    private final class Server {
        private final ServerSocket listener;
        private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
        private final Map<String, Boolean> knownKeys = new ConcurrentHashMap<>();

        Server(int port) throws IOException {
            listener = open(new ServerSocket());
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 100);
            Host.daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    connections.add(socket);
                    Host.daemon(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            MessageReader reader = new MessageReader(socket.getInputStream());
            while (reader.awaitData()) {
                Head head = reader.readRequestHead();
                reader.readRequestBody(head);
                String key = head.get("Idempotency-Key");
                if (knownKeys.putIfAbsent(key, true) == null) {
                    runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
                }
                Thread.sleep(SERVICE_MS);
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        /** Ends as a killed process does: its connections are reset. */
        void kill() throws IOException {
            listener.close();
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    private void client(int port) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            int number = callIds.incrementAndGet();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream().write(("POST /pay/1 HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(number)
                        + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 1900\r\nIdempotency-Key: k" + number
                        + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                new MessageReader(socket.getInputStream()).readResponseHead();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 30, 200})
    void keyedWorkIsNotRepeatedAtAnotherProcessThatHasTakenTheAddress(int returnsAfterMs) throws Exception {
        Server first = new Server(0);
        int serverPort = first.listener.getLocalPort();
        int port = SidecarProcess.freePort();
        Path config = Files.writeString(folder.resolve("config.json"), ExampleConfig.of(port, List.of(serverPort)));
        open(new SidecarProcess(config, null, SidecarProcess.freePort())).awaitReady();
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = new Thread(() -> {
                try {
                    client(port);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            clients[i].start();
        }
        SidecarProcess.await("some requests", () -> runsByKey.size() > CLIENTS);
        first.kill();
        Thread.sleep(returnsAfterMs);
        new Server(serverPort);
        for (Thread one : clients) {
            one.join();
        }
        assertThat(runsByKey.values()).allSatisfy(runs -> assertThat(runs).hasValue(1));
    }
}
