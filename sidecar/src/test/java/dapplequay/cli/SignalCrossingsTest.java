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

/** SIGTERM and SIGHUP against all that a process may be in the middle of. Each test leads one to the other. */
@Timeout(120)
class SignalCrossingsTest extends ClosesWhatItOpened {
    private static final int PATIENCE_MS = 20_000;
    private static final int ENDED_BY_SIGTERM = 128 + 15;
    private static final int HALF = 40;

    @TempDir
    private Path folder;
    private Upstream upstream;
    private Program program;
    private int calls;

    /** Deadlines so long that the time of an ending is the platform's longest; both servers are the test's. */
    private String settings() throws IOException {
        upstream = upstream == null ? open(new Upstream()) : upstream;
        return Files.readString(Path.of("example/config.json")).replace("127.0.0.1:7070", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:1").replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + upstream.port())
                .replaceAll("\"aim_us\": \\d+", "\"aim_us\": 1000000").replace("\"late_worth\": 0.0", "\"late_worth\": 0.5")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000");
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    private Program start(Path config, String... launcher) throws Exception {
        program = open(new Program(config, null, Program.freePort(), false, List.of(launcher)));
        return program;
    }

    /** As the log says. */
    private InetSocketAddress address() throws Exception {
        program.awaitLog("serving on");
        Matcher port = Pattern.compile("serving on [0-9.]+:(\\d+)").matcher(String.join("\n", program.log));
        assertThat(port.find()).isTrue();
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port.group(1)));
    }

    /** A client's connection, with the id of the last request on it. */
    private final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final MessageReader reader;
        private String id;
        private String rest;

        Client(InetSocketAddress at) throws IOException {
            socket.connect(at, PATIENCE_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS);
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

        Client quotes() throws IOException {
            write(start("GET", "quote") + "\r\n");
            return this;
        }

        Client beginsToQuote() throws IOException {
            String text = start("GET", "quote") + "\r\n";
            write(text.substring(0, HALF));
            rest = text.substring(HALF);
            return this;
        }

        /** All but the last byte, once the sidecar has said that it has the head. */
        Client beginsToPay() throws IOException {
            write(start("POST", "pay") + "Idempotency-Key: k\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            String goOn = "HTTP/1.1 100 Continue\r\n\r\n";
            assertThat(new String(socket.getInputStream().readNBytes(goOn.length()), StandardCharsets.ISO_8859_1))
                    .isEqualTo(goOn);
            write("bod");
            rest = "y";
            return this;
        }

        void sendsTheRest() throws IOException {
            write(rest);
        }

        int answer() throws IOException {
            Head head = reader.readResponseHead();
            String body = new String(reader.readResponseBody(head), StandardCharsets.ISO_8859_1);
            int status = Integer.parseInt(head.startLine[1]);
            assertThat(status != 200 || body.equals(id)).as(body).isTrue();
            return status;
        }

        void isServed() throws Exception {
            upstream.serve(id);
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

    private long told(String part) {
        return program.log.stream().filter(line -> line.contains(part)).count();
    }

    private long invalid() {
        return told("configuration kept as it was");
    }

    private long taken() {
        return told("configuration read again");
    }

    private void awaitTaken(int times) throws Exception {
        Program.await("taken " + times, () -> taken() == times);
    }

    private void awaitEnd() throws Exception {
        assertThat(program.process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
        Program.await("the last line", () -> told("ended") > 0);
    }

    @Test
    void whatIsUnderWayAtSigtermIsAnsweredAndNeitherASecondOneNorAReloadNorADrainChangesThat() throws Exception {
        Path config = file(settings());
        start(config).awaitReady();
        Client inHead = client().beginsToQuote();
        Client inBody = client().beginsToPay();
        Client kept = client().quotes();
        kept.isServed();
        Client retried = client().quotes();
        Upstream.Attempt first = upstream.next();
        Client held = client().quotes();
        Upstream.Attempt last = upstream.next();
        Client half = client().quotes();
        Upstream.Attempt begun = upstream.next();
        begun.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
        Head answer = half.reader.readResponseHead();
        program.signal("HUP");
        program.signal("TERM");
        program.awaitLog("ending: ");
        awaitTaken(1);

        first.reset();
        retried.isServed();
        inHead.sendsTheRest();
        inHead.isServed();
        inBody.sendsTheRest();
        inBody.isServed();
        begun.write("x".repeat(100_000));
        assertThat(half.reader.readResponseBody(answer)).hasSize(200_000);
        for (int i = 0; i < 20; i++) {
            Client late = client().quotes();
            late.isServed();
        }
        program.signal("TERM");
        Files.writeString(config, settings().replace("\"name\": \"pay\"", "\"name\": \"buy\""));
        program.signal("HUP");
        awaitTaken(2);
        kept.quotes().isServed();
        assertThat(program.call("GET /-/ready")).isEqualTo(503);
        assertThat(program.call("PUT /-/drain")).isEqualTo(200);
        assertThat(program.call("PUT /-/resume")).isEqualTo(409);
        last.serve();
        assertThat(held.answer()).isEqualTo(200);
        awaitEnd();
        assertThat(program.log).noneMatch(line -> line.contains("SEVERE"));
    }

    /** Its host is full when the signal comes, and lets it in after. */
    @Test
    void aConnectUnderWayAtSigtermIsWaitedFor() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> crowd = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                crowd.add(open(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort())));
            }
            String text = settings().replace("\"connect_timeout_us\": 250000", "\"connect_timeout_us\": 10000000");
            start(file(text.replace("127.0.0.1:" + upstream.port(), "127.0.0.1:" + full.getLocalPort()))).awaitReady();
            Client client = client().quotes();
            String connecting = String.format(":%04X 02 ", full.getLocalPort());
            Program.await("connects", () -> Files.readString(Path.of("/proc/net/tcp")).contains(connecting)
                    || Files.readString(Path.of("/proc/net/tcp6")).contains(connecting));
            program.signal("TERM");
            program.awaitLog("ending: ");
            for (int i = 0; i < crowd.size(); i++) {
                full.accept().close();
            }
            Socket attempt = open(full.accept());
            MessageReader reader = new MessageReader(attempt.getInputStream());
            new Upstream.Attempt(reader.readRequestHead().get("X-Call-Id"), attempt).serve();
            assertThat(client.answer()).isEqualTo(200);
            client.close();
            awaitEnd();
        }
    }

