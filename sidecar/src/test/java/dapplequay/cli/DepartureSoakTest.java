package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.net.Host;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against attempts that begin for clients that have gone, while bursts of new clients keep each connection
 * waiting to be accepted and read. {@code -Ddeparture.seeds=50} runs that many seeds, {@code -Ddeparture.first=N}
 * begins with seed N, {@code -Ddeparture.bursts=N} plays that many bursts a seed.
 */
@Timeout(600)
class DepartureSoakTest {
    private static final int SEEDS = Integer.getInteger("departure.seeds", 3);
    private static final int FIRST = Integer.getInteger("departure.first", 1);
    private static final int BURSTS = Integer.getInteger("departure.bursts", 12);
    private static final int SIDECARS = 2;
    private static final int SERVERS = 4;
    private static final int SERVICE_MS = 20;
    private static final int[] BURST_CLIENTS = {100, 300};
    private static final int MAX_STAY_MS = 40;
    /** An attempt may begin for this long after its client has closed. */
    private static final long ALLOWED_MS = 100;
    /** How much later than the close of the last client its attempt could still arrive and be judged. */
    private static final long LATE_ARRIVAL_WATCH_MS = 3_000;

    private enum Kind { SENDS_HALF_A_HEAD, ASKS_AND_STAYS, ASKS_AND_LEAVES }

    private record Arrival(String key, Instant at) { }

    @TempDir
    private Path folder;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Map<String, Instant> closedAt = new ConcurrentHashMap<>();
    private final Map<String, String> callIds = new ConcurrentHashMap<>();
    private final AtomicInteger keys = new AtomicInteger();

    static LongStream seeds() {
        return LongStream.range(FIRST, FIRST + SEEDS);
    }

    private SidecarProcess sidecar(int number, int port, List<Integer> servers) throws Exception {
        String text = ExampleConfig.of(port, servers).replace("\"balancers\": 1", "\"balancers\": " + SIDECARS);
        Path config = Files.writeString(folder.resolve(number + ".json"), text);
        return new SidecarProcess(config, null, SidecarProcess.freePort(), false, List.of(),
                List.of("--log", "FINE")).awaitReady();
    }

    /** Plays one client on the calling thread; returns once it has closed its connection. */
    private void playClient(int port, Kind kind, int stayMs, CountDownLatch burstOver) throws Exception {
        int number = keys.incrementAndGet();
        String key = "k" + number;
        callIds.put(key, Integer.toHexString(number));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            String request = "POST /pay/x HTTP/1.1\r\nX-Call-Id: " + callIds.get(key)
                    + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 900\r\n"
                    + "Idempotency-Key: " + key + "\r\nContent-Length: 0\r\n\r\n";
            boolean isHalf = kind == Kind.SENDS_HALF_A_HEAD;
            socket.getOutputStream().write((isHalf ? request.substring(0, request.length() / 2) : request)
                    .getBytes(StandardCharsets.ISO_8859_1));
            if (kind == Kind.ASKS_AND_LEAVES) {
                Thread.sleep(stayMs);
            } else {
                burstOver.await(2, TimeUnit.SECONDS);
            }
        } finally {
            if (kind == Kind.ASKS_AND_LEAVES) {
                closedAt.put(key, Instant.now());
            }
        }
    }

    private void playBurst(List<Integer> ports, Random random, CountDownLatch burstOver) {
        int clients = BURST_CLIENTS[random.nextInt(BURST_CLIENTS.length)];
        for (int i = 0; i < clients; i++) {
            int port = ports.get(i % ports.size());
            Kind kind = Kind.values()[i % Kind.values().length];
            int stayMs = random.nextInt(MAX_STAY_MS + 1);
            Host.daemon(() -> playClient(port, kind, stayMs, burstOver));
        }
    }

    /**
     * Returns the attempts that began too late. A server may record an arrival later than it was written; when it was
     * written at the latest is in the sidecar's log.
     */
    private List<String> lateAttempts(List<SidecarProcess> sidecars) {
        List<String> late = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            Instant closed = closedAt.get(arrival.key);
            if (closed == null || arrival.at.isBefore(closed.plusMillis(ALLOWED_MS))) {
                continue;
            }
            List<String> logOfRequest = sidecars.stream()
                    .flatMap(sidecar -> sidecar.logOfRequest(callIds.get(arrival.key)).stream()).toList();
            if (SidecarProcess.isWrittenAfter(closed.plusMillis(ALLOWED_MS), logOfRequest)) {
                late.add("closed " + closed + ", arrived " + arrival.at + "\n" + String.join("\n", logOfRequest));
            }
        }
        return late;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noAttemptBeginsForAClientThatHasGone(long seed) throws Exception {
        Random random = new Random(seed);
        List<SidecarProcess> sidecars = new ArrayList<>();
        try (ScriptedServers servers = new ScriptedServers(SERVERS, (server, head) -> {
            arrivals.add(new Arrival(head.get("Idempotency-Key"), Instant.now()));
            Thread.sleep(SERVICE_MS);
            return "";
        })) {
            List<Integer> ports = new ArrayList<>();
            for (int i = 0; i < SIDECARS; i++) {
                ports.add(SidecarProcess.freePort());
                sidecars.add(sidecar(i, ports.get(i), servers.ports()));
            }
            for (int i = 0; i < BURSTS; i++) {
                CountDownLatch burstOver = new CountDownLatch(1);
                playBurst(ports, random, burstOver);
                Thread.sleep(300 + random.nextInt(400));
                burstOver.countDown();
            }
            Thread.sleep(LATE_ARRIVAL_WATCH_MS);
            List<String> late = lateAttempts(sidecars);
            long sentOn = arrivals.stream()
                    .filter(a -> closedAt.containsKey(a.key) && a.at.isAfter(closedAt.get(a.key))).count();
            System.out.println("seed " + seed + ": left " + closedAt.size() + ", arrived after the close " + sentOn
                    + ", late " + late.size());
            assertThat(late).as("attempts that began for clients that had gone").isEmpty();
            assertThat(arrivals).isNotEmpty();
        } finally {
            sidecars.forEach(SidecarProcess::close);
        }
    }
}
