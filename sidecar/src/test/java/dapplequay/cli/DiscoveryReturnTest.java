package dapplequay.cli;

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
import java.util.concurrent.Future;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Each sidecar's discovery fails in another way, for longer than the back-off takes to reach its maximum. It becomes
 * reachable again with a draining host just after another call has failed or begun to hang. The drain has to hold
 * within 6 s of the return, without using the drain's grace.
 */
@Timeout(120)
class DiscoveryReturnTest {
    private static final int HOSTS = 4;
    private static final long NS_PER_MS = 1_000_000;
    private static final long INFORMED_WITHIN_MS = 6_000;
    /** The protocol's allowance of 50 ms, and 200 ms for a busy machine. */
    private static final long SLACK_MS = 50 + 200;
    /** For how long after the bound late requests are looked for. */
    private static final long LATE_REQUEST_WATCH_MS = 1_000;
    private static final int MIN_REQUESTS = 40;
    /** Failures after which a back-off that doubles from 1 s is over 6 s. */
    private static final int MANY_FAILURES = 5;
    private static final long REFUSED_MS = 9_000;

    @TempDir
    private static Path folder;
    private static final List<HttpServer> hosts = new ArrayList<>();
    private static final List<Integer> ports = new ArrayList<>();
    private static final List<SidecarCase> cases = new ArrayList<>();
    private static final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    private enum Fault { REFUSED, RESET, BUSY, RUBBISH, SILENT, RESET_THEN_SILENT, LOST_COUNT }

    private record Arrival(int host, long ns) { }

    /** A sidecar with its discovery, its load and its fault. */
    private static final class SidecarCase {
        private final Fault fault;
        private final String name;
        private final ServerSocketChannel listeningSocket = SidecarProcess.platformSocket();
        private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        private final QuoteLoad load;
        private final ScriptedDiscovery discovery;
        private final SidecarProcess program;
        private int host;
        private long returnedNs;

        SidecarCase(Fault fault, boolean pushed) throws Exception {
            this.fault = fault;
            name = fault + (pushed ? " of an agent" : "");
            discovery = new ScriptedDiscovery(ports, pushed);
            String text = Files.readString(Path.of("example/config.json"))
                    .replace("127.0.0.1:8500", discovery.address())
                    .replace("\"quota_per_s\": 20.0", "\"quota_per_s\": 2000.0")
                    .replace("\"on_request\"", pushed ? "\"pushed\"" : "\"on_request\"")
                    .replace("\"ask_within_us\": 10000000", "\"drain_grace_us\": 250000, \"ask_within_us\": 30000000")
                    .replaceAll("(?s)\"known\": \\{.*?]},", "\"known\": " + discovery.wholeList() + ",");
            program = new SidecarProcess(Files.writeString(folder.resolve(cases.size() + ".json"), text),
                    listeningSocket,
                    SidecarProcess.freePort());
            load = new QuoteLoad(listeningSocket, cases.size(), 15);
            cases.add(this);
        }

        /** Waits for a watch and for load, then injects the fault and drains the host with the most requests. */
        Void playFault() throws Exception {
            program.awaitReady();
            threads.submit(load::run);
            for (int i = 0; i < MANY_FAILURES; i++) {        // raises the version, so that restarted versions are lower
                discovery.setState(0, "SERVING");
            }
            SidecarProcess.await(name + " watches", discovery::isWatched);
            arrivals.clear();
            SidecarProcess.await(name + " serves", () -> arrivals.size() >= MIN_REQUESTS);
            int[] counts = new int[HOSTS];
            arrivals.forEach(arrival -> counts[arrival.host]++);
            for (int i = 0; i < HOSTS; i++) {
                host = counts[i] > counts[host] ? i : host;
            }
            load.served.clear();
            load.unserved.clear();
            injectFault();
            returnedNs = discovery.restoreWithDraining(host);
            SidecarProcess.await(name + ": late requests would have arrived",
                    () -> System.nanoTime() - returnedNs > (INFORMED_WITHIN_MS + SLACK_MS
                            + LATE_REQUEST_WATCH_MS) * NS_PER_MS);
            return null;
        }

