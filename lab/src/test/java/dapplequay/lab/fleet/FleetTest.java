package dapplequay.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.lab.loop.EventLoop;
import dapplequay.lab.text.TomlFile;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the emulated fleet over real sockets: how callers see each kind of fault. */
@Timeout(60)
class FleetTest {
    private static final String ORDER = "GET /order/1?w=1000 HTTP/1.1\r\nX-Call-Id: %s\r\n\r\n";
    private static final int READ_TIMEOUT_MS = 10_000;

    private static FleetSpec spec(String extraToml) {
        TomlFile doc = TomlFile.parse("f.toml", "[fleet]\nhosts = 2\nlist_delay = '1ms'\n".replace('\'', '"')
                + extraToml.replace('\'', '"').replace("|", "\n"));
        return FleetSpec.read(doc.root().table("fleet"), 2, 1);
    }

    private static void scheduleFaults(Fleet fleet, String fault) {
        TomlFile doc = TomlFile.parse("f.toml", "[[fault]]\n" + fault.replace('\'', '"').replace("|", "\n"));
        List<FaultSpec> faults = new ArrayList<>();
        doc.root().tables("fault").forEach(table -> faults.add(FaultSpec.read(table, fleet.spec())));
        fleet.scheduleFaults(FaultScript.draw(fleet.spec(), faults, 1), EventLoop.nowUs());
    }

    private static Socket connect(String endpoint) throws IOException {
        int colon = endpoint.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.connect(new InetSocketAddress(endpoint.substring(0, colon),
                Integer.parseInt(endpoint.substring(colon + 1))), 2_000);
        return socket;
    }

    private static String ask(Socket socket, String call) throws IOException {
        socket.getOutputStream().write(ORDER.formatted(call).getBytes(StandardCharsets.US_ASCII));
        return read(socket.getInputStream());
    }

