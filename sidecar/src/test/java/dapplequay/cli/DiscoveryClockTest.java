package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import dapplequay.cli.ScriptedDiscovery.Mode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.LongStream;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Discovery drains a host while the sidecars' watches are broken. The drain counts after a fixed time, without waiting
 * for discovery's answer to arrive. Each sidecar is under load, has its own discovery, and its most used host drains.
 */
@Timeout(120)
class DiscoveryClockTest {
    private static final int HOSTS = 4;
    private static final long NS_PER_MS = 1_000_000;
    /** The protocol's allowance on top of the drain's grace, ms. */
    private static final long ALLOWANCE_MS = 50;
    /** For a busy machine, ms; less than a call that keeps waiting, or a back-off, takes. */
    private static final long SLACK_MS = 300;
    /** For how long after the bound late requests are looked for. */
    private static final long LATE_REQUEST_WATCH_MS = 1_200;
    private static final long INFORMED_AFTER_MOVE_MS = 4_000;
    private static final int MIN_REQUESTS = 40;

    @TempDir
    private static Path folder;
    private static final List<HttpServer> hosts = new ArrayList<>();
    private static final List<Integer> ports = new ArrayList<>();
    private static final List<ScriptedDiscovery> discoveries = new ArrayList<>();
    private static final List<SidecarCase> cases = new ArrayList<>();
    private static final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    enum Fault {
        SILENT_WATCH, SILENT_TWICE, DRIPPING_ANSWER, HALF_AN_ANSWER, RESET_THEN_REFUSED, DOWN_FOR_A_WHILE,
        MOVED_TO_A_SILENT_ONE
    }

    private record Arrival(int host, long ns) { }

    /** A sidecar with its discovery and its load. */
    private static final class SidecarCase {
        private final String name;
        private final boolean pushed;
        private final long graceMs;
        private final Path config;
        private final ServerSocketChannel listeningSocket = SidecarProcess.platformSocket();
        private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        private final QuoteLoad load;
        private final SidecarProcess program;
        private ScriptedDiscovery discovery;
        private int host;
        private long drainedNs;

        SidecarCase(int number, boolean pushed, long graceMs, long askWithinMs) throws Exception {
            this.pushed = pushed;
            this.graceMs = graceMs;
            name = "sidecar " + number + (pushed ? ", pushed" : ", on request");
            discovery = discovery();
            String text = Files.readString(Path.of("example/config.json"))
                    .replace("127.0.0.1:8500", discovery.address())
                    .replace("\"balancers\": 1", "\"balancers\": 4")
                    .replace("\"position\": 0", "\"position\": " + number)
                    .replace("\"quota_per_s\": 20.0", "\"quota_per_s\": 2000.0")
                    .replace("\"on_request\"", pushed ? "\"pushed\"" : "\"on_request\"")
                    .replace("\"ask_within_us\": 10000000",
                            "\"drain_grace_us\": " + graceMs + "000, \"ask_within_us\": " + askWithinMs + "000")
                    .replaceAll("(?s)\"known\": \\{.*?]},", "\"known\": " + discovery.wholeList() + ",");
            config = Files.writeString(folder.resolve("config" + number + ".json"), text);
            program = new SidecarProcess(config, listeningSocket, SidecarProcess.freePort());
            load = new QuoteLoad(listeningSocket, cases.size(), 10);
            cases.add(this);
        }

        private ScriptedDiscovery discovery() throws IOException {
            discoveries.add(new ScriptedDiscovery(ports, pushed));
            return discoveries.get(discoveries.size() - 1);
        }

        /** Waits for a watch and for load, and selects the host with the most requests to drain. */
        void selectHostToDrain() throws Exception {
            SidecarProcess.await(name + " watches", () -> discovery.isWatched());
            arrivals.clear();
            SidecarProcess.await(name + " serves", () -> arrivals.size() >= MIN_REQUESTS);
            int[] counts = new int[HOSTS];
            arrivals.forEach(arrival -> counts[arrival.host]++);
            for (int i = 0; i < HOSTS; i++) {
                host = counts[i] > counts[host] ? i : host;
            }
            arrivals.clear();
            load.served.clear();
            load.unserved.clear();
        }

        void drain() {
            drainedNs = System.nanoTime();
            discovery.setState(host, "DRAINING");
        }

        /** Moves to another discovery that leaves its first call unanswered; its list counts 4 s after the signal. */
        void moveDiscovery() throws Exception {
            ScriptedDiscovery next = discovery();
            next.silenceNext(1);
            Files.writeString(config, Files.readString(config).replace(discovery.address(), next.address()));
            discovery = next;
            drain();
            next.informedNoLaterThan(drainedNs + INFORMED_AFTER_MOVE_MS * NS_PER_MS);
            program.signal("HUP");
        }

        long allowedMs() {
            return graceMs + ALLOWANCE_MS + SLACK_MS;
        }

        boolean isOver() {
            long informedNs = discovery.informedNs();
            return informedNs != Long.MAX_VALUE
                    && System.nanoTime() - informedNs > (allowedMs() + LATE_REQUEST_WATCH_MS) * NS_PER_MS;
        }

