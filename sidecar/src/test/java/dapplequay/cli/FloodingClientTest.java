package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** One connection on which requests come at full speed, beside a client that asks now and then. */
@Timeout(120)
class FloodingClientTest extends ClosesWhatItOpened {
    private static final int DEPLOYED_HEAP_MB = 32;
    private static final int FLOOD_S = 3;
    private static final int REQUESTS_PER_WRITE = 100;
    private static final long ASK_PAUSE_MS = 20;
    /** The budget of the other client's requests and the time by which an answer may be late. */
    private static final int BUDGET_MS = 800;
    private static final int LATE_ANSWER_MS = 500;

    /** What the flood consists of. */
    private enum Flood {
        SERVED(n -> request("GET /quote/" + n, "shop-a", n)),
        NEW_CLASSES(n -> request("GET /class" + n + "/1", "shop-a", n)),
        NEW_TENANTS(n -> request("GET /quote/1", "shop" + n, n)),
        NEW_IDS_REFUSED(n -> request("GET /quote/1", "shop-a", n).replace("-Budget-Ms: 800", "-Budget-Ms: 1")),
        SAME_ID(n -> request("GET /quote/1", "shop-a", 7)),
        BAD_BUDGET(n -> request("GET /quote/1", "shop-a", n).replace("-Budget-Ms: 800", "-Budget-Ms: x"));

        private final LongFunction<String> request;

        Flood(LongFunction<String> request) {
            this.request = request;
        }
    }

    @TempDir
    private Path folder;
    private final AtomicLong callIds = new AtomicLong(1L << 40);

    private static String request(String target, String tenant, long callId) {
        return target + " HTTP/1.1\r\nX-Call-Id: " + Long.toHexString(callId) + "\r\nX-Caller: " + tenant
                + "\r\nX-Budget-Ms: 800\r\n\r\n";
    }

    private SidecarProcess sidecar(int port, List<Integer> servers) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), ExampleConfig.of(port, servers));
        SidecarProcess sidecar = open(new SidecarProcess(config, DEPLOYED_HEAP_MB));
        sidecar.awaitLog("serving on");
        return sidecar;
    }

    private void flood(int port, Flood flood, long untilNs) throws Exception {
        while (System.nanoTime() < untilNs) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                InputStream in = socket.getInputStream();
                Host.daemon(() -> {
                    byte[] sink = new byte[64 * 1024];
                    while (in.read(sink) >= 0) { }
                });
                while (System.nanoTime() < untilNs) {
                    StringBuilder many = new StringBuilder();
                    for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                        many.append(flood.request.apply(callIds.incrementAndGet()));
                    }
                    socket.getOutputStream().write(many.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                Thread.onSpinWait();        // the sidecar closed the connection: the flood goes on over another one
            }
        }
    }

    /** Guards against a client that takes the others' processor time, or memory for each new name or id. */
    @ParameterizedTest
    @EnumSource(Flood.class)
    void otherClientsAreAnsweredInTimeAndNoMemoryIsShort(Flood flood) throws Exception {
        int port = SidecarProcess.freePort();
        try (ScriptedServers servers = new ScriptedServers(4, (server, head) -> "")) {
            SidecarProcess sidecar = sidecar(port, servers.ports());
            long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_S);
            Host.daemon(() -> flood(port, flood, untilNs));
            List<Long> tookMs = new ArrayList<>();
            Socket client = open(new Socket(InetAddress.getLoopbackAddress(), port));
            client.setSoTimeout(BUDGET_MS + 10 * LATE_ANSWER_MS);
            MessageReader reader = new MessageReader(client.getInputStream());
            while (System.nanoTime() < untilNs) {
                long sentNs = System.nanoTime();
                client.getOutputStream().write(request("GET /quote/1", "shop-b", callIds.incrementAndGet())
                        .getBytes(StandardCharsets.ISO_8859_1));
                Head head = reader.readResponseHead();
                reader.readResponseBody(head);
                tookMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs));
                Thread.sleep(ASK_PAUSE_MS);
            }
            assertThat(Collections.max(tookMs)).as("longest answer, ms").isLessThan(BUDGET_MS + LATE_ANSWER_MS);
            assertThat(sidecar.log).noneMatch(line -> line.contains("OutOfMemory"));
        }
    }
}
