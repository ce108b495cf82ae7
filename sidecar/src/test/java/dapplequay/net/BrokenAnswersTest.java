package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Hosts whose answers break off: a reset is not the end of an answer, and a repeat follows the rules of its class. */
@Timeout(60)
class BrokenAnswersTest extends ClosesWhatItOpened {
    private static final AtomicInteger CALLS = new AtomicInteger();


    /** Starts a sidecar with the example's settings, these changes to them, and hosts of one cell at these ports. */
    private Sidecar sidecar(Map<String, Integer> changes, int... ports) throws IOException {
        List<String> targets = new ArrayList<>();
        for (int port : ports) {
            targets.add("{\"uid\":\"s" + targets.size() + "\",\"endpoint\":\"127.0.0.1:" + port
                    + "\",\"az\":\"north\",\"pod_group\":0,\"state\":\"SERVING\"}");
        }
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000");
        for (Map.Entry<String, Integer> change : changes.entrySet()) {
            String name = "\"" + change.getKey() + "\": ";
            text = text.replaceAll(name + "\\d+", name + change.getValue());
        }
        Map<?, ?> example = (Map<?, ?>) Json.parse(text.getBytes(StandardCharsets.UTF_8));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        String list = "{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
        Sidecar sidecar = new Sidecar(new Sidecar.Options(any, null, new InetSocketAddress(any.getAddress(), 1), 7, 1,
                1024, 192, Json.parse(list.getBytes(StandardCharsets.UTF_8)),
                SettingsReader.of(example.get("settings"), "example"), false));
        sidecar.start();
        return sidecar;
    }

    private static String pay(String version) {
        return "POST /pay/x HTTP/" + version + "\r\nX-Call-Id: " + Integer.toHexString(CALLS.incrementAndGet())
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 15000\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** The sidecar still holds the short answer when the reset comes, so it may repeat the request elsewhere. */
    @ParameterizedTest
    @ValueSource(strings = {"", "half", "Content-Length: 9\r\n"})
    void requestIsRepeatedAfterAResetWithinAShortAnswer(String text) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Host.Script script = (head, request) -> {
            if (calls.getAndIncrement() == 0) {
                write(request.socket(), "HTTP/1.1 200 OK\r\n"
                        + (text.contains(":") ? text + "\r\nhalf" : "\r\n" + text));
                reset(request.socket());
                return null;
            }
            return Host.ok("whole");
        };
        Sidecar sidecar = sidecar(Map.of(), open(new Host(script)).port(), open(new Host(script)).port());
        Host.Client client = open(new Host.Client(sidecar.address()));
        client.send(pay("1.1"));
        Host.Answer answer = client.answer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("whole");
        assertThat(calls.get()).isEqualTo(2);
    }

    /** The host resets the connection after the client has received the head, over a read that timed out meanwhile. */
    @ParameterizedTest
    @CsvSource({"1.1,half", "1.1,''", "1.0,half"})
    void answerThatIsResetAfterAPauseIsNotTakenAsComplete(String version, String text) throws Exception {
        CountDownLatch passedOn = new CountDownLatch(1);
        Host host = open(new Host((head, request) -> {
            write(request.socket(), "HTTP/1.1 200 OK\r\n\r\n" + text);
            passedOn.await();
            reset(request.socket());
            return null;
        }));
        Host.Client client = open(new Host.Client(sidecar(Map.of(), host.port()).address()));
        client.send(pay(version));
        Head head = client.reader.readResponseHead();
        assertThat(head.startLine[1]).isEqualTo("200");
        passedOn.countDown();
        assertThatThrownBy(() -> client.reader.readResponseBody(head))
                .isInstanceOf(version.equals("1.0") ? SocketException.class : IOException.class);
        assertThat(host.received).as("no repeat once an answer has begun").hasSize(1);
    }

    /** A connection that is closed in order after a pause ends a complete answer. */
    @Test
    void answerThatEndsInOrderAfterAPauseIsComplete() throws Exception {
        CountDownLatch passedOn = new CountDownLatch(1);
        Host host = open(new Host((head, request) -> {
            write(request.socket(), "HTTP/1.1 200 OK\r\n\r\nhalf");
            passedOn.await();
            write(request.socket(), " and half");
            return null;
        }));
        Host.Client client = open(new Host.Client(sidecar(Map.of(), host.port()).address()));
        client.send(pay("1.1"));
        Head head = client.reader.readResponseHead();
        passedOn.countDown();
        assertThat(client.reader.readResponseBody(head)).asString(StandardCharsets.ISO_8859_1)
                .isEqualTo("half and half");
    }

    /**
     * A request with an idempotency key may have run at one host, and the connect of its repeat lasts until after the
     * window. The kernel drops a connect beyond the listener's backlog and tries it again a second later.
     */
    @Test
    void repeatWhoseConnectOutlastsTheWindowIsNotWritten() throws Exception {
        ServerSocket[] hosts = {open(new ServerSocket(0, 1, InetAddress.getLoopbackAddress())),
            open(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()))};
        List<Socket> fillers = new CopyOnWriteArrayList<>();
        AtomicInteger requests = new AtomicInteger();
        CountDownLatch broken = new CountDownLatch(1);
        CountDownLatch bothAccept = new CountDownLatch(2);
        CountDownLatch windowOver = new CountDownLatch(1);
        for (int i = 0; i < 2; i++) {
            ServerSocket own = hosts[i];
            ServerSocket other = hosts[1 - i];
            Host.daemon(() -> {
                Socket first = open(own.accept());
                boolean fillsOther = fillers.isEmpty();
                bothAccept.countDown();
                if (fillsOther) {
                    MessageReader reader = new MessageReader(first.getInputStream());
                    reader.readRequestBody(reader.readRequestHead());
                    requests.incrementAndGet();
                    fillers.add(new Socket());
                    fillers.get(0).connect(other.getLocalSocketAddress());
                    bothAccept.await();             // the other host accepts no more; its backlog stays full
                    WriteGuardTest.fillBacklog(other, fillers);
                    reset(first);
                    broken.countDown();
                }
                windowOver.await();
                while (true) {
                    Socket late = open(own.accept());
                    Host.daemon(() -> {
                        MessageReader reader = new MessageReader(late.getInputStream());
                        reader.readRequestBody(reader.readRequestHead());
                        requests.incrementAndGet();
                        write(late, Host.ok("late"));
                    });
                }
            });
        }
        Sidecar sidecar = sidecar(Map.of("window_us", 500_000, "connect_timeout_us", 3_000_000),
                hosts[0].getLocalPort(), hosts[1].getLocalPort());
        Host.Client client = open(new Host.Client(sidecar.address()));
        client.send(pay("1.1"));
        broken.await();
        long overAt = System.nanoTime() + 600_000_000L;
        while (System.nanoTime() < overAt) {
            Thread.onSpinWait();
        }
        windowOver.countDown();
        assertThat(client.answer().status()).isEqualTo(502);
        assertThat(requests.get()).isEqualTo(1);
        fillers.forEach(Sockets::closeQuietly);
    }
}