        private LongStream arrivalsAfterDrain() {
            return arrivals.stream().filter(a -> a.host == host && a.ns > drainedNs).mapToLong(Arrival::ns);
        }

        void check(SoftAssertions softly) {
            long informedNs = discovery.informedNs();
            String description = name + ", informed after " + (informedNs - drainedNs) / NS_PER_MS + " ms";
            softly.assertThat(arrivalsAfterDrain().filter(ns -> ns < informedNs).count())
                    .as("%s: requests before it was informed", description).isPositive();
            softly.assertThat((arrivalsAfterDrain().max().orElse(informedNs) - informedNs) / NS_PER_MS)
                    .as("%s: last request, ms after it was informed", description)
                    .isLessThanOrEqualTo(allowedMs());
            softly.assertThat(load.served).as("%s: served", description).hasSizeGreaterThan(MIN_REQUESTS);
            softly.assertThat(load.unserved).as("%s: not served", description)
                    .hasSizeLessThanOrEqualTo(load.served.size() / 50);
        }

        void restoreDiscovery() throws Exception {
            discovery.setState(host, "SERVING");
            discovery.clearFaults();
        }

        void close() throws IOException {
            load.stop();
            program.close();
            listeningSocket.close();
        }
    }

    @BeforeAll
    static void startAll() throws Exception {
        for (int i = 0; i < HOSTS; i++) {
            int host = i;
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
            server.createContext("/quote/", exchange -> {
                String path = exchange.getRequestURI().getPath();
                cases.get(path.charAt(path.length() - 1) - '0').arrivals.add(new Arrival(host, System.nanoTime()));
                exchange.sendResponseHeaders(200, 4);
                exchange.getResponseBody().write(new byte[] {'d', 'o', 'n', 'e'});
                exchange.close();
            });
            server.setExecutor(threads);
            server.start();
            hosts.add(server);
            ports.add(server.getAddress().getPort());
        }
        new SidecarCase(0, false, 100, 3_000);
        new SidecarCase(1, true, 300, 10_000);
        new SidecarCase(2, false, 120, 4_000);
        new SidecarCase(3, true, 400, 3_000);
        for (SidecarCase sidecarCase : cases) {
            sidecarCase.program.awaitReady();
            threads.submit(sidecarCase.load::run);
        }
    }

    @AfterAll
    static void stopAll() throws IOException {
        for (SidecarCase sidecarCase : cases) {
            sidecarCase.close();
        }
        for (ScriptedDiscovery discovery : discoveries) {
            discovery.close();
        }
        hosts.forEach(host -> host.stop(0));
    }

    @ParameterizedTest
    @EnumSource
    void aDrainTakesEffectInTimeThoughTheWatchIsBroken(Fault fault) throws Exception {
        for (SidecarCase sidecarCase : cases) {
            sidecarCase.selectHostToDrain();
        }
        try {
            breakAndDrain(fault);
            SidecarProcess.await("late requests would have arrived", () ->
                    cases.stream().allMatch(SidecarCase::isOver));
            SoftAssertions softly = new SoftAssertions();
            cases.forEach(sidecarCase -> sidecarCase.check(softly));
            softly.assertAll();
        } finally {
            for (SidecarCase sidecarCase : cases) {
                sidecarCase.restoreDiscovery();
            }
        }
    }

    private void breakAndDrain(Fault fault) throws Exception {
        switch (fault) {
            case SILENT_WATCH -> setModes(Mode.SILENT, Mode.ANSWER);
            case SILENT_TWICE -> {
                cases.forEach(sidecarCase -> sidecarCase.discovery.silenceNext(1));
                setModes(Mode.SILENT, Mode.ANSWER);
            }
            case DRIPPING_ANSWER -> setModes(Mode.DRIP, Mode.ANSWER);
            case HALF_AN_ANSWER -> setModes(Mode.HALF, Mode.ANSWER);
            case DOWN_FOR_A_WHILE -> setModes(Mode.SILENT, Mode.SILENT);
            case RESET_THEN_REFUSED -> {
                for (SidecarCase sidecarCase : cases) {
                    sidecarCase.discovery.refuse();
                }
            }
            case MOVED_TO_A_SILENT_ONE -> {
                for (SidecarCase sidecarCase : cases) {
                    sidecarCase.moveDiscovery();
                }
                return;
            }
            default -> throw new IllegalArgumentException(fault.name());
        }
        cases.forEach(SidecarCase::drain);
        if (fault == Fault.RESET_THEN_REFUSED || fault == Fault.DOWN_FOR_A_WHILE) {
            Thread.sleep(2_500);        // longer than a call to an agent or a back-off lasts
            for (SidecarCase sidecarCase : cases) {
                sidecarCase.discovery.restore();
            }
        }
    }

    private static void setModes(Mode openConnections, Mode newConnections) {
        cases.forEach(sidecarCase -> sidecarCase.discovery.setModes(openConnections, newConnections));
    }
}