    /** Returns true once a connect to this endpoint times out; false if none does within the tries. */
    private static boolean connectsHang(String endpoint) throws Exception {
        int colon = endpoint.lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(endpoint.substring(0, colon),
                Integer.parseInt(endpoint.substring(colon + 1)));
        for (int i = 0; i < 200; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(address, 300);
                Thread.sleep(10);
            } catch (SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                Thread.sleep(10);       // refused while the listener is being replaced
            }
        }
        return false;
    }

    /** Reads one complete response; throws EOFException if the connection ends before that. */
    private static String read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException(head.toString());
            }
            head.append((char) next);
        }
        int at = head.indexOf("Content-Length: ") + 16;
        int length = at < 16 ? 0 : Integer.parseInt(head.substring(at, head.indexOf("\r\n", at)));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException(head.toString());
        }
        return head + new String(body, StandardCharsets.US_ASCII);
    }

    /** Repeats requests until a response contains this text, as a fault begins only when its loop gets to it. */
    private static String askUntil(Fleet fleet, int host, String wanted) throws Exception {
        for (int i = 0; i < 400; i++) {
            try (Socket socket = connect(fleet.endpoints(0).get(host))) {
                String answer = ask(socket, Integer.toHexString(i + 1));
                if (answer.contains(wanted)) {
                    return answer;
                }
            } catch (IOException e) {
                if (wanted.equals("broken")) {
                    return e.toString();
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError("never saw " + wanted);
    }

    private static String list(Fleet fleet, int view, String query) throws IOException {
        try (Socket socket = connect(fleet.discoveryAt(view))) {
            socket.getOutputStream().write(("GET /v1/servers" + query + " HTTP/1.1\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            return read(socket.getInputStream());
        }
    }

    @Test
    void healthyHostServesRequestsAndReportsLoadOnOneConnection() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1); Socket socket = connect(fleet.endpoints(0).get(0))) {
            assertThat(ask(socket, "a1")).startsWith("HTTP/1.1 200").contains("X-Load-Report: queue=0,inflight=")
                    .contains("\r\n\r\na1 ").endsWith(" h-000\n");
            assertThat(ask(socket, "a2")).startsWith("HTTP/1.1 200").contains("a2 ");
            assertThat(ask(socket, "not-hex")).startsWith("HTTP/1.1 400");
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(read(socket.getInputStream())).startsWith("HTTP/1.1 404");
            socket.getOutputStream().write("GET /load HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(read(socket.getInputStream())).as("probe of a fleet without probes").startsWith("HTTP/1.1 404");
            assertThat(fleet.log().visits()).extracting(visit -> visit.callId).containsExactly("a1", "a2");
            assertThat(fleet.log().counts(0).handshakes).isEqualTo(1);
        }
    }

    @Test
    void countsOnlyLogKeepsNoEntryPerRequest() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1); Socket socket = connect(fleet.endpoints(0).get(0))) {
            ask(socket, "a1");
            fleet.log().recordCountsOnly();
            ask(socket, "a2");
            assertThat(fleet.log().visits()).isEmpty();
            assertThat(fleet.log().counts(0).handshakes).isEqualTo(1);
        }
    }

    @Test
    void malformedRequestClosesOnlyItsOwnConnection() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1); Socket bad = connect(fleet.endpoints(0).get(0));
                Socket good = connect(fleet.endpoints(0).get(0))) {
            bad.getOutputStream().write("\u0016\u0003\u0001 hello\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(read(bad.getInputStream())).startsWith("HTTP/1.1 400");
            assertThat(bad.getInputStream().read()).isEqualTo(-1);
            assertThat(ask(good, "a1")).startsWith("HTTP/1.1 200");
        }
    }

    @ParameterizedTest
    @CsvSource({"errors, HTTP/1.1 500", "reset_before, broken", "reset_within, broken", "cut, broken",
        "drain, draining", "stop, broken", "refuse, broken", "garbled, no such thing"})
    void faultIsVisibleToCallersOfTheAffectedHostOnly(String kind, String seen) throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            scheduleFaults(fleet, "kind = '" + kind + "'|at = '0s'|for = '60s'|hosts = [0]|amount = 1");
            askUntil(fleet, 0, seen);
            try (Socket other = connect(fleet.endpoints(0).get(1))) {
                assertThat(ask(other, "ff")).as("response of the host without the fault").startsWith("HTTP/1.1 200");
            }
        }
    }

    @Test
    void unaskedFaultSendsBytesAfterACompleteResponse() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            scheduleFaults(fleet, "kind = 'unasked'|at = '0s'|for = '60s'|hosts = [0]");
            for (int i = 1; ; i++) {
                try (Socket socket = connect(fleet.endpoints(0).get(0))) {
                    assertThat(ask(socket, Integer.toHexString(i))).startsWith("HTTP/1.1 200");
                    socket.setSoTimeout(200);
                    assertThat(read(socket.getInputStream())).endsWith("unasked");
                    return;
                } catch (SocketTimeoutException e) {
                    assertThat(i).as("requests until the fault shows").isLessThan(50);
                }
            }
        }
    }

    @Test
    void overlongFaultExceedsTheBodyLimit() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            scheduleFaults(fleet, "kind = 'overlong'|at = '0s'|for = '60s'|hosts = [0]");
            assertThat(askUntil(fleet, 0, "xxxx").length()).isGreaterThan(64 * 1024);
        }
    }

    @Test
    void silentHostStopsRespondingAndRestartsCold() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1); Socket old = connect(fleet.endpoints(0).get(0))) {
            ask(old, "a1");
            scheduleFaults(fleet, "kind = 'silent'|at = '0s'|for = '4s'|hosts = [0]");
            assertThat(connectsHang(fleet.endpoints(0).get(0))).as("new connections hang").isTrue();
            old.setSoTimeout(300);
            assertThatThrownBy(() -> ask(old, "a2")).isInstanceOf(SocketTimeoutException.class);
            old.setSoTimeout(READ_TIMEOUT_MS);
            assertThatThrownBy(() -> read(old.getInputStream())).as("old connection is reset after the restart")
                    .isInstanceOf(IOException.class);
            askUntil(fleet, 0, "HTTP/1.1 200");
            assertThat(fleet.log().starts()).filteredOn(start -> start.cold()).hasSize(1);
            assertThat(list(fleet, 0, "")).containsPattern("\"boot_ms\":[1-9]");
        }
    }

    @Test
    void silentConnectionFaultLeavesOtherConnectionsServed() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            scheduleFaults(fleet, "kind = 'silent_connection'|at = '0s'|for = '60s'|hosts = [0]|requests = 0.5");
            int silent = 0;
            int servedSince = 0;
            for (int i = 1; i <= 300 && (silent < 3 || servedSince < 3); i++) {
                try (Socket socket = connect(fleet.endpoints(0).get(0))) {
                    socket.setSoTimeout(400);
                    assertThat(ask(socket, Integer.toHexString(i))).startsWith("HTTP/1.1 200");
                    servedSince += silent > 0 ? 1 : 0;
                } catch (SocketTimeoutException e) {
                    silent++;
                }
            }
            assertThat(silent).isGreaterThanOrEqualTo(3);
            assertThat(servedSince).as("requests served on other connections").isGreaterThanOrEqualTo(3);
        }
    }

    @ParameterizedTest
    @CsvSource({"hang, true", "refuse, false"})
    void faultOnNewConnectionsLeavesOpenOnesServed(String kind, boolean hang) throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1); Socket old = connect(fleet.endpoints(0).get(0))) {
            ask(old, "a1");
            scheduleFaults(fleet, "kind = '" + kind + "'|at = '0s'|for = '60s'|hosts = [0]");
            if (hang) {
                assertThat(connectsHang(fleet.endpoints(0).get(0))).isTrue();
            } else {
                askUntil(fleet, 0, "broken");
            }
            assertThat(ask(old, "a2")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void replacementHostHasANewUidAtTheSameAddress() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            List<String> before = fleet.endpoints(0);
            scheduleFaults(fleet, "kind = 'replace'|at = '0s'|for = '300ms'|hosts = [0]");
            assertThat(askUntil(fleet, 0, " h-000r\n")).startsWith("HTTP/1.1 200");
            assertThat(fleet.endpoints(0)).isEqualTo(before);
            String list = "";
            for (int i = 0; i < 200 && !list.contains("h-000r"); i++) {
                list = list(fleet, 0, "");
                Thread.sleep(10);
            }
            assertThat(list).contains("h-000r").doesNotContain("\"h-000\"");
        }
    }

    @Test
    void watchReturnsOnlyTheChangedEntries() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            String whole = list(fleet, 0, "");
            assertThat(whole).contains("\"all\":true").contains("h-000").contains("h-001");
            String rev = whole.replaceAll("(?s).*\"rev\":(\\d+).*", "$1");
            assertThat(list(fleet, 0, "?after=" + rev + "&wait_ms=50")).contains("\"all\":false")
                    .contains("\"targets\":[]");
            scheduleFaults(fleet, "kind = 'drain'|at = '200ms'|for = '60s'|hosts = [1]");
            String change = list(fleet, 0, "?after=" + rev + "&wait_ms=20000");
            assertThat(change).contains("\"all\":false").contains("h-001").contains("DRAINING").doesNotContain("h-000");
            assertThat(list(fleet, 0, "?after=99999&wait_ms=1")).contains("\"all\":true");
            assertThat(fleet.log().listUpdates()).anyMatch(update -> update.uid().equals("h-001")
                    && update.state().equals("DRAINING") && update.view() == 0);
        }
    }

    @Test
    void listFaultsChangeDiscoverysAnswers() throws Exception {
        try (Fleet fleet = new Fleet(spec(""), 1)) {
            scheduleFaults(fleet, "kind = 'list_odd_zone'|at = '0s'|for = '60s'|[[fault]]|kind = 'list_empty'|at = '1s'"
                    + "|for = '1500ms'|[[fault]]|kind = 'list_down'|at = '4s'|for = '1500ms'");
            assertThat(listUntil(fleet, "nowhere")).contains("h-odd");
            listUntil(fleet, "\"targets\":[]");
            listUntil(fleet, "h-000");
            listUntil(fleet, "broken");
            listUntil(fleet, "h-000");
            scheduleFaults(fleet, "kind = 'list_stale'|at = '0s'|for = '5s'|[[fault]]|kind = 'drain'|at = '100ms'"
                    + "|for = '60s'|hosts = [0]");
            askUntil(fleet, 0, "draining");
            assertThat(list(fleet, 0, "")).as("list while it is stale").doesNotContain("DRAINING");
            listUntil(fleet, "DRAINING");
        }
    }

    private static String listUntil(Fleet fleet, String wanted) throws Exception {
        for (int i = 0; i < 1000; i++) {
            String seen;
            try {
                seen = list(fleet, 0, "");
            } catch (IOException e) {
                seen = "broken";
            }
            if (seen.contains(wanted)) {
                return seen;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("never saw " + wanted);
    }

    @Test
    void discoveryRejectsCallsThatWouldQueueTooLong() throws Exception {
        try (Fleet fleet = new Fleet(spec("list_call = '200ms'|list_wait = '300ms'"), 1)) {
            List<Socket> calls = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                Socket socket = connect(fleet.discoveryAt(0));
                socket.getOutputStream().write("GET /v1/servers HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                calls.add(socket);
            }
            int busy = 0;
            for (Socket socket : calls) {
                busy += read(socket.getInputStream()).startsWith("HTTP/1.1 503") ? 1 : 0;
                socket.close();
            }
            assertThat(busy).isBetween(2, 5);
        }
    }

    /** An agent answers at once whatever a call costs; while discovery is down it defers its answers. */
    @Test
    void agentDefersAnswersWhileDiscoveryIsDown() throws Exception {
        try (Fleet fleet = new Fleet(spec("pushed = true|list_call = '20s'"), 1)) {
            assertThat(list(fleet, 0, "")).contains("\"all\":true");
            scheduleFaults(fleet, "kind = 'list_down'|at = '0s'|for = '3s'");
            for (boolean silent = false; !silent; ) {
                try (Socket call = connect(fleet.discoveryAt(0))) {
                    call.getOutputStream()
                            .write("GET /v1/servers HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    call.setSoTimeout(300);
                    read(call.getInputStream());
                } catch (SocketTimeoutException e) {
                    silent = true;
                }
            }
            try (Socket call = connect(fleet.discoveryAt(0))) {
                call.getOutputStream().write("GET /v1/servers HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                call.setSoTimeout(20_000);
                assertThat(read(call.getInputStream())).as("call made while it was silent").contains("\"all\":true");
            }
        }
    }

    @Test
    void callsFromAnotherZoneHaveHigherLatency() throws Exception {
        try (Fleet fleet = new Fleet(spec("zone_latency = '150ms'"), 1)) {
            assertThat(fleet.endpoints(0)).isNotEqualTo(fleet.endpoints(1));
            try (Socket near = connect(fleet.endpoints(0).get(0)); Socket far = connect(fleet.endpoints(1).get(0))) {
                ask(near, "a1");
                long start = System.nanoTime();
                ask(far, "a2");
                assertThat(System.nanoTime() - start).as("round trip between zones").isGreaterThan(300_000_000L);
            }
            assertThat(fleet.log().visits()).extracting(visit -> visit.callerZone).containsExactly(0, 1);
        }
    }

    @Test
    void equalSeedsDrawEqualFleetsAndFaults() {
        String kinds = "|[[fleet.kind]]|name = 'quick'|share = 0.5|[[fleet.kind]]|name = 'slow'|share = 0.5";
        TomlFile one = TomlFile.parse("f", ("[fleet]|hosts = 40" + kinds).replace('\'', '"').replace("|", "\n"));
        FleetSpec first = FleetSpec.read(one.root().table("fleet"), 1, 3);
        assertThat(FleetSpec.read(one.root().table("fleet"), 1, 3)).isEqualTo(first);
        assertThat(FleetSpec.read(one.root().table("fleet"), 1, 4)).isNotEqualTo(first);
        List<FaultSpec> faults = List.of(new FaultSpec(FaultSpec.Kind.SILENT, 5, 10, List.of(), 0.2, -1, 0, 1),
                new FaultSpec(FaultSpec.Kind.STOP, 7, 2, List.of(), 0.1, 1, 0, 1));
        String script = FaultScript.draw(first, faults, 8).text();
        assertThat(FaultScript.draw(first, faults, 8).text()).isEqualTo(script);
        assertThat(FaultScript.draw(first, faults, 9).text()).isNotEqualTo(script);
        assertThat(FaultScript.draw(first, faults, 8).steps().get(0).hosts()).hasSize(8);
    }
}
