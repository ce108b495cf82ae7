package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Many processes start at once while discovery is down: each serves by the list in its configuration. */
@Timeout(120)
class StartTogetherTest {
    private static final int SIDECARS = 8;
    private static final long READY_WITHIN_MS = 10_000;

    @TempDir
    private Path folder;
    private final List<AutoCloseable> toClose = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable one : toClose) {
            one.close();
        }
    }

    private <T extends AutoCloseable> T open(T one) {
        toClose.add(one);
        return one;
    }

    private ServerSocket listener() throws IOException {
        return open(new ServerSocket(0, 200, InetAddress.getLoopbackAddress()));
    }

    private static void serve(Socket socket) throws Exception {
        MessageReader reader = new MessageReader(socket.getInputStream());
        while (reader.awaitData()) {
            Head head = reader.readRequestHead();
            reader.readRequestBody(head);
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    @Test
    void allBecomeReadyAndServeThoughDiscoveryRefusesOrIsSilent() throws Exception {
        ServerSocket host = listener();
        Host.daemon(() -> {
            while (true) {
                Socket socket = host.accept();
                Host.daemon(() -> serve(socket));
            }
        });
        // The system accepts connections, and nothing ever answers.
        ServerSocket silentDiscovery = listener();
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + host.getLocalPort());
        List<SidecarProcess> programs = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        List<CompletableFuture<Long>> ready = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            ports.add(SidecarProcess.freePort());
            Path config = Files.writeString(folder.resolve("config" + i), text
                    .replace("127.0.0.1:7070", "127.0.0.1:" + ports.get(i))
                    .replace("127.0.0.1:8500", "127.0.0.1:" + (i % 2 == 0 ? 1 : silentDiscovery.getLocalPort()))
                    .replace(i % 4 < 2 ? "\"on_request\"" : "\"none\"", "\"pushed\""));
            long startNs = System.nanoTime();
            SidecarProcess program = open(new SidecarProcess(config, null, SidecarProcess.freePort()));
            programs.add(program);
            ready.add(CompletableFuture.supplyAsync(() -> msToReady(program, startNs)));
        }
        List<Long> tookMs = new ArrayList<>();
        for (CompletableFuture<Long> one : ready) {
            tookMs.add(one.get());
        }
        System.out.println("ready after, ms: " + tookMs);
        for (int i = 0; i < SIDECARS; i++) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), ports.get(i))) {
                client.getOutputStream().write(("GET /quote/1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Caller: shop-a\r\n"
                        + "X-Budget-Ms: 1000\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                assertThat(new MessageReader(client.getInputStream()).readResponseHead().startLine[1]).isEqualTo("200");
            }
        }
        // Nine of ten starts have to meet this bound where each process has only a share of a core.
        assertThat(tookMs).allMatch(ms -> ms < READY_WITHIN_MS);
    }

    private static long msToReady(SidecarProcess program, long startNs) {
        try {
            program.awaitReady();
            return (System.nanoTime() - startNs) / 1_000_000;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