    /** The process stands in the reading of its configuration, a pipe that the test has the other end of. */
    @Test
    void sighupAndSigtermBeforeTheProcessServes() throws Exception {
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
        awaitTaken(1);
        Client client = client().quotes();
        assertThat(client.answer()).as("a class that went").isEqualTo(400);
        client.write(client.start("GET", "offer") + "\r\n");
        client.isServed();

        Files.delete(pipe);
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        start(pipe);
        try (OutputStream reads = Files.newOutputStream(pipe)) {
            program.signal("TERM");
            assertThat(program.process.waitFor(60, TimeUnit.SECONDS)).isTrue();
            assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
        }
    }

    /** Between the management address and the clients', while made-up requests are walked. */
    @Test
    void sigtermInAStartEndsTheProcessByItself() throws Exception {
        start(file(settings()));
        Program.await("a first answer", () -> program.call("GET /-/ready") > 0);
        program.signal("TERM");
        awaitEnd();
    }

    /** The log's reader has gone to sleep: a line of more than a pipe holds keeps whoever writes it. */
    @Test
    void aLogThatNobodyReadsNeitherStopsTheServiceNorTheEnd() throws Exception {
        Path pipe = folder.resolve("log");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        open(new RandomAccessFile(pipe.toFile(), "rw"));
        int port = Program.freePort();
        Path config = file(settings().replace("127.0.0.1:0", "127.0.0.1:" + port));
        start(config, "sh", "-c", "exec \"$@\" 2>" + pipe, "sh").awaitReady();
        Files.writeString(config, settings().replace("\"127.0.0.1:0\"", "\"" + "x".repeat(300_000) + "\""));
        program.signal("HUP");
        Program.await("turned down", () -> program.ask("GET /-/metrics").contains("cfg_invalid_total 1"));
        Client client = open(new Client(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
        client.quotes().isServed();
        program.signal("TERM");
        Program.await("ending", () -> program.call("GET /-/ready") == 503);
        client.quotes().isServed();
        client.close();
        assertThat(program.process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
    }

    /** Too large to be read at all: the reading fails with an error, and no less than this is told. */
    @Test
    void aFileThatNoMemoryHoldsIsTurnedDownAndTheNextOneTaken() throws Exception {
        Path config = file(settings());
        start(config).awaitReady();
        Path huge = folder.resolve("huge");
        try (RandomAccessFile file = new RandomAccessFile(huge.toFile(), "rw")) {
            file.setLength(3_000_000_000L);
        }
        Files.move(huge, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        program.signal("HUP");
        Program.await("turned down", () -> invalid() == 1);
        Files.delete(config);
        file(settings());
        program.signal("HUP");
        awaitTaken(1);
        client().quotes().isServed();
    }

    @Test
    void requestsUnderWayKeepWhatTheyCameUnderThroughAReload() throws Exception {
        String text = settings();
        Path config = file(text);
        start(config).awaitReady();
        Client gone = client().beginsToQuote();
        Client kept = client().quotes();
        Upstream.Attempt first = upstream.next();
        Files.writeString(config, text.substring(0, text.length() / 2));
        program.signal("HUP");
        Program.await("half a file", () -> invalid() == 1);
        // The class goes, another has but one attempt, less time than has passed, and its tenant is gone.
        Files.writeString(config, text.replace("\"quote\"", "\"offer\"").replace("\"send_cap\": 3", "\"send_cap\": 1")
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 1000").replace("\"shop-a\"", "\"shop-c\"")
                .replace("\"balancers\": 1", "\"balancers\": 30"));
        for (int i = 0; i < 5; i++) {
            program.signal("HUP");
        }
        Program.await("taken", () -> taken() > 0);
        gone.sendsTheRest();
        assertThat(gone.answer()).as("clear, and not lost").isEqualTo(400);
        first.reset();
        Upstream.Attempt second = upstream.next();
        assertThat(second.id()).isEqualTo(kept.id);
        second.serve();
        assertThat(kept.answer()).isEqualTo(200);
        kept.write(kept.start("GET", "offer") + "\r\n");
        assertThat(kept.answer()).as("the tenant went").isEqualTo(403);
        long before = taken();
        file(text);
        program.signal("HUP");
        Program.await("as before", () -> taken() > before);
        kept.quotes().isServed();
    }
}
