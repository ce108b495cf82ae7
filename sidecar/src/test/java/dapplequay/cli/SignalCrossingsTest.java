package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.RandomAccessFile;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** SIGTERM and SIGHUP while requests, a connect, a start or a reload are in progress. */
@Timeout(120)
class SignalCrossingsTest extends ClosesWhatItOpened {
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int ENDED_BY_SIGTERM = 128 + 15;
    private static final int SPLIT_AT = 40;

    @TempDir
    private Path folder;
    private ManualServer upstream;
    private SidecarProcess program;
    private int calls;

    /** Deadlines are so long that the time to exit is the platform's longest; both servers are the test's. */
    private String settings() throws IOException {
        upstream = upstream == null ? open(new ManualServer()) : upstream;
        return Files.readString(Path.of("example/config.json")).replace("127.0.0.1:7070", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:1")
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + upstream.port())
                .replaceAll("\"aim_us\": \\d+", "\"aim_us\": 1000000")
                .replace("\"late_worth\": 0.0", "\"late_worth\": 0.5")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000");
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    private SidecarProcess start(Path config, String... launcher) throws Exception {
        program = open(new SidecarProcess(config, null, SidecarProcess.freePort(), false, List.of(launcher)));
        return program;
    }

    /** Returns the listening address from the log. */
    private InetSocketAddress address() throws Exception {
        program.awaitLog("serving on");
        Matcher port = Pattern.compile("serving on [0-9.]+:(\\d+)").matcher(String.join("\n", program.log));
        assertThat(port.find()).isTrue();
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port.group(1)));
    }

    /** A client connection, with the id of the last request sent on it. */
    private final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final MessageReader reader;
        private String id;
        private String rest;

        Client(InetSocketAddress at) throws IOException {
            socket.connect(at, READ_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            reader = new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
        }

        private void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private String start(String method, String service) {
            id = Integer.toHexString(++calls);
            return method + " /" + service + "/1 HTTP/1.1\r\nX-Call-Id: " + id
                    + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 15000\r\n";
        }

        Client sendQuote() throws IOException {
            write(start("GET", "quote") + "\r\n");
            return this;
        }

        Client startQuote() throws IOException {
            String text = start("GET", "quote") + "\r\n";
            write(text.substring(0, SPLIT_AT));
            rest = text.substring(SPLIT_AT);
            return this;
        }

        /** Sends a payment but its last byte, after the sidecar's 100 Continue. */
        Client startPay() throws IOException {
            write(start("POST", "pay") + "Idempotency-Key: k\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            String continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
            assertThat(new String(socket.getInputStream().readNBytes(continueResponse.length()),
                    StandardCharsets.ISO_8859_1))
                    .isEqualTo(continueResponse);
            write("bod");
            rest = "y";
            return this;
        }

        void sendRest() throws IOException {
            write(rest);
        }

        int answer() throws IOException {
            Head head = reader.readResponseHead();
            String body = new String(reader.readResponseBody(head), StandardCharsets.ISO_8859_1);
            int status = Integer.parseInt(head.startLine[1]);
            assertThat(status != 200 || body.equals(id)).as(body).isTrue();
            return status;
        }

        void assertServed() throws Exception {
            upstream.serveNext(id);
            assertThat(answer()).isEqualTo(200);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private Client client() throws Exception {
        return open(new Client(address()));
    }

    private long logLineCount(String part) {
        return program.log.stream().filter(line -> line.contains(part)).count();
    }

    private long rejectedReloads() {
        return logLineCount("configuration kept as it was");
    }

    private long reloads() {
        return logLineCount("configuration read again");
    }

    private void awaitReloads(int times) throws Exception {
        SidecarProcess.await("reloads: " + times, () -> reloads() == times);
    }

    private void awaitExit() throws Exception {
        assertThat(program.process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
        SidecarProcess.await("the last log line", () -> logLineCount("ended") > 0);
    }

    @Test
    void requestsInProgressAtSigtermAreAnsweredDespiteASecondSigtermAReloadAndADrain() throws Exception {
        Path config = file(settings());
        start(config).awaitReady();
        Client inHead = client().startQuote();
        Client inBody = client().startPay();
        Client kept = client().sendQuote();
        kept.assertServed();
        Client retried = client().sendQuote();
        ManualServer.Attempt first = upstream.nextAttempt();
        Client held = client().sendQuote();
        ManualServer.Attempt last = upstream.nextAttempt();
        Client half = client().sendQuote();
        ManualServer.Attempt begun = upstream.nextAttempt();
        begun.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
        Head answer = half.reader.readResponseHead();
        program.signal("HUP");
        program.signal("TERM");
        program.awaitLog("ending: ");
        awaitReloads(1);

        first.reset();
        retried.assertServed();
        inHead.sendRest();
        inHead.assertServed();
        inBody.sendRest();
        inBody.assertServed();
        begun.write("x".repeat(100_000));
        assertThat(half.reader.readResponseBody(answer)).hasSize(200_000);
        for (int i = 0; i < 20; i++) {
            Client late = client().sendQuote();
            late.assertServed();
        }
        program.signal("TERM");
        Files.writeString(config, settings().replace("\"name\": \"pay\"", "\"name\": \"buy\""));
        program.signal("HUP");
        awaitReloads(2);
        kept.sendQuote().assertServed();
        assertThat(program.managementStatus("GET /-/ready")).isEqualTo(503);
        assertThat(program.managementStatus("PUT /-/drain")).isEqualTo(200);
        assertThat(program.managementStatus("PUT /-/resume")).isEqualTo(409);
        last.serve();
        assertThat(held.answer()).isEqualTo(200);
        awaitExit();
        assertThat(program.log).noneMatch(line -> line.contains("SEVERE"));
    }

    /** The host's accept queue is full at SIGTERM, and takes the connection afterwards. */
    @Test
    void aConnectInProgressAtSigtermIsAwaited() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> crowd = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                crowd.add(open(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort())));
            }
            String text = settings().replace("\"connect_timeout_us\": 250000", "\"connect_timeout_us\": 10000000");
            start(file(text.replace("127.0.0.1:" + upstream.port(), "127.0.0.1:" + full.getLocalPort()))).awaitReady();
            Client client = client().sendQuote();
            String connecting = String.format(":%04X 02 ", full.getLocalPort());
            SidecarProcess.await("connect in progress",
                    () -> Files.readString(Path.of("/proc/net/tcp")).contains(connecting)
                    || Files.readString(Path.of("/proc/net/tcp6")).contains(connecting));
            program.signal("TERM");
            program.awaitLog("ending: ");
            for (int i = 0; i < crowd.size(); i++) {
                full.accept().close();
            }
            Socket attempt = open(full.accept());
            MessageReader reader = new MessageReader(attempt.getInputStream());
            new ManualServer.Attempt(reader.readRequestHead().get("X-Call-Id"), attempt).serve();
            assertThat(client.answer()).isEqualTo(200);
            client.close();
            awaitExit();
        }
    }

    /** The process blocks while reading its configuration from a pipe that the test writes to. */
    @Test
    void signalsBeforeTheProcessServesTakeEffect() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        Path renamed = Files.writeString(folder.resolve("renamed"), settings().replace("\"quote\"", "\"offer\""));
        start(pipe);
        try (OutputStream reads = Files.newOutputStream(pipe)) {
            Files.move(renamed, pipe, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            program.signal("HUP");
            reads.write(settings().getBytes(StandardCharsets.UTF_8));
        }
        program.awaitReady();
        awaitReloads(1);
        Client client = client().sendQuote();
        assertThat(client.answer()).as("removed class").isEqualTo(400);
        client.write(client.start("GET", "offer") + "\r\n");
        client.assertServed();

        Files.delete(pipe);
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        start(pipe);
        try (OutputStream reads = Files.newOutputStream(pipe)) {
            program.signal("TERM");
            assertThat(program.process.waitFor(60, TimeUnit.SECONDS)).isTrue();
            assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
        }
    }

    /** SIGTERM arrives after the management address opens and before the clients' does, during the warm-up. */
    @Test
    void sigtermDuringWarmUpEndsTheProcess() throws Exception {
        start(file(settings()));
        SidecarProcess.await("first management response", () -> program.managementStatus("GET /-/ready") > 0);
        program.signal("TERM");
        awaitExit();
    }

    /** Nothing reads the log's pipe, and a line longer than the pipe's buffer blocks its writer. */
    @Test
    void aLogThatNobodyReadsBlocksNeitherRequestsNorTheExit() throws Exception {
        Path pipe = folder.resolve("log");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        open(new RandomAccessFile(pipe.toFile(), "rw"));
        int port = SidecarProcess.freePort();
        Path config = file(settings().replace("127.0.0.1:0", "127.0.0.1:" + port));
        start(config, "sh", "-c", "exec \"$@\" 2>" + pipe, "sh").awaitReady();
        Files.writeString(config, settings().replace("\"127.0.0.1:0\"", "\"" + "x".repeat(300_000) + "\""));
        program.signal("HUP");
        SidecarProcess.await("configuration rejected", () -> program.managementResponse("GET /-/metrics")
                .contains("cfg_invalid_total 1"));
        Client client = open(new Client(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
        client.sendQuote().assertServed();
        program.signal("TERM");
        SidecarProcess.await("process exiting", () -> program.managementStatus("GET /-/ready") == 503);
        client.sendQuote().assertServed();
        client.close();
        assertThat(program.process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
    }

    /** Reading the file fails with an Error, which has to be logged like an invalid file. */
    @Test
    void aConfigurationTooLargeForMemoryIsRejectedAndTheNextOneRead() throws Exception {
        Path config = file(settings());
        start(config).awaitReady();
        Path huge = folder.resolve("huge");
        try (RandomAccessFile file = new RandomAccessFile(huge.toFile(), "rw")) {
            file.setLength(3_000_000_000L);
        }
        Files.move(huge, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        program.signal("HUP");
        SidecarProcess.await("configuration rejected", () -> rejectedReloads() == 1);
        Files.delete(config);
        file(settings());
        program.signal("HUP");
        awaitReloads(1);
        client().sendQuote().assertServed();
    }

    @Test
    void requestsInProgressKeepTheirSettingsThroughAReload() throws Exception {
        String text = settings();
        Path config = file(text);
        start(config).awaitReady();
        Client gone = client().startQuote();
        Client kept = client().sendQuote();
        ManualServer.Attempt first = upstream.nextAttempt();
        Files.writeString(config, text.substring(0, text.length() / 2));
        program.signal("HUP");
        SidecarProcess.await("truncated file rejected", () -> rejectedReloads() == 1);
        // The class is removed, another gets one attempt and a deadline already past, and its tenant is removed.
        Files.writeString(config, text.replace("\"quote\"", "\"offer\"").replace("\"send_cap\": 3", "\"send_cap\": 1")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 1000").replace("\"shop-a\"", "\"shop-c\"")
                .replace("\"balancers\": 1", "\"balancers\": 30"));
        for (int i = 0; i < 5; i++) {
            program.signal("HUP");
        }
        SidecarProcess.await("configuration reloaded", () -> reloads() > 0);
        gone.sendRest();
        assertThat(gone.answer()).as("answered, not lost").isEqualTo(400);
        first.reset();
        ManualServer.Attempt second = upstream.nextAttempt();
        assertThat(second.id()).isEqualTo(kept.id);
        second.serve();
        assertThat(kept.answer()).isEqualTo(200);
        kept.write(kept.start("GET", "offer") + "\r\n");
        assertThat(kept.answer()).as("removed tenant").isEqualTo(403);
        long reloadsBefore = reloads();
        file(text);
        program.signal("HUP");
        SidecarProcess.await("original configuration reloaded", () -> reloads() > reloadsBefore);
        kept.sendQuote().assertServed();
    }
}
