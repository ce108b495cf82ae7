package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Requests held shortly before the platform sends SIGKILL fail in time, and the process exits before it. */
@Timeout(60)
class LastMomentTest extends ClosesWhatItOpened {
    private static final int READ_TIMEOUT_MS = 20_000;
    /** The least time from SIGTERM to SIGKILL, ms, if the longest deadline is over 3 s. */
    private static final long SIGKILL_AFTER_MS = 3_700;
    private static final String LONG_BODY = "x".repeat(60_000);

    @TempDir
    private Path folder;
    private ManualServer upstream;
    private SidecarProcess program;
    private int port;
    private int calls;
    private CompletableFuture<Long> exitTookMs;

    @BeforeEach
    void start() throws Exception {
        upstream = open(new ManualServer());
        ServerSocket silent = open(new ServerSocket(0, 200, InetAddress.getLoopbackAddress()));
        port = SidecarProcess.freePort();
        Path config = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:7070", "127.0.0.1:" + port)
                .replace("127.0.0.1:8500", "127.0.0.1:" + silent.getLocalPort()).replace("\"on_request\"", "\"pushed\"")
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + upstream.port())
                .replaceAll("\"aim_us\": \\d+", "\"aim_us\": 1000000")
                .replace("\"late_worth\": 0.0", "\"late_worth\": 0.5")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000"));
        program = open(new SidecarProcess(config, null, SidecarProcess.freePort()));
        program.awaitReady();
    }

    private Socket client() throws IOException {
        Socket socket = open(new Socket(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private String quote() {
        return "GET /quote/1 HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(++calls)
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 15000\r\n\r\n";
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String status(Socket from) throws IOException {
        MessageReader reader = new MessageReader(from.getInputStream());
        if (!reader.awaitData()) {
            return "closed";
        }
        return reader.readResponseHead().startLine[1];
    }

    private void sendSigterm() {
        long startNs = System.nanoTime();
        exitTookMs = program.process.onExit().thenApply(any -> (System.nanoTime() - startNs) / 1_000_000);
        program.process.toHandle().destroy();
    }

    private void assertExitsBeforeSigkill() throws Exception {
        long tookMs = exitTookMs.get(30, TimeUnit.SECONDS);
        assertThat(program.process.exitValue()).isEqualTo(128 + 15);
        assertThat(tookMs).isLessThan(SIGKILL_AFTER_MS);
    }

    /** Discovery accepts connections but never answers. */
    @Test
    void idleClientsThatNeverCloseDoNotDelayTheExit() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            idle.add(client());
            if (i % 2 == 0) {
                write(idle.get(i), quote());
                upstream.nextAttempt().serve();
                assertThat(status(idle.get(i))).isEqualTo("200");
            }
        }
        sendSigterm();
        assertExitsBeforeSigkill();
    }

    /** The client's held request fails when the time is over, and the client keeps its connection open. */
    @Test
    void aClientThatStaysAfterItsLastAnswerDoesNotDelayTheExit() throws Exception {
        Socket held = client();
        write(held, quote());
        upstream.nextAttempt();
        sendSigterm();
        assertThat(status(held)).isEqualTo("504");
        assertExitsBeforeSigkill();
    }

    @Test
    void aClientThatReadsNothingDoesNotDelayTheExit() throws Exception {
        Socket nonReader = client();
        for (int i = 0; i < 200; i++) {
            write(nonReader, quote());
        }
        CompletableFuture<Void> twentyAnswered = new CompletableFuture<>();
        Host.daemon(() -> {
            for (int i = 0; i < 200; i++) {
                upstream.nextAttempt().write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + LONG_BODY);
                if (i == 20) {
                    twentyAnswered.complete(null);
                }
            }
        });
        twentyAnswered.get(20, TimeUnit.SECONDS);
        sendSigterm();
        assertExitsBeforeSigkill();
    }

    /** The request's last byte arrives after all held requests failed, while the process is still running. */
    @Test
    void aRequestCompletedJustBeforeTheExitIsAnswered() throws Exception {
        Socket idle = client();
        write(client(), quote());
        upstream.nextAttempt();
        sendSigterm();
        // Idle connections are closed shortly before the exit: a head begun then is still within its own time limit.
        assertThat(idle.getInputStream().read()).isEqualTo(-1);
        Socket late = client();
        String text = quote();
        write(late, text.substring(0, 40));
        // The most recent request: once it has failed, all held requests have.
        Socket held = client();
        write(held, quote());
        upstream.nextAttempt();
        assertThat(status(held)).isEqualTo("504");
        write(late, text.substring(40));
        assertThat(status(late)).isIn("200", "503", "504");
        assertExitsBeforeSigkill();
    }
}
