package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** More long responses at once than a heap of the deployed size has room for with a full buffer each. */
@Timeout(120)
class ManyLongResponsesTest extends ClosesWhatItOpened {
    private static final int DEPLOYED_HEAP_MB = 32;
    private static final int RESPONSES = 400;
    /** More than a short body, so that the response is relayed and not timed any more. */
    private static final int FIRST_BYTES = 70_000;
    private static final int REST_BYTES = 50_000;
    /** While responses are still to begin, those that have begun go on slowly. */
    private static final int SLOW_BYTES = 100;
    private static final int PAUSE_MS = 2_000;
    private static final int BEGINNING_AT_ONCE = 8;
    private static final int TIMEOUT_MS = 20_000;

    @TempDir
    private Path folder;
    private final AtomicInteger callIds = new AtomicInteger();
    private final CountDownLatch allBegun = new CountDownLatch(1);
    private final ExecutorService clients = Executors.newFixedThreadPool(BEGINNING_AT_ONCE);

    @AfterEach
    void stopClients() {
        clients.shutdownNow();
    }

    private record Response(Socket client, Body body) { }

    private int host(boolean isChunked) throws IOException {
        ServerSocket listener = open(new ServerSocket(0, RESPONSES, InetAddress.getLoopbackAddress()));
        Host.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Host.daemon(() -> respond(socket, isChunked));
            }
        });
        return listener.getLocalPort();
    }

    private void respond(Socket socket, boolean isChunked) throws Exception {
        MessageReader reader = new MessageReader(socket.getInputStream());
        reader.readRequestBody(reader.readRequestHead());
        write(socket, "HTTP/1.1 200 OK\r\n" + (isChunked ? "Transfer-Encoding: chunked"
                : "Content-Length: " + (FIRST_BYTES + REST_BYTES)) + "\r\n\r\n" + part(FIRST_BYTES, isChunked));
        int rest = REST_BYTES;
        while (!allBegun.await(PAUSE_MS, TimeUnit.MILLISECONDS)) {
            write(socket, part(SLOW_BYTES, isChunked));
            rest -= SLOW_BYTES;
        }
        write(socket, part(rest, isChunked) + (isChunked ? "0\r\n\r\n" : ""));
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String part(int bytes, boolean isChunked) {
        String content = "x".repeat(bytes);
        return isChunked ? Integer.toHexString(bytes) + "\r\n" + content + "\r\n" : content;
    }

    private int sidecar(int hostPort) throws Exception {
        int port = SidecarProcess.freePort();
        Path config = Files.writeString(folder.resolve("config"), Files.readString(Path.of("example/config.json"))
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + hostPort)
                .replace("127.0.0.1:7070", "127.0.0.1:" + port));
        SidecarProcess sidecar = open(new SidecarProcess(config, DEPLOYED_HEAP_MB));
        sidecar.awaitLog("serving on");
        return port;
    }

    private Response begin(int port) throws IOException {
        Socket client = open(new Socket(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout(TIMEOUT_MS);
        write(client, "GET /quote/1 HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(callIds.incrementAndGet())
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 1000\r\n\r\n");
        MessageReader reader = new MessageReader(client.getInputStream(), MessageReader.MAX_BODY_BYTES);
        Head head = reader.readResponseHead();
        if (head.startLine[1].equals("503")) {
            client.close();
            return begin(port);         // refused, as the servers are new: a client may ask again
        }
        assertThat(head.startLine[1]).isEqualTo("200");
        Body body = reader.responseBody(head);
        read(body, FIRST_BYTES);
        return new Response(client, body);
    }

    private static void read(Body body, int bytes) throws IOException {
        byte[] piece = new byte[bytes];
        for (int read = 0; read < bytes; ) {
            int count = body.read(piece, read, bytes - read);
            assertThat(count).as("a piece of the body").isPositive();
            read += count;
        }
    }

    /** Guards against the failure in which each relayed response held a full buffer, and the heap was exhausted. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void allAreRelayedWholeThoughTheyTakeLong(boolean isChunked) throws Exception {
        int port = sidecar(host(isChunked));
        List<Future<Response>> responses = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            responses.add(clients.submit(() -> begin(port)));
        }
        for (Future<Response> begun : responses) {
            begun.get();
        }
        allBegun.countDown();
        for (Future<Response> begun : responses) {
            Response response = begun.get();
            read(response.body(), REST_BYTES);
            assertThat(response.body().read(new byte[1], 0, 1)).as("end of the body").isEqualTo(-1);
        }
    }
}
