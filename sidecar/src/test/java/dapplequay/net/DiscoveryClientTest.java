package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.Facade;
import dapplequay.facade.ListUpdate;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.management.RequestCounts;
import dapplequay.membership.ListCallTiming;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the client on real sockets with a clock that the test sets: while it stands still, no pause ends by itself.
 * Whenever the client reads the clock or logs a line, a test can make another event happen.
 */
@Timeout(60)
class DiscoveryClientTest {
    private static final int HOST_COUNT = 4;

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final Endpoints endpoints = new Endpoints(false);
    private final AtomicLong clock = new AtomicLong(System.nanoTime() / 1_000);
    private volatile Runnable onClockRead = () -> { };
    private volatile Consumer<String> onLogLine = line -> { };
    private final Logger logger = Logger.getLogger(DiscoveryClient.class.getName());
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            onLogLine.accept(line.getMessage());
        }

        @Override
        public void flush() { }

        @Override
        public void close() { }
    };
    private DiscoveryClient discoveryClient;
    private Thread clientThread;

    @BeforeEach
    void listen() {
        logger.addHandler(handler);
    }

    @AfterEach
    void closeAll() throws Exception {
        onClockRead = () -> { };
        onLogLine = line -> { };
        logger.removeHandler(handler);
        if (discoveryClient != null) {
            discoveryClient.end();
            clientThread.interrupt();
            clientThread.join();
        }
        for (AutoCloseable closeable : toClose) {
            closeable.close();
        }
    }

    private Host discovery(Host.Script script) throws IOException {
        Host host = new Host(script);
        toClose.add(host);
        return host;
    }

    /** Returns a discovery that never answers. */
    private Host silentDiscovery() throws IOException {
        CountDownLatch endless = new CountDownLatch(1);
        return discovery((head, seen) -> {
            endless.await();
            return null;
        });
    }

    private static InetSocketAddress at(Host host) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), host.port());
    }

    private static String target(int number, String state) {
        return "{\"uid\":\"s" + number + "\",\"endpoint\":\"127.0.0.1:" + (7_000 + number) + "\",\"az\":\"north\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}";
    }

    private static String list(long revision, boolean all, String... targets) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** Returns the list that the client starts with: all servers serve, at version 6. */
    private static String initialList() {
        String[] targets = new String[HOST_COUNT];
        for (int i = 0; i < HOST_COUNT; i++) {
            targets[i] = target(i, "SERVING");
        }
        return list(6, true, targets);
    }

    /** Starts a client with that discovery; the next call is due at once. */
    private void start(Host first, long graceUs) throws Exception {
        String text = Files.readString(Path.of("example/config.json"))
                .replace("\"ask_within_us\"", "\"drain_grace_us\": " + graceUs + ", \"ask_within_us\"");
        Setup setup = SettingsReader.of(((Map<?, ?>) Json.parse(text.getBytes())).get("settings"), "example");
        Facade facade = new Facade(setup, 7, clock::get, line -> { });
        Endpoints.EndpointUpdate known = Endpoints.parse(initialList().getBytes());
        endpoints.restore(known);
        facade.applyListUpdate(new ListUpdate(ListUpdate.Kind.RESTORED, known.listUpdate().entries()));
        facade.requestListNow();
        UpstreamPool upstreams = new UpstreamPool(endpoints, new DeadlineQueue(clock::get), () -> setup, 4,
                new RequestCounts(),
                new DiscoveryMetrics());
        ListCallTiming listClock = new ListCallTiming(() -> setup.settings().discovery(), new SplittableRandom(7));
        Sidecar.ListPersistence memory = new Sidecar.ListPersistence(true, list -> { });
        discoveryClient = new DiscoveryClient(at(first), endpoints, facade, upstreams, memory, listClock,
                () -> {
                    onClockRead.run();
                    return clock.get();
                }, new DiscoveryMetrics());
        clientThread = new Thread(discoveryClient, "discovery");
        clientThread.setDaemon(true);
        clientThread.start();
    }

    /** Starts a client with a long drain grace, and waits until it has logged that an answer left out most servers. */
    private void startWithMissingServers(Host first) throws Exception {
        CountDownLatch missingLogged = new CountDownLatch(1);
        onLogLine = line -> {
            if (line.startsWith("a list without")) {
                missingLogged.countDown();
            }
        };
        start(first, 200_000_000);
        missingLogged.await();
    }

    private static String query(Host.ReceivedRequest seen) {
        return seen.head().startLine[1];
    }

    /**
     * The change of address was lost, and the new one called only after the pause that followed the old one's failure.
     */
    @Test
    void newAddressRightAfterAFailedCallIsCalledAtOnce() throws Exception {
        Host oldDiscovery = discovery((head, seen) -> null);
        Host newDiscovery = silentDiscovery();
        onLogLine = line -> {
            if (line.startsWith("discovery call failed")) {
                discoveryClient.moveTo(at(newDiscovery));   // before the decision module is told of the failure
            }
        };
        start(oldDiscovery, 250_000);
        assertThat(query(newDiscovery.next())).isEqualTo("/v1/servers");
        assertThat(oldDiscovery.received).hasSize(1);
    }

    /**
     * The address is the old one again when the client checks, but the call was closed and so looked like a failure.
     */
    @Test
    void addressThatReturnsIsAskedAtOnceForTheWholeList() throws Exception {
        Host first = silentDiscovery();
        Host second = silentDiscovery();
        start(first, 250_000);
        assertThat(query(first.next())).contains("after=6");
        synchronized (discoveryClient) {   // so that it checks only after both moves
            discoveryClient.moveTo(at(second));
            discoveryClient.moveTo(at(first));
        }
        assertThat(query(first.next())).isEqualTo("/v1/servers");
        assertThat(second.received).isEmpty();
    }

    /** The move may come while the client connects, writes, reads, applies an answer or pauses between two calls. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void newAddressIsCalledAtOnceWheneverItIsConfigured(int moveAtReading) throws Exception {
        AtomicInteger version = new AtomicInteger(6);
        Host oldDiscovery = discovery((head, seen) -> Host.ok(list(version.incrementAndGet(), false)));
        Host newDiscovery = silentDiscovery();
        AtomicInteger clockReadings = new AtomicInteger();
        onClockRead = () -> {
            if (clockReadings.incrementAndGet() == moveAtReading) {
                discoveryClient.moveTo(at(newDiscovery));
            }
        };
        start(oldDiscovery, 250_000);
        // Also if it comes before the first call: the known version may be of another sequence than the new address's.
        assertThat(query(newDiscovery.next())).isEqualTo("/v1/servers");
    }

    /** Most of a minute's pause is left, but the deadline of the servers that the old address left out still holds. */
    @Test
    void newAddressEndsThePause() throws Exception {
        Host oldDiscovery = discovery((head, seen) -> Host.ok(list(7, true, target(0, "DRAINING"))));
        Host newDiscovery = silentDiscovery();
        startWithMissingServers(oldDiscovery);
        discoveryClient.moveTo(at(newDiscovery));
        newDiscovery.next();
        assertThat(endpoints.size()).as("no server is removed").isEqualTo(HOST_COUNT);
        assertThat(endpoints.endpointOf("s0")).as("the drained server takes no requests").isNull();
    }

    /**
     * The move may come at any time between the first answer that leaves out servers and the second answer. It delays
     * no deadline and brings no server back.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 6, 8, 10, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void drainDeadlineHoldsWheneverTheAddressChanges(int moveAtReading) throws Exception {
        Host oldDiscovery = discovery((head, seen) -> Host.ok(list(7, true, target(0, "DRAINING"))));
        Host newDiscovery = silentDiscovery();
        AtomicInteger clockReadings = new AtomicInteger(-1);   // since the first answer that leaves out servers
        onLogLine = line -> {
            if (line.startsWith("a list without") && clockReadings.get() < 0) {
                clockReadings.set(0);
            }
        };
        onClockRead = () -> {
            clock.addAndGet(5_000);
            if (clockReadings.get() >= 0 && clockReadings.incrementAndGet() == moveAtReading) {
                discoveryClient.moveTo(at(newDiscovery));
            }
        };
        start(oldDiscovery, 250_000);
        newDiscovery.next();
        for (int i = 0; i < HOST_COUNT; i++) {
            assertThat(endpoints.endpointForSend("s" + i, clock.get() + 100_000))
                    .as("s%d takes no requests after 100 ms of the grace", i).isNull();
        }
    }

    /** Guards against requests to a draining server whose drain was announced on a call that SIGHUP had closed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answerToASupersededCallIsApplied(boolean supersededByMove) throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        Host oldDiscovery = discovery((head, seen) -> {
            if (query(seen).contains("after=6&")) {
                mayAnswer.await();
                return Host.ok(list(7, false, target(0, "DRAINING"), target(1, "DELETED"), target(9, "SERVING")));
            }
            new CountDownLatch(1).await();
            return null;
        });
        Host newDiscovery = silentDiscovery();
        start(oldDiscovery, 250_000);
        oldDiscovery.next();
        if (supersededByMove) {
            discoveryClient.moveTo(at(newDiscovery));
            newDiscovery.next();
        } else {
            clock.addAndGet(ListCallTiming.LONGEST_WAIT_US + ListCallTiming.WATCH_MISSED_TOLD_US);
            onClockRead = () -> clock.addAndGet(1_000);
            discoveryClient.moveTo(at(oldDiscovery));   // not a move, but makes the client read its clock
            assertThat(query(oldDiscovery.next())).contains("after=6&");
        }
        mayAnswer.countDown();
        while (endpoints.endpointOf("s0") != null || endpoints.endpointOf("s1") != null) {
            Thread.onSpinWait();
        }
        assertThat(endpoints.endpointOf("s2")).isNotNull();
        assertThat(endpoints.endpointOf("s9") != null).as("a new server counts only from the current address")
                .isEqualTo(!supersededByMove);
        assertThat(endpoints.nextRequest(0).after()).isEqualTo(supersededByMove ? -1 : 7);
    }

    /** Each superseded call holds a descriptor; the oldest ones are closed. */
    @Test
    void supersededCallsAreLimitedAndTimeOut() throws Exception {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < DiscoveryClient.MAX_SUPERSEDED_CALLS + 3; i++) {
            hosts.add(silentDiscovery());
        }
        start(hosts.get(0), 250_000);
        hosts.get(0).next();
        for (Host host : hosts.subList(1, hosts.size())) {
            clock.addAndGet(ListCallTiming.NEW_ADDRESS_TOLD_US);
            discoveryClient.moveTo(at(host));
            host.next();
        }
        assertThat(discoveryClient.supersededCount()).isEqualTo(DiscoveryClient.MAX_SUPERSEDED_CALLS);
        discoveryClient.tick(clock.get() + DiscoveryClient.SUPERSEDED_READ_US);
        assertThat(discoveryClient.supersededCount()).isZero();
    }

    @Test
    void endInterruptsThePauseAfterMissingServers() throws Exception {
        Host oldDiscovery = discovery((head, seen) -> Host.ok(list(7, true)));
        startWithMissingServers(oldDiscovery);
        discoveryClient.end();
        clientThread.join(20_000);
        assertThat(clientThread.isAlive()).isFalse();
    }

    private void followSystemClock(AtomicLong offsetUs) {
        onClockRead = () -> clock.set(System.nanoTime() / 1_000 + offsetUs.get());
    }

    /**
     * Discovery counts versions from 1 again: removals count step by step, servers that come back have to wait, and
     * changes are followed.
     */
    @Test
    void discoveryWhoseVersionsRestartIsFollowed() throws Exception {
        CountDownLatch missedOnce = new CountDownLatch(1);
        CountDownLatch change = new CountDownLatch(1);
        CountDownLatch endless = new CountDownLatch(1);
        AtomicInteger wholeListCalls = new AtomicInteger();
        String whole = list(2, true, target(0, "DRAINING"), target(2, "SERVING"), target(3, "SERVING"),
                target(9, "SERVING"));
        followSystemClock(new AtomicLong());
        Host restarted = discovery((head, seen) -> {
            String query = query(seen);
            if (query.contains("after=6&")) {
                return Host.ok(list(2, false));
            } else if (query.contains("after=2&")) {
                change.await();
                return Host.ok(list(3, false, target(2, "DELETED"), target(8, "SERVING")));
            } else if (query.contains("after=3&")) {
                endless.await();
            } else if (wholeListCalls.incrementAndGet() == 2) {
                missedOnce.await();
            }
            return Host.ok(whole);
        });
        start(restarted, 250_000);
        assertThat(query(restarted.next())).contains("after=6&");
        assertThat(query(restarted.next())).isEqualTo("/v1/servers");
        assertThat(query(restarted.next())).isEqualTo("/v1/servers");
        assertThat(endpoints.endpointOf("s0")).as("a drain counts at once").isNull();
        assertThat(endpoints.endpointForSend("s1", clock.get())).as("missing once, after its deadline").isNull();
        missedOnce.countDown();
        assertThat(query(restarted.next())).contains("after=2&");
        assertThat(endpoints.endpointOf("s1")).as("missing in a second answer").isNull();
        assertThat(endpoints.endpointOf("s9")).as("a server that comes back has to wait").isNull();
        assertThat(endpoints.endpointOf("s2")).isNotNull();
        change.countDown();
        assertThat(query(restarted.next())).contains("after=3&");
        assertThat(endpoints.endpointOf("s2")).isNull();
        assertThat(endpoints.endpointOf("s8")).isNull();
        assertThat(endpoints.endpointOf("s3")).isNotNull();
        assertThat(endpoints.revision()).as("version to keep, so that older lists are refused after a restart, too")
                .isEqualTo(6);
    }

    /**
     * Servers that had to wait count after half a minute; if a newer version comes first, the whole list is asked for.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void serversOfARestartedDiscoveryCountInTheEnd(boolean newerVersionComes) throws Exception {
        CountDownLatch endless = new CountDownLatch(1);
        AtomicLong offsetUs = new AtomicLong();
        AtomicInteger followUpCalls = new AtomicInteger();
        followSystemClock(offsetUs);
        Host restarted = discovery((head, seen) -> {
            String query = query(seen);
            if (query.contains("after=2&") && followUpCalls.incrementAndGet() == 1) {
                offsetUs.addAndGet(newerVersionComes ? 0 : 31_000_000);
                return Host.ok(list(newerVersionComes ? 7 : 2, false));
            }
            if (followUpCalls.get() > 0 && query.contains("after=")) {
                endless.await();
            }
            return Host.ok(list(newerVersionComes && followUpCalls.get() > 0 ? 7 : 2, true, target(0, "SERVING"),
                    target(1, "SERVING"), target(2, "SERVING"), target(9, "SERVING")));
        });
        start(restarted, 250_000);
        while (endpoints.endpointOf("s9") == null) {
            Thread.onSpinWait();
        }
        assertThat(endpoints.revision()).isEqualTo(newerVersionComes ? 7 : 2);
        assertThat(endpoints.endpointOf("s3")).isNull();
    }
}
