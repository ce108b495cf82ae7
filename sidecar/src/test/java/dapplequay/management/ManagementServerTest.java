package dapplequay.management;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class ManagementServerTest {
    private final DeadlineQueue deadlines = new DeadlineQueue(() -> System.nanoTime() / 1000);
    private final List<String> commands = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean ready = true;
    private volatile boolean ending;
    private ManagementServer server;

    @BeforeEach
    void listen() throws IOException {
        server = new ManagementServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), deadlines,
                new ManagementServer.Service() {
                    @Override
                    public boolean isReady() {
                        return ready;
                    }

                    @Override
                    public String metrics() {
                        return "svc_open_requests 0\n";
                    }

                    @Override
                    public void drain() {
                        commands.add("drain");
                    }

                    @Override
                    public boolean resume() {
                        commands.add("resume");
                        return !ending;
                    }
                });
        Thread thread = new Thread(server);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private Socket connect(String text) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(server.address());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "GET /-/ready HTTP/1.1|Host: x||; 200; ''", "GET /-/metrics HTTP/1.1||; 200; ''",
        "HEAD /-/ready HTTP/1.1||; 200; ''", "GET /-/ready?a=b HTTP/1.0||; 200; ''",
        "PUT /-/drain HTTP/1.1|Content-Length: 0||; 200; drain", "PUT /-/resume HTTP/1.1||; 200; resume",
        "PUT /-/drain HTTP/1.1|Transfer-Encoding: chunked||2|ab|0||; 200; drain",
        "GET /-/drain HTTP/1.1||; 405; ''", "POST /-/ready HTTP/1.1||; 405; ''", "GET / HTTP/1.1||; 404; ''",
        "GET /-/ready||; 400; ''", "GET /-/ready HTTP/3||; 400; ''", "rubbish||; 400; ''",
        "PUT /-/drain HTTP/1.1|Content-Length: 99999||; 413; ''",
        "PUT /-/drain HTTP/1.1|Content-Length: 1|Content-Length: 2||; 400; ''",
    })
    void callsAreAnsweredAndTheConnectionIsClosed(String call, int status, String expectedCommands) throws IOException {
        String answer = readAll(connect(call));
        assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
        assertThat(answer).contains("Connection: close\r\n");
        assertThat(String.join(",", commands)).isEqualTo(expectedCommands);
        if (status == 405) {
            assertThat(answer).contains("Allow: " + (call.contains("drain") ? "PUT" : "GET, HEAD") + "\r\n");
        }
        if (call.startsWith("HEAD")) {
            assertThat(answer).endsWith("\r\n\r\n");
        }
    }

    @Test
    void negativeAnswersHaveAnErrorStatus() throws IOException {
        ready = false;
        ending = true;
        assertThat(readAll(connect("GET /-/ready HTTP/1.1||"))).startsWith("HTTP/1.1 503 ");
        assertThat(readAll(connect("PUT /-/resume HTTP/1.1||"))).startsWith("HTTP/1.1 409 ");
    }

    /**
     * Opens far more connections than the server holds; each call in between is answered without
     * waiting for those to end.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /-/rea", "GET /-/ready HTTP/1.1||"})
    void idleAndLingeringConnectionsDoNotBlockNewCalls(String sent) throws IOException {
        for (int i = 0; i < 60; i++) {
            connect(sent);
            if (i % 10 == 0) {
                assertThat(readAll(connect("GET /-/ready HTTP/1.1||"))).startsWith("HTTP/1.1 200 ");
            }
        }
        assertThat(readAll(connect("GET /-/metrics HTTP/1.1||"))).endsWith("svc_open_requests 0\n");
    }

    @Test
    void incompleteCallIsClosedAtItsDeadline() throws Exception {
        Socket incomplete = connect("GET /-/ready HTTP/1.1|A:");
        Thread sweeper = new Thread(() -> {
            try {
                while (!incomplete.isClosed()) {
                    deadlines.awaitNext(10_000);
                    deadlines.runExpired();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        sweeper.setDaemon(true);
        sweeper.start();
        assertThat(incomplete.getInputStream().read()).isEqualTo(-1);
    }
}
