package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
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
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Hundreds of clients that make the sidecar hold much for each of them, in a heap of the deployed size. */
@Timeout(120)
class CrowdMemoryTest extends ClosesWhatItOpened {
    private static final int DEPLOYED_HEAP_MB = 32;
    private static final long MEMORY_LIMIT_KB = 192 * 1024;
    private static final int SERVERS = 8;
    private static final int CLIENTS = 400;
    private static final int CROWD_S = 5;
    private static final long SERVICE_MS = 2_500;
    private static final long SLOW_PAUSE_MS = 50;
    private static final int LONG_BYTES = 2_000_000;
    private static final int SHORT_BODY_BYTES = 60_000;
    private static final int BEHIND_BYTES = 68_000;
    private static final int ASK_TIMEOUT_MS = 5_000;
    /** The budget of the other client's requests and the time by which an answer may be late. */
    private static final int ANSWER_LIMIT_MS = 800 + 500;

    /** What each client of the crowd does. */
    private enum Crowd { MANY_FIELDS, TOO_MANY_FIELDS, SLOW_CHUNKS, STOPS_HALF_WAY, SENDS_BEHIND, READS_SLOWLY }

    @TempDir
    private Path folder;
    private final AtomicLong callIds = new AtomicLong();
    private SidecarProcess sidecar;

    private int server() throws IOException {
        ServerSocket listener = open(new ServerSocket(0, 2 * CLIENTS, InetAddress.getLoopbackAddress()));
        Host.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Host.daemon(() -> serve(socket));
            }
        });
        return listener.getLocalPort();
    }

    private static void serve(Socket socket) throws Exception {
        try (socket) {
            MessageReader reader = new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
            while (reader.awaitData()) {
                Head head = reader.readRequestHead();
                reader.readRequestBody(head);
                boolean isLong = head.get("Long") != null;
                if (head.get("Held") != null) {
                    Thread.sleep(SERVICE_MS);
                }
                int length = isLong ? LONG_BYTES : 2;
                write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
                socket.getOutputStream().write(new byte[length]);
            }
        }
    }

    private int sidecar(int serverPort) throws Exception {
        int port = SidecarProcess.freePort();
        Path config = Files.writeString(folder.resolve("config.json"),
                ExampleConfig.of(port, Collections.nCopies(SERVERS, serverPort))
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 3000000"));
        sidecar = open(new SidecarProcess(config, DEPLOYED_HEAP_MB));
        sidecar.awaitLog("serving on");
        return port;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String head(String method, String fields) {
        long id = callIds.incrementAndGet();
        return method + "/1 HTTP/1.1\r\nX-Call-Id: " + Long.toHexString(id)
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 2900\r\nIdempotency-Key: k" + id + "\r\n" + fields + "\r\n";
    }

    private void play(int port, Crowd crowd) throws Exception {
        Socket socket = open(new Socket(InetAddress.getLoopbackAddress(), port));
        OutputStream out = socket.getOutputStream();
        switch (crowd) {
            case MANY_FIELDS -> write(out, head("GET /quote", "Held: 1\r\n" + fields(90, "v".repeat(70))));
            case TOO_MANY_FIELDS -> write(out, head("GET /quote", "Held: 1\r\n" + fields(1_900, "")));
            case SENDS_BEHIND -> write(out, head("GET /quote", "Held: 1\r\n") + "b".repeat(BEHIND_BYTES));
            case STOPS_HALF_WAY -> {
                write(out, head("POST /pay", "Content-Length: " + LONG_BYTES + "\r\n"));
                out.write(new byte[LONG_BYTES / 2]);
            }
            case SLOW_CHUNKS -> {
                write(out, head("POST /pay", "Transfer-Encoding: chunked\r\n"));
                for (int left = SHORT_BODY_BYTES; left > 0; left -= 1_000) {
                    write(out, "3e8\r\n" + "c".repeat(1_000) + "\r\n");
                    Thread.sleep(SLOW_PAUSE_MS);
                }
                write(out, "0\r\n\r\n");
            }
            case READS_SLOWLY -> {
                write(out, head("GET /quote", "Long: 1\r\n"));
                InputStream in = socket.getInputStream();
                byte[] piece = new byte[10_000];
                while (in.read(piece) >= 0) {
                    Thread.sleep(SLOW_PAUSE_MS);
                }
            }
            default -> throw new AssertionError(crowd);
        }
        if (crowd != Crowd.READS_SLOWLY) {
            socket.getInputStream().readAllBytes();
        }
    }

    private static String fields(int count, String value) {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < count; i++) {
            fields.append(Integer.toString(i, Character.MAX_RADIX)).append(':').append(value).append("\r\n");
        }
        return fields.toString();
    }

    /** Guards against a crowd that exhausts the heap, or takes the process beyond its memory limit. */
    @ParameterizedTest
    @EnumSource(Crowd.class)
    void heapIsNotExhaustedAndOtherClientsAreAnswered(Crowd crowd) throws Exception {
        int port = sidecar(server());
        for (int i = 0; i < CLIENTS; i++) {
            Host.daemon(() -> play(port, crowd));
        }
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(CROWD_S);
        List<Long> tookMs = new ArrayList<>();
        while (System.nanoTime() < untilNs) {
            long sentNs = System.nanoTime();
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.setSoTimeout(ASK_TIMEOUT_MS);
                write(client.getOutputStream(), head("GET /quote", "").replace("2900", "800"));
                Head answer = new MessageReader(client.getInputStream()).readResponseHead();
                assertThat(answer.startLine[1]).isIn("200", "503", "504");
            }
            tookMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs));
            Thread.sleep(SLOW_PAUSE_MS);
        }
        long peakKb = Long.parseLong(Files.readString(Path.of("/proc/" + sidecar.process.pid() + "/status"))
                .replaceAll("(?s).*VmHWM:\\s*(\\d+) kB.*", "$1"));
        assertThat(sidecar.log).noneMatch(line -> line.contains("OutOfMemory"));
        assertThat(peakKb).isLessThan(MEMORY_LIMIT_KB);
        assertThat(Collections.max(tookMs)).as("longest answer, ms").isLessThan(ANSWER_LIMIT_MS);
    }
}
