package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A process with the hard descriptor limit that its configuration grants, and more clients than descriptors: some send
 * nothing, some half a request, some one request and then stay. Discovery refuses meanwhile, and returns with a drain.
 * The watch, connections to hosts, the management address and a reload still have to get their descriptors.
 */
@Timeout(120)
class DescriptorsTest {
    private static final int DESCRIPTORS = 160;
    private static final int HOSTS = 4;
    private static final int IDLE_CLIENTS = 240;
    private static final int MANAGEMENT_CLIENTS = 24;
    private static final int REQUESTING_CLIENTS = 8;
    private static final long NS_PER_MS = 1_000_000;
    private static final long DRAIN_BOUND_MS = 6_000 + 250;
    private static final long LATE_REQUEST_WATCH_MS = 1_000;
    private static final long REFUSED_MS = 3_000;
    private static final long OVERLAP_MS = 3_000;
    /** From SIGTERM to SIGKILL, ms: the longest deadline, and 0.7 s. */
    private static final long SIGKILL_AFTER_MS = 2_000 + 700;

    @TempDir
    private Path folder;
    private final Queue<Socket> crowd = new ConcurrentLinkedQueue<>();
    private final AtomicInteger[] requestCounts = Stream.generate(AtomicInteger::new).limit(HOSTS)
            .toArray(AtomicInteger[]::new);
    private final AtomicInteger[] inflight = Stream.generate(AtomicInteger::new).limit(HOSTS)
            .toArray(AtomicInteger[]::new);
    private final AtomicLong[] lastNs = Stream.generate(AtomicLong::new).limit(HOSTS).toArray(AtomicLong[]::new);
    private final AtomicInteger served = new AtomicInteger();
    private final Queue<String> unserved = new ConcurrentLinkedQueue<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    private final List<SidecarProcess> programs = new ArrayList<>();
    private volatile boolean stopped;
    private Load load;
    private ScriptedServers hosts;
    private ScriptedDiscovery discovery;
    private SidecarProcess program;
    private Path config;
    private String text;
    private int listenPort;
    private volatile int managementPort;
    private int mostDescriptors;

