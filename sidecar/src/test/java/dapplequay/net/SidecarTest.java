package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.ClosesWhatItOpened;
import dapplequay.lifecycle.ShutdownSchedule;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A sidecar on real sockets with scripted hosts, a scripted discovery service and clients. */
@Timeout(60)
class SidecarTest extends ClosesWhatItOpened {
    private static final AtomicInteger CALLS = new AtomicInteger();

    private final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
    private int sockets = 1024;
    private boolean oneCell;
    private String extraSettings = "";
    private boolean isManaged;
    private String configuration;
    private String known;
    private InetSocketAddress discoveryAddress;
    private long connIdleUs = 30_000_000;

    private Host host(Host.Script script) throws IOException {
        return open(new Host(script));
    }

    private String target(int number, int port, String state) {
        return "{\"uid\":\"s" + number + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"north\",\"pod_group\":"
                + (oneCell ? 0 : number) + ",\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}";
    }

    private static String list(boolean all, String... targets) {
        return "{\"rev\":5,\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** Starts a sidecar that knows the servers s0, s1, ... at these ports. */
    private Sidecar sidecar(int... ports) throws IOException {
        String[] targets = new String[ports.length];
        for (int i = 0; i < ports.length; i++) {
            targets[i] = target(i, ports[i], "SERVING");
        }
        Host discovery = host((head, request) -> Host.ok(lists.take()));
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("\"conn_idle_us\": \\d+", "\"conn_idle_us\": " + connIdleUs)
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000")
                .replace("\"balancers\":", extraSettings + "\"balancers\":");
        configuration = text;
        known = list(true, targets);
        discoveryAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), discovery.port());
        Sidecar sidecar = new Sidecar(options(text));
        sidecar.start();
        return sidecar;
    }

    private Sidecar.Options options(String text) throws IOException {
        Map<?, ?> example = (Map<?, ?>) Json.parse(text.getBytes());
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new Sidecar.Options(any, isManaged ? any : null, discoveryAddress, 7, 1, sockets, 192,
                Json.parse(known.getBytes()), SettingsReader.of(example.get("settings"), "example"), false);
    }

    private Host.Client client(Sidecar sidecar) throws IOException {
        return open(new Host.Client(sidecar.address()));
    }

    private static String pay(int id, int budgetMs, String body) {
        return "POST /pay/x?y=z HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: "
                + String.format("%014x%02x", CALLS.incrementAndGet(), id) + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: "
                + budgetMs + "\r\nIdempotency-Key: k" + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void requestAndAnswerPassUnchanged() throws Exception {
        Host host = host((head, request) -> Host.ok("done", "X-Load-Report: inflight=1,queue=0\r\n"));
        Host.Client client = client(sidecar(host.port()));
        client.send("GET /healthz HTTP/1.1\r\n\r\n");
        assertThat(client.answer().status()).isEqualTo(200);
        String call = pay(1, 900, "abc");
        client.send(call);
        Host.ReceivedRequest request = host.next();
        assertThat(request.head().startLine).containsExactly("POST", "/pay/x?y=z", "HTTP/1.1");
        assertThat(call).contains("X-Call-Id: " + request.head().get("X-Call-Id") + "\r\n");
        assertThat(request.head().get("Idempotency-Key")).isEqualTo("k1");
        assertThat(Integer.parseInt(request.head().get("X-Budget-Ms"))).isBetween(1, 900);
        assertThat(request.body()).isEqualTo("abc");
        Host.Answer answer = client.answer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("done");
    }

    @ParameterizedTest
    @CsvSource({"X-Budget-Ms: 900,X-Budget-Ms: x,400", "X-Budget-Ms: 900,X-Budget-Ms: 0,400",
        "X-Budget-Ms: 900,A: b,400", "X-Call-Id: ,X-Call-Id: 1,400",
        "X-Caller: shop-a,X-Caller: nobody,403", "/pay,/nothing,400", "POST,GET,400", "POST /pay,GET /quote,400",
        "?y=z,?obj=,400", "?y=z,?obj=1&y=z&obj=1,400",
        "Idempotency-Key: k1,A: b,400", "Content-Length: 1,Content-Length: 70000000,413", "Host: service,Ho st: s,400"})
    void badRequestsAreAnsweredAndNotForwarded(String good, String bad, int status) throws Exception {
        Host host = host((head, request) -> Host.ok("done"));
        Sidecar sidecar = sidecar(host.port());
        Host.Client client = client(sidecar);
        client.send(pay(1, 900, "a").replace(good, bad));
        assertThat(client.answer().status()).isEqualTo(status);
        Host.Client next = client(sidecar);
        next.send(pay(2, 900, ""));
        assertThat(next.answer().status()).isEqualTo(200);
        assertThat(host.next().head().get("X-Call-Id")).endsWith("02");
        assertThat(host.received).isEmpty();
    }

    /** A faulty discovery agent may repeat an older list, which would bring back a host that is draining. */
    @Test
    void listOlderThanTheKnownOneBringsNoHostBack() throws Exception {
        isManaged = true;
        Host draining = host((head, request) -> Host.ok("old"));
        Host serving = host((head, request) -> Host.ok("new"));
        Sidecar sidecar = sidecar(draining.port(), serving.port());
        lists.add(list(false, target(0, draining.port(), "DRAINING")));
        while (metric(sidecar, "svc_out_of_rotation") < 1) {
            Thread.sleep(20);
        }
        lists.add(list(true, target(0, draining.port(), "SERVING"), target(1, serving.port(), "SERVING"))
                .replace("\"rev\":5", "\"rev\":4"));
        lists.add(list(false, target(2, 1, "DRAINING")));        // its count shows that the list before was applied
        while (metric(sidecar, "svc_registry_entries") != 3) {
            Thread.sleep(20);
        }
        Host.Client client = client(sidecar);
        for (int i = 0; i < 20; i++) {
            client.send(pay(i, 900, ""));
            assertThat(client.answer().body()).isEqualTo("new");
        }
    }

    /** The balancer got the idempotency key, which differs for each request, in place of the object of the request. */
    @Test
    void requestsForOneObjectGoToOneHost() throws Exception {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(host((head, request) -> Host.ok("done")));
        }
        extraSettings = "\"domain\": {\"warm_keys\": true}, ";
        Host.Client client = client(sidecar(hosts.stream().mapToInt(Host::port).toArray()));
        Set<Integer> allReceivingHosts = new HashSet<>();
        for (int object = 0; object < 12; object++) {
            Set<Integer> receivingHosts = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                client.send(pay(3 * object + i, 900, "").replace("y=z", "y=z&obj=o" + object));
                assertThat(client.answer().status()).isEqualTo(200);
                for (int h = 0; h < hosts.size(); h++) {
                    Host.ReceivedRequest request = hosts.get(h).received.poll();
                    if (request != null) {
                        assertThat(request.head().startLine[1]).endsWith("?y=z&obj=o" + object);
                        receivingHosts.add(h);
                    }
                }
            }
            assertThat(receivingHosts).as("hosts that received object " + object).hasSize(1);
            allReceivingHosts.addAll(receivingHosts);
        }
        assertThat(allReceivingHosts).hasSizeGreaterThan(1);
    }

    @Test
    void connectionsAreReusedAndPipelinedRequestsAnsweredInOrder() throws Exception {
        Host host = host((head, request) -> Host.ok(head.get("Idempotency-Key")));
        Host.Client client = client(sidecar(host.port()));
        client.send(pay(1, 900, "") + pay(2, 900, "") + pay(3, 900, ""));
        for (int i = 1; i <= 3; i++) {
            assertThat(client.answer().body()).isEqualTo("k" + i);
        }
        client.send(pay(4, 900, ""));
        assertThat(client.answer().status()).isEqualTo(200);
        Set<Socket> used = new HashSet<>();
        for (int i = 1; i <= 4; i++) {
            used.add(host.next().socket());
        }
        assertThat(used).as("requests wait for the one connection to settle").hasSize(1);
    }

    @Test
    void idleClientsAreDisconnected() throws Exception {
        Host host = host((head, request) -> Host.ok("done"));
        Sidecar sidecar = sidecar(host.port());
        Host.Client silent = client(sidecar);
        Host.Client once = client(sidecar);
        once.send(pay(1, 900, ""));
        assertThat(once.answer().status()).isEqualTo(200);
        assertThat(silent.atEnd()).isTrue();
        assertThat(once.atEnd()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"POST /pa", "POST /pay/x HTTP/1.1\r\nA: b\r\n", "POST /pay/x HTTP/1.1\r\n"
        + "Content-Length: 9\r\n\r\nhalf"})
    void incompleteRequestTimesOutWith408(String half) throws Exception {
        Host.Client client = client(sidecar());
        client.send(half);
        assertThat(client.answer().status()).isEqualTo(408);
        assertThat(client.atEnd()).isTrue();
    }

    @Test
    void bodyOfARejectedRequestIsNotReadToItsEnd() throws Exception {
        Host.Client client = client(sidecar());
        client.send("POST /pay/x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        byte[] part = new byte[100_000];
        assertThatThrownBy(() -> {
            for (int i = 0; i < 600; i++) {
                client.socket.getOutputStream().write(part);
            }
        }).isInstanceOf(IOException.class);
    }

    @Test
    void clientsWithoutARequestAreEvictedBeforeIdleOnes() throws Exception {
        sockets = 36;
        Host host = host((head, request) -> Host.ok("done"));
        Sidecar sidecar = sidecar(host.port());
        Host.Client known = client(sidecar);
        known.send(pay(1, 900, ""));
        assertThat(known.answer().status()).isEqualTo(200);
        Host.Client newClient = client(sidecar);
        newClient.send("POST /pay");
        Host.Client next = client(sidecar);
        next.send(pay(2, 900, ""));
        known.send(pay(3, 900, ""));
        assertThat(known.answer().status()).as("the connection is still open").isEqualTo(200);
        assertThat(next.answer().status()).isEqualTo(200);
        assertThat(newClient.atEnd()).isTrue();
    }

    @Test
    void answersCloseTheirConnectionsFromTheCrowdThresholdOn() throws Exception {
        sockets = 40;               // a crowd threshold of ten
        Host host = host((head, request) -> Host.ok("done"));
        Sidecar sidecar = sidecar(host.port());
        Host.Answer answer = null;
        for (int i = 0; i < 4; i++) {
            Host.Client once = client(sidecar);
            once.send(pay(1, 900, ""));
            answer = once.answer();
            assertThat(answer.head().closesConnection("HTTP/1.1")).as("below the crowd threshold").isFalse();
        }
        sockets = 8;                // a crowd threshold of two
        Sidecar small = sidecar(host.port());
        client(small);
        Host.Client last = client(small);
        last.send(pay(1, 900, ""));
        assertThat(last.answer().head().closesConnection("HTTP/1.1")).isTrue();
    }

    /** A client without a request can be evicted only after 50 ms, and held up each new connection until then. */
    @Test
    void newClientWithoutARequestDoesNotHoldUpOthersAtTheConnectionLimit() throws Exception {
        sockets = 50;               // nine client connections
        Host host = host((head, request) -> Host.ok("done"));
        Sidecar sidecar = sidecar(host.port());
        long started = System.nanoTime();
        for (int i = 0; i < 200; i++) {
            Host.Client once = client(sidecar);
            once.send(pay(1, 900, ""));
            assertThat(once.answer().status()).isEqualTo(200);
            client(sidecar);        // sends nothing
        }
        // Waiting for the eviction would take 50 ms for each of the 200 clients.
        assertThat(System.nanoTime() - started).isLessThan(9_900_000_000L);
    }

    @Test
    void badRequestAnswersDoNotCountAgainstTheHost() throws Exception {
        Host host = host((head, request) -> request.body().equals("bad")
                ? "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n" : Host.ok("done"));
        Host.Client client = client(sidecar(host.port()));
        for (int i = 0; i < 5; i++) {
            client.send(pay(1, 900, "bad"));
            assertThat(client.answer().status()).isEqualTo(400);
        }
        client.send(pay(2, 900, "good"));
        assertThat(client.answer().status()).as("the host is still in use").isEqualTo(200);
        assertThat(host.received).as("no request was repeated").hasSize(6);
    }

    @Test
    void idOfAnOpenRequestIsRefusedForAnotherRequest() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Host host = host((head, request) -> {
            go.await();
            return Host.ok(request.body());
        });
        Sidecar sidecar = sidecar(host.port());
        Host.Client first = client(sidecar);
        String call = pay(1, 9_000, "mine");
        first.send(call);
        host.next();
        Host.Client second = client(sidecar);
        second.send(call.replace("X-Call-Id: 0", "X-Call-Id: "));
        assertThat(second.answer().status()).isEqualTo(409);
        go.countDown();
        assertThat(first.answer().body()).isEqualTo("mine");
        assertThat(host.received).isEmpty();
    }

    @Test
    void malformedLoadReportDoesNotSpoilTheAnswer() throws Exception {
        Host host = host((head, request) -> Host.ok("done", "X-Load-Report: inflight=1\r\nX-Load-Report: ,=;\r\n"));
        Host.Client client = client(sidecar(host.port()));
        client.send(pay(1, 900, ""));
        assertThat(client.answer().body()).isEqualTo("done");
    }

    @Test
    void budgetIsLimitedByTheDeadlineOfTheClass() throws Exception {
        Host host = host((head, request) -> Host.ok("done"));
        Host.Client client = client(sidecar(host.port()));
        client.send(pay(1, 900_000_000, ""));
        assertThat(Integer.parseInt(host.next().head().get("X-Budget-Ms"))).isLessThanOrEqualTo(20_000);
    }

    @ParameterizedTest
    @CsvSource({"256,128,218", "1024,192,986", "1024,86,100", "384,32,32", "60,32,22", "40,32,4"})
    void connectionLimitFollowsFromSocketsAndMemory(int sockets, int memoryMb, int maxConnections) {
        assertThat(new Sidecar.Options(null, null, null, 0, 1, sockets, memoryMb, null, null,
                false).maxConnections()).isEqualTo(maxConnections);
    }

    @Test
    void connectionThatTheHostClosesIsNotReused() throws Exception {
        Host host = host((head, request) -> Host.ok("done", "Connection: close\r\n"));
        Host.Client client = client(sidecar(host.port()));
        for (int i = 1; i <= 3; i++) {
            client.send(pay(i, 900, ""));
            assertThat(client.answer().status()).isEqualTo(200);
        }
    }

    @Test
    void idleUpstreamConnectionIsClosedAfterTheIdleTime() throws Exception {
        connIdleUs = 200_000;
        Host host = host((head, request) -> Host.ok("done"));
        Host.Client client = client(sidecar(host.port()));
        client.send(pay(1, 900, ""));
        assertThat(client.answer().status()).isEqualTo(200);
        assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void idleConnectionsAreEvictedAtTheConnectionLimit() throws Exception {
        sockets = 36;               // two connections on each side
        Host first = host((head, request) -> Host.ok("done", "X-Load-Report: inflight=900\r\n"));
        Host second = host((head, request) -> Host.ok("done", "X-Load-Report: inflight=900\r\n"));
        Sidecar sidecar = sidecar(first.port(), second.port());
        Host.Client oldest = client(sidecar);
        for (int i = 1; i <= 5; i++) {
            Host.Client client = i == 1 ? oldest : client(sidecar);
            client.send(pay(i, 5_000, ""));
            assertThat(client.answer().status()).isIn(200, 503);
        }
        assertThat(oldest.atEnd()).isTrue();
    }

    @Test
    void departureOfTheClientEndsTheAttempt() throws Exception {
        Host host = host((head, request) -> {
            request.socket().getInputStream().read();
            return null;
        });
        Host.Client client = client(sidecar(host.port()));
        client.send(pay(1, 60_000, ""));
        host.next();
        client.close();
        assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void attemptWithoutAnswerTimesOutAndItsLateAnswerIsDropped() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        Host host = host((head, request) -> {
            if (head.get("Idempotency-Key").equals("k1")) {
                late.await();
                return Host.ok("late");
            }
            return Host.ok("fresh");
        });
        Host.Client client = client(sidecar(host.port()));
        long start = System.nanoTime();
        client.send(pay(1, 300, ""));
        assertThat(client.answer().status()).isEqualTo(504);
        assertThat(System.nanoTime() - start).isGreaterThan(250_000_000L);
        late.countDown();
        Host.Answer answer;
        int id = 2;
        do {                        // the host is avoided for a while after the time-out
            client.send(pay(id, 900, ""));
            answer = client.answer();
            assertThat(answer.body()).isNotEqualTo("late");
            id = 2 + (id - 1) % 8;
        } while (answer.status() != 200);
        assertThat(answer.body()).isEqualTo("fresh");
    }

    @Test
    void timeOutClosesTheIdleConnectionsToItsHost() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        Host host = host((head, request) -> {
            if (request.body().equals("hang")) {
                request.socket().getInputStream().read();
                return null;
            }
            both.countDown();
            both.await();
            return Host.ok("done");
        });
        Sidecar sidecar = sidecar(host.port());
        Host.Client one = client(sidecar);
        Host.Client two = client(sidecar);
        one.send(pay(1, 10_000, ""));
        two.send(pay(2, 10_000, ""));
        assertThat(one.answer().status()).isEqualTo(200);
        assertThat(two.answer().status()).isEqualTo(200);
        one.send(pay(3, 200, "hang"));
        assertThat(one.answer().status()).isEqualTo(504);
        for (int i = 0; i < 2; i++) {       // the one that hung, and the idle one
            assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void attemptAtASilentHostIsAbortedAndAnotherHostServes() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Host.Script script = (head, request) -> {
            if (calls.getAndIncrement() == 0) {
                request.socket().getInputStream().read();
                return null;
            }
            return Host.ok("done");
        };
        Host first = host(script);
        Host second = host(script);
        oneCell = true;
        Host.Client client = client(sidecar(first.port(), second.port()));
        client.send(pay(1, 15_000, ""));
        assertThat(client.answer().status()).isEqualTo(200);
        assertThat(List.of(first.received.size(), second.received.size())).containsExactly(1, 1);
    }

    @Test
    void requestThatMayHaveRunFailsAndIsNeitherRefusedNorRetried() throws Exception {
        Host first = host((head, request) -> null);
        Host second = host((head, request) -> null);
        Host.Client client = client(sidecar(first.port(), second.port()));
        client.send(pay(1, 900, ""));
        assertThat(client.answer().status()).isEqualTo(502);
        assertThat(first.received.size() + second.received.size()).isEqualTo(1);
    }

    @Test
    void requestThatNeverRanIsRetriedAndThenRefusedWithRetryAfter() throws Exception {
        Host busy = host((head, request) -> "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
        int nobody;
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = gone.getLocalPort();
        }
        Host.Client client = client(sidecar(busy.port(), nobody));
        client.send(pay(1, 900, ""));
        Host.Answer answer = client.answer();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.head().get("Retry-After")).isEqualTo("0.25");
        assertThat(busy.received.size()).isEqualTo(1);
    }

    @Test
    void drainingHostGetsNoNewRequests() throws Exception {
        Host host = host((head, request) -> Host.ok("done"));
        Host.Client client = client(sidecar(host.port()));
        client.send(pay(1, 900, ""));
        assertThat(client.answer().status()).isEqualTo(200);
        lists.add(list(false, target(0, host.port(), "DRAINING")));
        // Its idle connection is closed once the balancer has got the list.
        assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        client.send(pay(2, 900, ""));
        assertThat(client.answer().status()).isEqualTo(503);
        assertThat(host.received.size()).isEqualTo(1);
    }

    @Test
    void malformedListFailsTheDiscoveryCallAndTheNextCallSucceeds() throws Exception {
        Host host = host((head, request) -> Host.ok("done"));
        Host.Client client = client(sidecar());
        lists.add("rubbish");
        lists.add(list(true, target(0, host.port(), "SERVING")));
        int status = 503;
        for (int id = 1; status != 200; id = id % 9 + 1) {
            client.send(pay(id, 900, ""));
            status = client.answer().status();
            assertThat(status).isIn(200, 503);
        }
    }

    @Test
    void shutdownAnswersRequestsInProgressAndLateOnes() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Host host = host((head, request) -> {
            if (head.get("Idempotency-Key").equals("k1")) {
                go.await();
            }
            return Host.ok("done");
        });
        Sidecar sidecar = sidecar(host.port());
        Host.Client idle = client(sidecar);
        idle.send("GET /healthz HTTP/1.1\r\n\r\n");
        idle.answer();
        Host.Client held = client(sidecar);
        held.send(pay(1, 10_000, ""));
        host.next();
        CountDownLatch ended = new CountDownLatch(1);
        Host.daemon(() -> {
            sidecar.end(new ShutdownSchedule(1_000_000, 1_000_000, 3_000_000));
            ended.countDown();
        });
        Host.Client late = client(sidecar);
        late.send(pay(2, 900, ""));
        assertThat(late.answer().status()).isEqualTo(200);
        assertThat(idle.atEnd()).isTrue();
        go.countDown();
        Host.Answer answer = held.answer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.head().get("Connection")).isEqualTo("close");
        assertThat(held.atEnd()).isTrue();
        held.close();
        assertThat(ended.await(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }

    private String callManagement(Sidecar sidecar, String call) throws IOException {
        Host.Client caller = open(new Host.Client(sidecar.managementAddress()));
        caller.send(call + " HTTP/1.1\r\nHost: x\r\n\r\n");
        Host.Answer answer = caller.answer();
        return answer.status() + " " + answer.body();
    }

    private long metric(Sidecar sidecar, String name) throws IOException {
        return callManagement(sidecar, "GET /-/metrics").lines().filter(line -> line.startsWith(name + " ")).findFirst()
                .map(line -> Long.parseLong(line.substring(name.length() + 1))).orElseThrow();
    }

    /** Several clients provoke every outcome at once; then each metric is compared with what clients and hosts saw. */
    @Test
    void metricsMatchWhatClientsAndHostsSaw() throws Exception {
        isManaged = true;
        AtomicInteger written = new AtomicInteger();
        Host.Script script = (head, request) -> {
            written.incrementAndGet();
            return switch (request.body()) {
                case "error" -> "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
                case "full" -> "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
                case "reset" -> null;
                case "bad" -> "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n";
                default -> Host.ok("done");
            };
        };
        Sidecar sidecar = sidecar(host(script).port(), host(script).port(), host(script).port());
        String[] bodies = {"good", "good", "good", "error", "full", "reset", "bad", "good"};
        AtomicInteger[] answersByKind = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < 6; c++) {
            Thread thread = new Thread(() -> {
                try {
                    Host.Client client = new Host.Client(sidecar.address());
                    for (int i = 0; i < 400; i++) {
                        client.send(pay(i % 200, 5_000, bodies[i % bodies.length]));
                        int status = client.answer().status();
                        answersByKind[status == 200 ? 0 : status == 503 ? 1 : 2].incrementAndGet();
                    }
                    client.close();
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(answersByKind[0].get() + answersByKind[1].get() + answersByKind[2].get()).isEqualTo(2_400);
        String label = "{priority=\"pay\"}";
        assertThat(metric(sidecar, "svc_fulfilled_total" + label)).isEqualTo(answersByKind[0].get());
        assertThat(metric(sidecar, "svc_throttled_total" + label)).isEqualTo(answersByKind[1].get());
        assertThat(metric(sidecar, "svc_faulted_total" + label)).isEqualTo(answersByKind[2].get());
        assertThat(metric(sidecar, "svc_relayed_total")).isEqualTo(written.get());
        assertThat(metric(sidecar, "svc_open_requests")).isZero();
        assertThat(metric(sidecar, "svc_registry_entries")).isEqualTo(3);
        lists.add(list(false, target(0, 1, "DRAINING"), target(1, 1, "DELETED")));
        while (metric(sidecar, "svc_registry_entries") != 2 || metric(sidecar, "svc_out_of_rotation") < 1) {
            Thread.sleep(20);
        }
    }

    @Test
    void drainedSidecarDisconnectsItsClientsAndResumes() throws Exception {
        isManaged = true;
        CountDownLatch go = new CountDownLatch(1);
        Host host = host((head, request) -> {
            if (head.get("Idempotency-Key").equals("k1")) {
                go.await();
            }
            return Host.ok("done");
        });
        Sidecar sidecar = sidecar(host.port());
        assertThat(callManagement(sidecar, "GET /-/ready")).startsWith("200");
        Host.Client idle = client(sidecar);
        idle.send(pay(2, 900, ""));
        assertThat(idle.answer().status()).isEqualTo(200);
        Host.Client held = client(sidecar);
        held.send(pay(1, 10_000, ""));
        assertThat(host.next().head().get("Idempotency-Key")).isEqualTo("k2");
        assertThat(host.next().head().get("Idempotency-Key")).isEqualTo("k1");
        assertThat(metric(sidecar, "svc_open_requests")).isEqualTo(1);
        assertThat(callManagement(sidecar, "PUT /-/drain")).startsWith("200");
        assertThat(callManagement(sidecar, "GET /-/ready")).startsWith("503");
        Host.Client front = client(sidecar);
        front.send("GET /healthz HTTP/1.1\r\n\r\n");
        assertThat(front.answer().status()).isEqualTo(503);
        Host.Client late = client(sidecar);
        late.send(pay(3, 900, ""));
        assertThat(late.answer().status()).as("late requests are still served").isEqualTo(200);
        assertThat(idle.atEnd()).isTrue();
        go.countDown();
        Host.Answer last = held.answer();
        assertThat(last.status()).isEqualTo(200);
        assertThat(last.head().get("Connection")).isEqualTo("close");
        assertThat(held.atEnd()).isTrue();
        assertThat(callManagement(sidecar, "PUT /-/resume")).startsWith("200");
        assertThat(callManagement(sidecar, "GET /-/ready")).startsWith("200");
        Host.Client again = client(sidecar);
        for (int i = 4; i < 6; i++) {
            again.send(pay(i, 900, ""));
            assertThat(again.answer().status()).isEqualTo(200);
        }
    }

    /** A deadline of 4 s or more outlasts the platform's limit, and such requests were cut off without an answer. */
    @Test
    void requestInProgressAtTheEndOfTheShutdownGetsAFailure() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        Host host = host((head, request) -> {
            never.await();
            return Host.ok("late");
        });
        Sidecar sidecar = sidecar(host.port());
        Host.Client held = client(sidecar);
        held.send(pay(1, 19_000, ""));
        host.next();
        long start = System.nanoTime();
        sidecar.end(new ShutdownSchedule(50_000, 50_000, 2_050_000));
        assertThat(System.nanoTime() - start).isLessThan(15_000_000_000L);
        assertThat(held.answer().status()).isEqualTo(504);
        never.countDown();
    }

    @Test
    void reloadMayAddAndRemoveClassesDuringAnAttempt() throws Exception {
        isManaged = true;
        CountDownLatch go = new CountDownLatch(1);
        Host host = host((head, request) -> {
            if ("k1".equals(head.get("Idempotency-Key"))) {
                go.await();
            }
            return Host.ok("done");
        });
        Sidecar sidecar = sidecar(host.port());
        Host.Client held = client(sidecar);
        held.send(pay(1, 10_000, ""));
        host.next();
        assertThat(sidecar.reload(options(configuration.replace("\"name\": \"pay\"", "\"name\": \"buy\"")))).isEmpty();
        Host.Client client = client(sidecar);
        client.send(pay(2, 900, ""));
        assertThat(client.answer().status()).as("a request of a removed class").isEqualTo(400);
        client.send(pay(3, 900, "").replace("/pay/", "/buy/"));
        assertThat(client.answer().status()).as("a request of an added class").isEqualTo(200);
        go.countDown();
        assertThat(held.answer().status()).as("a request in progress").isEqualTo(200);
        assertThat(metric(sidecar, "svc_fulfilled_total{priority=\"pay\"}")).isOne();
        assertThat(metric(sidecar, "svc_fulfilled_total{priority=\"buy\"}")).isOne();
    }
}
