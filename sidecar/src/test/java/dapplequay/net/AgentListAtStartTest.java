package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A sidecar starts with an old list where an agent holds the present one, which counts as announced from the start. */
@Timeout(60)
class AgentListAtStartTest extends ClosesWhatItOpened {
    private static final int SERVERS = 4;
    private static final int REQUESTS = 40;
    private static final int PRESENT_REVISION = 2;
    /** Less than a sidecar waits for a silent agent, and more than clients need to send first requests. */
    private static final int ANSWER_AFTER_MS = 300;
    private static final long READY_WITHIN_MS = 10_000;

    private final CountDownLatch testEnds = new CountDownLatch(1);
    private Host[] hosts;

    @AfterEach
    void releaseAgent() {
        testEnds.countDown();
    }

    private void startHosts() throws IOException {
        hosts = new Host[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            hosts[i] = open(new Host((head, request) -> Host.ok("done")));
        }
    }

    /** Returns a list in which all but the last server have this state, or are not named if it is OMITTED. */
    private String list(int revision, String state) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            boolean isLast = i == SERVERS - 1;
            if (isLast || !state.equals("OMITTED")) {
                targets.append(targets.isEmpty() ? "" : ",").append("{\"uid\":\"s").append(i)
                        .append("\",\"endpoint\":\"127.0.0.1:").append(hosts[i].port())
                        .append("\",\"az\":\"north\",\"pod_group\":0,\"state\":\"")
                        .append(isLast ? "SERVING" : state).append("\"}");
            }
        }
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + targets + "]}";
    }

    private Sidecar sidecar(Host agent) throws IOException {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readString(Path.of("example/config.json"))
                .replace("\"on_request\"", "\"pushed\"").getBytes(StandardCharsets.UTF_8));
        InetAddress loopback = InetAddress.getLoopbackAddress();
        Object known = Json.parse(list(1, "SERVING").getBytes(StandardCharsets.UTF_8));
        Sidecar sidecar = new Sidecar(new Sidecar.Options(new InetSocketAddress(loopback, 0), null,
                new InetSocketAddress(loopback, agent.port()), 7, 1, 1024, 192, known,
                SettingsReader.of(example.get("settings"), "example"), false));
        open(sidecar::end);
        return sidecar;
    }

    /** Sends requests until so many were served; refusals, as servers are new to the sidecar, don't count. */
    private void sendRequests(Sidecar sidecar) throws Exception {
        Host.Client client = open(new Host.Client(sidecar.address()));
        for (int served = 0, sent = 1; served < REQUESTS; sent++) {
            client.send("GET /quote/1 HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(sent)
                    + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 1000\r\n\r\n");
            int status = client.answer().status();
            assertThat(status).isIn(200, 503);
            served += status == 200 ? 1 : 0;
        }
    }

    /** Guards against the failure in which clients were served by the configuration's list before the agent's came. */
    @ParameterizedTest
    @CsvSource({"DRAINING", "OMITTED"})
    void noRequestGoesToAServerThatTheAgentsListTakesOut(String state) throws Exception {
        startHosts();
        Host agent = open(new Host((head, request) -> {
            if (head.startLine[1].contains("after=" + PRESENT_REVISION)) {
                testEnds.await();
                return null;
            }
            Thread.sleep(ANSWER_AFTER_MS);
            return Host.ok(list(PRESENT_REVISION, state));
        }));
        Sidecar sidecar = sidecar(agent);
        sidecar.start();
        sendRequests(sidecar);
        for (Host host : List.of(hosts).subList(0, SERVERS - 1)) {
            assertThat(host.received).isEmpty();
        }
    }

    @Test
    void aSidecarWhoseAgentIsAwayServesByTheListThatItHas() throws Exception {
        startHosts();
        Host agent = open(new Host((head, request) -> {
            testEnds.await();
            return null;
        }));
        Sidecar sidecar = sidecar(agent);
        long begunNs = System.nanoTime();
        sidecar.start();
        assertThat((System.nanoTime() - begunNs) / 1_000_000).isLessThan(READY_WITHIN_MS);
        sendRequests(sidecar);
    }
}
