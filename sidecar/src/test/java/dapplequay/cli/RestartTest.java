package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dapplequay.snapshot.StateFolder;
import dapplequay.state.Snapshot;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sidecars are killed and restarted with faults in between; the persisted list outlives them. */
@Timeout(120)
class RestartTest {
    private static final int SIDECARS = 4;

    @TempDir
    private Path folder;
    private final AtomicInteger[] served = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger(),
        new AtomicInteger()};
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<SidecarProcess> running = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ServerSocketChannel[] listeningSockets = new ServerSocketChannel[SIDECARS];
    private HttpServer discovery;
    private volatile String list;
    private volatile long revision;

    @BeforeEach
    void startServers() throws IOException {
        for (AtomicInteger count : served) {
            server(exchange -> {
                count.incrementAndGet();
                answer(exchange, "done");
            });
        }
        for (int i = 0; i < SIDECARS; i++) {
            listeningSockets[i] = SidecarProcess.platformSocket();
        }
        discovery = server(this::discover);
        publishList(5, "SERVING", 2);
    }

    @AfterEach
    void stopAll() throws IOException {
        running.forEach(SidecarProcess::close);
        for (ServerSocketChannel listeningSocket : listeningSockets) {
            listeningSocket.close();
        }
        servers.forEach(server -> server.stop(0));
    }

    private HttpServer server(com.sun.net.httpserver.HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            handler.handle(exchange);
        });
        server.setExecutor(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
        servers.add(server);
        return server;
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Answers with the whole list: at once to a call without the current version, else when the version changes. */
    private void discover(HttpExchange exchange) throws IOException {
        String query = String.valueOf(exchange.getRequestURI().getQuery());
        String known = query.replaceAll(".*after=(\\d+).*", "$1");
        String now;
        synchronized (this) {
            while (known.equals(String.valueOf(revision))) {
                try {
                    wait();
                } catch (InterruptedException e) {
                    return;
                }
            }
            now = list;
        }
        answer(exchange, now);
    }

    /** Publishes a list of {@code hosts} servers: the first in the state given, the others serving. */
    private synchronized void publishList(long version, String firstState, int hosts) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < hosts; i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(servers.get(i).getAddress().getPort())
                    .append("\",\"az\":\"north\",\"pod_group\":1,\"state\":\"")
                    .append(i == 0 ? firstState : "SERVING").append("\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        list = "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + targets + "]}";
        revision = version;
        notifyAll();
    }

    /** Starts a sidecar with a state folder if it {@code persists}; its configured list has version 4, all serving. */
    private SidecarProcess start(int number, boolean persists) throws Exception {
        long version = revision;
        String now = list;
        publishList(4, "SERVING", 2);
        String known = list;
        list = now;
        revision = version;
        String text = Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:7070", "127.0.0.1:" + port(number))
                .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.getAddress().getPort())
                .replace("\"on_request\"", "\"pushed\"")
                .replace("\"ask_within_us\"", "\"drain_grace_us\": 16000000, \"ask_within_us\"")
                .replaceAll("(?s)\"known\": \\{.*?]},", "\"known\": " + known + ",");
        Path config = Files.writeString(folder.resolve("config" + number + ".json"), text);
        Path state = Files.createDirectories(folder.resolve("state" + number));
        Path operators = Files.writeString(folder.resolve("operators" + number + ".toml"),
                persists ? "[state]\nfolder = \"" + state + "\"\n" : "# nothing\n");
        SidecarProcess program = new SidecarProcess(config, listeningSockets[number], SidecarProcess.freePort(), false,
                List.of(), List.of("--operators",
                operators.toString()));
        running.add(program);
        return program;
    }

    private int port(int number) throws IOException {
        return ((InetSocketAddress) listeningSockets[number].getLocalAddress()).getPort();
    }

    private int requestStatus(int number) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(number) + "/quote/1"))
                .header("X-Call-Id", Long.toHexString(System.nanoTime())).header("X-Caller", "shop-a")
                .header("X-Budget-Ms", "1000").GET().build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    private String persistedList(int number) throws Exception {
        Snapshot snapshot = new StateFolder(folder.resolve("state" + number), "sidecar-127.0.0.1-" + port(number),
                () -> 0).read();
        return snapshot == null ? "" : new String(snapshot.list(), StandardCharsets.UTF_8);
    }

    private void startAll(boolean persists) throws Exception {
        List<SidecarProcess> started = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            started.add(start(i, persists));
        }
        for (SidecarProcess program : started) {
            program.awaitReady();
        }
    }

    private void killAll() throws Exception {
        for (SidecarProcess program : running) {
            program.process.destroyForcibly().waitFor();
        }
        running.clear();
    }

    /** Guards against a restarted sidecar that believes a stale discovery, which lists a draining server as serving. */
    @Test
    void aDrainKnownBeforeTheKillHoldsThoughDiscoveryIsStale() throws Exception {
        startAll(true);
        publishList(6, "DRAINING", 2);
        for (int i = 0; i < SIDECARS; i++) {
            int number = i;
            SidecarProcess.await("list persisted by sidecar " + i, () -> persistedList(number).contains("\"rev\":6"));
            assertThat(persistedList(i)).contains("DRAINING");
        }
        killAll();
        publishList(5, "SERVING", 2);
        int before = served[0].get();
        startAll(true);
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < SIDECARS; i++) {
                assertThat(requestStatus(i)).isEqualTo(200);
            }
        }
        assertThat(served[0].get() - before).as("requests at the draining server").isZero();
        assertThat(served[1].get()).isGreaterThanOrEqualTo(5 * SIDECARS);
        publishList(7, "SERVING", 1);
        SidecarProcess.await("a newer list ends the drain", () -> requestStatus(0) == 200 && served[0].get() > before);
    }

    /** Shows that the drain in the test above holds because of the state folder. */
    @Test
    void withoutAStateFolderAStaleDiscoveryIsBelieved() throws Exception {
        startAll(false);
        publishList(5, "SERVING", 1);
        SidecarProcess.await("served by the first server", () -> requestStatus(0) == 200 && served[0].get() > 0);
        assertThat(persistedList(0)).isEmpty();
    }

    @Test
    void aTornStateFileIsSetAsideAndTheSidecarStarts() throws Exception {
        start(0, true).awaitReady();
        SidecarProcess.await("list persisted", () -> persistedList(0).contains("\"rev\":5"));
        killAll();
        Path file = folder.resolve("state0/sidecar-127.0.0.1-" + port(0) + ".list");
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(whole, whole.length / 2));
        SidecarProcess again = start(0, true).awaitReady();
        assertThat(requestStatus(0)).isEqualTo(200);
        again.awaitLog("torn");
        assertThat(folder.resolve("state0/" + file.getFileName() + ".bad")).exists();
        SidecarProcess.await("list persisted again", () -> persistedList(0).contains("\"rev\":5"));
    }

    /** A stopped process is replaced by a second one; neither overwrites the other's state. */
    @Test
    void aSecondProcessOnAStateFolderServesAndWritesNothing() throws Exception {
        SidecarProcess first = start(0, true).awaitReady();
        SidecarProcess.await("list persisted", () -> persistedList(0).contains("\"rev\":5"));
        first.signal("STOP");
        SidecarProcess second = start(0, true).awaitReady();
        publishList(6, "DRAINING", 2);
        second.awaitLog("held by another process");
        assertThat(persistedList(0)).as("not overwritten").contains("\"rev\":5");
        first.close();
        first.process.waitFor();
        assertThat(requestStatus(0)).isEqualTo(200);
        publishList(7, "DRAINING", 2);
        SidecarProcess.await("the second process persists the list once the first is gone",
                () -> persistedList(0).contains("\"rev\":7"));
    }

    /** Persisted under its new version, an unconfirmed list would not be asked for again after a restart. */
    @Test
    void anUnconfirmedListDrainsAtOnceAndIsKeptUnderThePreviousVersion() throws Exception {
        publishList(5, "SERVING", 4);
        start(0, true).awaitReady();
        SidecarProcess.await("all servers persisted", () -> persistedList(0).contains("s3"));
        publishList(6, "DRAINING", 1);
        SidecarProcess.await("drain persisted", () -> persistedList(0).contains("DRAINING"));
        assertThat(persistedList(0)).contains("\"rev\":5").contains("s3");
    }

    /** An empty list is asked for again, and a second, whole list arrives before any request was refused. */
    @Test
    void anEmptyListIsAskedForAgainBeforeItCounts() throws Exception {
        publishList(5, "SERVING", 4);
        SidecarProcess program = start(0, true).awaitReady();
        SidecarProcess.await("all servers persisted", () -> persistedList(0).contains("s3"));
        publishList(6, "SERVING", 0);
        program.awaitLog("asked for again");
        assertThat(requestStatus(0)).isEqualTo(200);
        publishList(7, "SERVING", 4);
        SidecarProcess.await("whole list persisted", () -> persistedList(0).contains("\"rev\":7"));
        publishList(8, "SERVING", 0);
        SidecarProcess.await("the second empty list takes effect", () -> requestStatus(0) == 503);
        program.awaitLog("came again, and counts");
    }
}