        private void injectFault() throws Exception {
            switch (fault) {
                case REFUSED -> {
                    discovery.refuse();
                    Thread.sleep(REFUSED_MS);       // refused calls can't be counted
                }
                case SILENT -> awaitFailures(Mode.SILENT, 2);
                case RESET_THEN_SILENT -> {
                    awaitFailures(Mode.RESET, MANY_FAILURES);
                    awaitFailures(Mode.SILENT, 1);
                }
                case LOST_COUNT -> {
                    awaitFailures(Mode.RESET, 1);
                    discovery.restartVersions();
                }
                default -> awaitFailures(Mode.valueOf(fault.name()), MANY_FAILURES);
            }
        }

        /** Waits until {@code calls} more calls have failed; resets the open call if the next ones are to hang. */
        private void awaitFailures(Mode mode, int calls) throws Exception {
            int before = discovery.failures();
            discovery.setModes(mode == Mode.SILENT ? Mode.RESET : mode, mode);
            int openConnections = mode == Mode.SILENT && before == 0 ? 1 : 0;
            SidecarProcess.await(name + ": discovery calls have failed",
                    () -> discovery.failures() >= before + openConnections + calls
                    && (mode != Mode.SILENT || discovery.isHanging()));
        }

        void check(SoftAssertions softly) {
            long lastNs = arrivals.stream().filter(a -> a.host == host).mapToLong(Arrival::ns).max().orElse(0);
            softly.assertThat((discovery.informedNs() - returnedNs) / NS_PER_MS)
                    .as("%s: informed, ms after the return", name)
                    .isLessThan(INFORMED_WITHIN_MS);
            softly.assertThat((lastNs - returnedNs) / NS_PER_MS).as("%s: last request, ms after the return", name)
                    .isLessThan(INFORMED_WITHIN_MS + SLACK_MS);
            softly.assertThat(load.served).as("%s: served", name).hasSizeGreaterThan(MIN_REQUESTS);
            softly.assertThat(load.unserved).as("%s: not served", name)
                    .hasSizeLessThanOrEqualTo(load.served.size() / 50);
        }

        void close() throws IOException {
            load.stop();
            program.close();
            listeningSocket.close();
            discovery.close();
        }
    }

    private static void startHosts() throws IOException {
        for (int i = 0; i < HOSTS; i++) {
            int host = i;
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
            server.createContext("/quote/", exchange -> {
                String path = exchange.getRequestURI().getPath();
                cases.get(Integer.parseInt(path.substring("/quote/".length()))).arrivals
                        .add(new Arrival(host, System.nanoTime()));
                exchange.sendResponseHeaders(200, 4);
                exchange.getResponseBody().write(new byte[] {'d', 'o', 'n', 'e'});
                exchange.close();
            });
            server.setExecutor(threads);
            server.start();
            hosts.add(server);
            ports.add(server.getAddress().getPort());
        }
    }

    @AfterAll
    static void stopAll() throws IOException {
        for (SidecarCase sidecarCase : cases) {
            sidecarCase.close();
        }
        hosts.forEach(host -> host.stop(0));
    }

    @Test
    void aDrainTakesEffectInTimeOnceDiscoveryIsReachable() throws Exception {
        startHosts();
        for (Fault fault : Fault.values()) {
            new SidecarCase(fault, false);
        }
        new SidecarCase(Fault.SILENT, true);
        new SidecarCase(Fault.RESET, true);
        List<Future<Void>> plays = new ArrayList<>();
        for (SidecarCase sidecarCase : cases) {
            plays.add(threads.submit(sidecarCase::playFault));
        }
        for (Future<Void> playFault : plays) {
            playFault.get();
        }
        SoftAssertions softly = new SoftAssertions();
        cases.forEach(sidecarCase -> sidecarCase.check(softly));
        softly.assertAll();
    }
}
