package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Restarts a fleet of sidecars while clients keep sending on every open connection, as in a planned rolling restart.
 * By what clients and hosts observe, no request may be lost, late or run more often than allowed.
 */
@Timeout(150)
class RollUnderLoadTest {
    private static final int NODES = 12;
    private static final int HOSTS = 6;
    /** The least time from SIGTERM to SIGKILL, us: the longest deadline of the classes, and 0.7 s. */
    private static final long SIGKILL_AFTER_US = 2_000_000 + 700_000;
    /** What a busy machine may add to an exit, us; an exit that never comes is still seen. */
    private static final long MACHINE_SLACK_US = 1_000_000;
    private static final String FRAGILE_SERVICE =
            "{\"name\": \"book\", \"semantics\": \"fragile\", \"aim_us\": 500000, "
            + "\"deadline_us\": 1500000, \"importance\": 0.8, \"late_worth\": 0.1, \"stream\": false}, ";

    @TempDir
    private Path folder;
    private final long seed = System.nanoTime();
    private final RollClient.Ledger ledger = new RollClient.Ledger();
    private final List<ServerSocket> hosts = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < HOSTS; i++) {
            ServerSocket host = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
            int group = 1 + i % 2;
            hosts.add(host);
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(host.getLocalPort()).append("\",\"az\":\"north\",\"pod_group\":").append(group)
                    .append(",\"state\":\"SERVING\",\"capacity_hint\":4.0,\"boot_ms\":0}");
            Host.daemon(() -> {
                while (true) {
                    Socket socket = host.accept();
                    Host.daemon(() -> serve(socket, group));
                }
            });
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i, "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}"));
        }
    }

    @AfterEach
    void close() throws IOException {
        ledger.stopped = true;
        for (Node node : nodes) {
            node.close();
        }
        for (ServerSocket host : hosts) {
            host.close();
        }
    }

    /**
     * Answers most requests after a few ms, some after 300 ms, and a few after 1,200 ms, so that some are still held
     * when the time to exit is over.
     */
    private void serve(Socket socket, int group) throws Exception {
        socket.setTcpNoDelay(true);
        MessageReader reader = new MessageReader(socket.getInputStream());
        while (reader.awaitData()) {
            Head head = reader.readRequestHead();
            reader.readRequestBody(head);
            String id = head.get("X-Call-Id");
            String[] path = head.startLine[1].split("/");
            ledger.recordRun(id, new RollClient.Run(path[1], group, head.get("X-Again") != null));
            long number = Long.parseLong(path[2]);
            Thread.sleep(number % 211 == 0 ? 1_200 : number % 17 == 0 || number % 100 == 0 ? 300 : 3 + number % 30);
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id)
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Successive processes at one address, and what clients know of them. */
    private final class Node implements RollClient.Target, AutoCloseable {
        private final Socket serviceAddress = reserved();
        private final Socket management = reserved();
        private final Path config;
        private SidecarProcess program;
        private Instant sigtermAt;
        private CompletableFuture<Void> exited;
        private volatile long sigtermUs;
        private volatile long exitedUs;
        private volatile long closedFromUs = Long.MIN_VALUE;

        Node(int number, String known) throws IOException {
            String text = Files.readString(Path.of("example/config.json"));
            config = Files.writeString(folder.resolve("config" + number + ".json"), text
                    .replace("127.0.0.1:7070", "127.0.0.1:" + port()).replace("127.0.0.1:8500", "127.0.0.1:1")
                    .replace("00c0ffee00c0ffee", "00c0ffee00c0ff" + (10 + number))
                    .replace("\"balancers\": 1", "\"balancers\": " + NODES)
                    .replace("\"position\": 0", "\"position\": " + number)
                    .replaceAll("(?s)\"known\": \\{.*?]},", "\"known\": " + known + ",")
                    .replaceAll("\"quota_per_s\": [0-9.]+", "\"quota_per_s\": 2000.0")
                    .replace("\"services\": [", "\"services\": [" + FRAGILE_SERVICE));
        }

        /** Binds without listening, so that no other socket gets the port between two processes. */
        private static Socket reserved() throws IOException {
            Socket socket = new Socket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return socket;
        }

        @Override
        public int port() {
            return serviceAddress.getLocalPort();
        }

        @Override
        public boolean isOpen() {
            return RollClient.now() < closedFromUs;
        }

        @Override
        public long sigtermUs() {
            return sigtermUs;
        }

        void start() throws Exception {
            program = new SidecarProcess(config, null, management.getLocalPort());
        }

        void awaitReady() throws Exception {
            program.awaitReady();
            sigtermUs = 0;
            closedFromUs = Long.MAX_VALUE;
        }

        /** Sends SIGTERM; clients go on opening connections for {@code acceptingUs}. */
        void terminate(long acceptingUs) {
            sigtermAt = Instant.now();
            sigtermUs = RollClient.now();
            exited = program.process.onExit().thenRun(() -> exitedUs = RollClient.now());
            program.process.toHandle().destroy();
            closedFromUs = sigtermUs + acceptingUs;
        }

        void awaitExit() throws Exception {
            exited.get(60, TimeUnit.SECONDS);
            long tookUs = exitedUs - sigtermUs;
            ledger.recordMax("ended, at most us after SIGTERM", tookUs);
            if (tookUs > SIGKILL_AFTER_US + MACHINE_SLACK_US) {
                ledger.violations.add("exit took longer than SIGKILL allows: SIGTERM at " + sigtermAt + ", took "
                        + tookUs + " us: " + program.log);
            }
            assertThat(program.process.exitValue()).isIn(0, 128 + 15);
        }

        @Override
        public void close() throws IOException {
            if (program != null) {
                program.close();
            }
            serviceAddress.close();
            management.close();
        }
    }

    /** Restarts these nodes at the same time, and waits until all are ready. */
    private void roll(List<Node> rolled) throws Exception {
        Random random = new Random(seed);
        rolled.forEach(node -> node.terminate(200_000 + random.nextInt(200_000)));
        for (Node node : rolled) {
            node.awaitExit();
        }
        for (Node node : rolled) {
            node.start();
        }
        for (Node node : rolled) {
            node.awaitReady();
        }
        awaitServed(500);
    }

    private void awaitServed(int more) throws Exception {
        int wanted = ledger.figure("answered 200") + more;
        SidecarProcess.await(wanted + " answers", () -> ledger.figure("answered 200") >= wanted);
    }

    @Test
    void noRequestIsLostLateOrDuplicatedWhileTheFleetIsRestarted() throws Exception {
        for (Node node : nodes) {
            node.start();
        }
        List<Thread> clients = new ArrayList<>();
        for (Node node : nodes) {
            node.awaitReady();
            for (RollClient.Habit habit : RollClient.Habit.values()) {
                clients.add(new Thread(new RollClient(node, habit, ledger, seed + clients.size())));
            }
        }
        clients.forEach(Thread::start);
        awaitServed(500);
        int servedBefore = ledger.figure("answered 200");
        for (int i = 0; i < 2 * NODES; i += 2) {
            roll(nodes.subList(i % NODES, i % NODES + 2));
        }
        roll(nodes.subList(0, NODES / 3));
        int servedDuring = ledger.figure("answered 200") - servedBefore;
        ledger.stopped = true;
        for (Thread client : clients) {
            client.join();
        }
        ledger.judgeRuns();
        System.out.println("served during the rolls: " + servedDuring + "; " + ledger.figures);
        assertThat(ledger.violations).as("seed %d, %s", seed, ledger.figures).isEmpty();
        assertThat(servedDuring).as("served during the rolls").isGreaterThan(2_000);
        assertThat(ledger.figure("sent after SIGTERM, 200")).as("on connections that stayed open").isGreaterThan(200);
        assertThat(ledger.figure("last answers")).isGreaterThan(NODES);
    }
}