    @AfterEach
    void stopAll() throws IOException {
        stopped = true;
        threads.shutdownNow();
        programs.forEach(SidecarProcess::close);
        if (discovery != null) {
            discovery.close();
        }
        hosts.close();
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    /** Counts the request and takes 20 ms, so that several are in flight; returns the load report's line, if any. */
    private String answer(int host) throws InterruptedException {
        requestCounts[host].incrementAndGet();
        lastNs[host].set(System.nanoTime());
        int inside = inflight[host].incrementAndGet();
        Thread.sleep(20);
        inflight[host].decrementAndGet();
        return load.hostsReportLoad ? "X-Load-Report: inflight=" + inside + "\r\n" : "";
    }

    private String quote(String more) {
        int id = ids.incrementAndGet();
        String tenant = load.oneTenant || id % 5 < 3 ? "shop-a" : "shop-b";      // split by the tenants' shares
        return "GET /quote/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + Integer.toHexString(id)
                + "\r\nX-Caller: " + tenant + "\r\nX-Budget-Ms: 900\r\n" + more + "\r\n";
    }

    private Socket connected(int port, String text) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Keeps {@code share} client connections open, replacing those that the sidecar closes. */
    private Void keepClientsOpen(int share, IntSupplier port, List<Supplier<String>> texts) throws Exception {
        List<Socket> ownSockets = new ArrayList<>();
        byte[] answer = new byte[4096];
        int connectionsMade = 0;
        while (!stopped) {
            for (int i = 0; i < share && !stopped; i++) {
                try {
                    if (i >= ownSockets.size()) {
                        Socket socket = connected(port.getAsInt(), texts.get(connectionsMade++ % texts.size()).get());
                        ownSockets.add(socket);
                        crowd.add(socket);
                        continue;
                    }
                    Socket socket = ownSockets.get(i);
                    socket.setSoTimeout(1);
                    if (socket.getInputStream().read(answer) < 0) {
                        socket.close();
                    }
                } catch (java.net.SocketTimeoutException e) {
                    continue;           // still open
                } catch (IOException e) {
                    if (i < ownSockets.size()) {
                        ownSockets.get(i).close();
                    }
                }
                if (i < ownSockets.size() && ownSockets.get(i).isClosed()) {
                    crowd.remove(ownSockets.remove(i));
                }
            }
            Thread.sleep(load.reconnectAfterMs);
        }
        return null;
    }

    /** Sends requests, each on a new connection. */
    private Void requestUntilStopped() throws Exception {
        while (!stopped) {
            try (Socket socket = connected(listenPort, quote("Connection: close\r\n"))) {
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                if (answer.startsWith("HTTP/1.1 200")) {
                    served.incrementAndGet();
                } else {
                    unserved.add(answer.isEmpty() ? "closed without a response"
                            : answer.lines().findFirst().orElseThrow());
                }
            } catch (IOException e) {
                unserved.add(e.toString());
            }
            Thread.sleep(20);
        }
        return null;
    }

    /** Returns the number of open descriptors of all processes together. */
    private int openDescriptors() throws IOException {
        int sum = 0;
        for (SidecarProcess one : programs) {
            try (Stream<Path> open = Files.list(Path.of("/proc/" + one.process.pid() + "/fd"))) {
                sum += (int) open.count();
            } catch (NoSuchFileException | UncheckedIOException e) {
                assertThat(one).as("exited process").isNotSameAs(program);
            }
        }
        return sum;
    }

    /** Tracks the highest number of open descriptors until the time given, ns. */
    private void trackDescriptors(long until) throws Exception {
        while (System.nanoTime() < until) {
            mostDescriptors = Math.max(mostDescriptors, openDescriptors());
            Thread.sleep(5);
        }
    }

    private int managementStatus(String path) throws IOException {
        return program.managementStatus("GET " + path);
    }

    private void configure() throws IOException {
        hosts = new ScriptedServers(HOSTS, (host, head) -> answer(host));
        discovery = new ScriptedDiscovery(hosts.ports(), false);
        text = Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:7070", "127.0.0.1:" + listenPort)
                .replace("127.0.0.1:8500", discovery.address())
                .replace("\"sockets\": 1024", "\"sockets\": " + DESCRIPTORS)
                .replaceAll("\"quota_per_s\": [0-9.]+", "\"quota_per_s\": 2000.0")
                .replace("\"ask_within_us\": 10000000", "\"drain_grace_us\": 250000, \"ask_within_us\": 30000000")
                .replaceAll("(?s)\"known\": \\{.*?]},", "\"known\": " + discovery.wholeList() + ",");
        config = Files.writeString(folder.resolve("config.json"), text);
    }

    /** Starts a process, which management calls go to from now on. */
    private SidecarProcess start(ServerSocketChannel listeningSocket) throws Exception {
        managementPort = SidecarProcess.freePort();
        program = new SidecarProcess(config, listeningSocket, managementPort, false,
                List.of("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$@\"", "sh"));
        programs.add(program);
        return program.awaitReady();
    }

    private void fillDescriptors(int open) throws Exception {
        SidecarProcess.await("sidecar watches discovery", discovery::isWatched);
        List<Supplier<String>> texts = List.of(() -> "", () -> "GET /quote/1 HTTP/1.1\r\nX-Caller: sh",
                () -> quote(""));
        for (int i = 0; i < 4; i++) {
            threads.submit(() -> keepClientsOpen(IDLE_CLIENTS / 4, () -> listenPort, texts));
        }
        threads.submit(() -> keepClientsOpen(MANAGEMENT_CLIENTS, () -> managementPort,
                List.of(() -> "", () -> "GET /-/rea")));
        for (int i = 0; i < REQUESTING_CLIENTS; i++) {
            threads.submit(this::requestUntilStopped);
        }
        SidecarProcess.await("descriptors filled", () -> crowd.size() >= (IDLE_CLIENTS + MANAGEMENT_CLIENTS) * 3 / 4
                && openDescriptors() > open);
    }

    /** Returns discovery with a drain of the most used host, and checks that the drain holds in time. */
    private void returnAndCheckDrain() throws Exception {
        int drained = 0;
        for (int i = 0; i < HOSTS; i++) {
            drained = requestCounts[i].get() > requestCounts[drained].get() ? i : drained;
        }
        int servedBefore = served.get();
        long returnedNs = discovery.restoreWithDraining(drained);
        trackDescriptors(returnedNs + (DRAIN_BOUND_MS + LATE_REQUEST_WATCH_MS) * NS_PER_MS);
        assertThat((discovery.informedNs() - returnedNs) / NS_PER_MS).as("informed, ms after the return")
                .isLessThan(6_000);
        assertThat((lastNs[drained].get() - returnedNs) / NS_PER_MS).as("last request to the drained host, ms")
                .isLessThan(DRAIN_BOUND_MS);
        if (load == Load.RESTING && programs.size() == 1) {
            assertThat(served.get() - servedBefore).as("served since the return").isGreaterThan(100);
        }
        // With clients that reconnect at once, or two processes' clients, the time this takes depends on the machine.
        SidecarProcess.await("100 served since the return", () -> served.get() - servedBefore > 100);
        assertThat(unserved.size()).as("not served: %s", unserved).isLessThanOrEqualTo(served.get() / 10);
        assertThat(managementStatus("/-/ready")).isEqualTo(200);
        assertThat(mostDescriptors).as("most descriptors open, of %s", DESCRIPTORS).isLessThan(DESCRIPTORS);
        assertThat(programs).flatExtracting(one -> one.log).noneMatch(line -> line.contains("Too many open files")
                || line.contains("could not be accepted"));
    }

    private enum Load {
        RESTING(250, false, false), AT_ONCE(0, false, false), AT_ONCE_WITH_REPORTS(0, true, true);

        private final long reconnectAfterMs;
        private final boolean oneTenant;
        private final boolean hostsReportLoad;

        Load(long reconnectAfterMs, boolean oneTenant, boolean hostsReportLoad) {
            this.reconnectAfterMs = reconnectAfterMs;
            this.oneTenant = oneTenant;
            this.hostsReportLoad = hostsReportLoad;
        }
    }

    @ParameterizedTest
    @EnumSource
    void theProcessKeepsTheDescriptorsItNeedsUnderACrowdOfClients(Load of) throws Exception {
        load = of;
        listenPort = SidecarProcess.freePort();
        configure();
        start(null);
        fillDescriptors(DESCRIPTORS / 2);
        discovery.refuse();
        trackDescriptors(System.nanoTime() + REFUSED_MS * NS_PER_MS);
        assertThat(managementStatus("/-/metrics")).isEqualTo(200);
        Files.writeString(config, text.replace("\"send_cap\": 3", "\"send_cap\": 4"));
        program.signal("HUP");
        program.awaitLog("read again");
        returnAndCheckDrain();
    }

    /** Both processes together have to stay within the limit. */
    @Test
    void aSuccessorHasTheDescriptorsItNeedsUnderACrowdOfClients() throws Exception {
        load = Load.RESTING;
        try (ServerSocketChannel listeningSocket = SidecarProcess.platformSocket()) {
            listenPort = ((InetSocketAddress) listeningSocket.getLocalAddress()).getPort();
            configure();
            SidecarProcess old = start(listeningSocket);
            fillDescriptors(DESCRIPTORS * 3 / 8);      // of the half that one process may use
            discovery.refuse();
            int servedBefore = served.get();
            long begunNs = System.nanoTime();
            start(listeningSocket);
            assertThat((System.nanoTime() - begunNs) / NS_PER_MS).as("ready, ms after its start").isLessThan(10_000);
            assertThat(old.managementStatus("GET /-/ready")).isEqualTo(200);
            trackDescriptors(System.nanoTime() + OVERLAP_MS * NS_PER_MS);
            assertThat(managementStatus("/-/metrics")).isEqualTo(200);
            SidecarProcess.await("100 served with both", () -> served.get() - servedBefore > 100);
            old.signal("TERM");
            long sigtermNs = System.nanoTime();
            while (old.process.isAlive()) {
                trackDescriptors(System.nanoTime() + 10 * NS_PER_MS);
                assertThat((System.nanoTime() - sigtermNs) / NS_PER_MS).as("still running, ms after SIGTERM")
                        .isLessThan(SIGKILL_AFTER_MS);
            }
            trackDescriptors(sigtermNs + REFUSED_MS * NS_PER_MS);
            returnAndCheckDrain();
            assertThat(program.managementResponse("GET /-/metrics")).containsPattern("svc_relayed_total [1-9]");
        }
    }
}
