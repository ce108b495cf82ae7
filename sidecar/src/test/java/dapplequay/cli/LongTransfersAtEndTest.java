package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Long responses and requests in progress at SIGTERM, which take longer than the platform leaves at least. */
@Timeout(60)
class LongTransfersAtEndTest extends ClosesWhatItOpened {
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int DEADLINE_MS = 1_000;
    /** The least time from SIGTERM to SIGKILL, milliseconds. */
    private static final long SIGKILL_AFTER_MS = DEADLINE_MS + 700;
    /** How long a response takes that is complete only after that. */
    private static final long LATER_MS = SIGKILL_AFTER_MS + 1_000;
    private static final int HALF_BYTES = 100_000;

    @TempDir
    private Path folder;
    private ManualServer upstream;
    private SidecarProcess program;
    private int port;
    private int calls;
    private long sigtermNs;

    /** {@code inheritsSocket}: the listening socket is the platform's, from which a successor accepts, too. */
    private void start(boolean inheritsSocket) throws Exception {
        upstream = open(new ManualServer());
        port = SidecarProcess.freePort();
        Path config = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:7070", "127.0.0.1:" + port).replace("127.0.0.1:8500", "127.0.0.1:1")
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + upstream.port())
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": " + DEADLINE_MS * 1_000));
        ServerSocketChannel inherited = inheritsSocket ? open(SidecarProcess.platformSocket()) : null;
        program = open(new SidecarProcess(config, inherited, SidecarProcess.freePort()));
        program.awaitReady();
        port = inheritsSocket ? inherited.socket().getLocalPort() : port;
    }

    private Socket client() throws IOException {
        Socket socket = open(new Socket(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String request(String method, String path, String fields) {
        return method + " /" + path + "/1 HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(++calls)
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: " + DEADLINE_MS + "\r\n" + fields + "\r\n";
    }

    private static MessageReader reader(Socket socket) throws IOException {
        return new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
    }

    private static String half(boolean chunked) {
        String bytes = "x".repeat(HALF_BYTES);
        return chunked ? Integer.toHexString(HALF_BYTES) + "\r\n" + bytes + "\r\n" : bytes;
    }

    private static String begun(String framing) {
        return "HTTP/1.1 200 OK\r\n" + switch (framing) {
            case "length" -> "Content-Length: " + 2 * HALF_BYTES + "\r\n";
            case "chunked" -> "Transfer-Encoding: chunked\r\n";
            default -> "";
        } + "\r\n" + half(framing.equals("chunked"));
    }

    private void sendSigterm() throws Exception {
        sigtermNs = System.nanoTime();
        program.signal("TERM");
    }

    private long sinceSigtermMs() {
        return (System.nanoTime() - sigtermNs) / 1_000_000;
    }

    private void sleepUntilAfterSigterm(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - sinceSigtermMs()));
    }

    /** Long responses were cut off 2.55 s after SIGTERM, though the platform left the process time to complete them. */
    @ParameterizedTest
    @CsvSource({"length,1,false", "chunked,3,true", "end,2,false"})
    void aLongResponseInProgressIsCompletedAndAllElseEndsInTime(String framing, int signals, boolean inheritsSocket)
            throws Exception {
        start(inheritsSocket);
        Socket idle = client();
        Socket held = client();
        write(held, request("GET", "quote", ""));
        upstream.nextAttempt();
        Socket reads = client();
        write(reads, request("GET", "quote", ""));
        ManualServer.Attempt attempt = upstream.nextAttempt();
        attempt.write(begun(framing));
        MessageReader reader = reader(reads);
        Head head = reader.readResponseHead();
        assertThat(head.startLine[1]).isEqualTo("200");
        Body body = reader.responseBody(head);

        sendSigterm();
        for (int i = 1; i < signals; i++) {
            program.signal(i % 2 == 0 ? "HUP" : "TERM");
        }
        assertThat(reader(held).readResponseHead().startLine[1]).isIn("503", "504");
        assertThat(idle.getInputStream().read()).isEqualTo(-1);
        program.awaitLog("long transfers in progress: 1");
        assertThat(sinceSigtermMs()).as("ms from SIGTERM until all else has ended").isLessThan(SIGKILL_AFTER_MS);
        if (!inheritsSocket) {
            assertThat(catchThrowable(this::client)).as("none is accepted").isInstanceOf(ConnectException.class);
        }
        assertThat(program.managementStatus("GET /-/ready")).as("the management address is free").isEqualTo(-1);
        program.signal("TERM");

        sleepUntilAfterSigterm(LATER_MS);
        attempt.write(half(framing.equals("chunked")) + (framing.equals("chunked") ? "0\r\n\r\n" : ""));
        if (framing.equals("end")) {
            attempt.socket().close();
        }
        byte[] piece = new byte[HALF_BYTES];
        int sum = 0;
        for (int read = 0; read >= 0; read = body.read(piece, 0, piece.length)) {
            sum += read;
        }
        assertThat(sum).isEqualTo(2 * HALF_BYTES);
        reads.close();
        assertThat(program.process.waitFor(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(program.process.exitValue()).isEqualTo(128 + 15);
    }

    /** Its answer was lost, as the process ended and reset the connection while the client was still sending. */
    @Test
    void aLongRequestInProgressGetsItsAnswerHoweverLateItsClientReads() throws Exception {
        start(false);
        Socket client = client();
        write(client, request("POST", "pay", "Idempotency-Key: k\r\nContent-Length: 300000\r\n"));
        OutputStream out = client.getOutputStream();
        out.write(new byte[100_000]);
        sendSigterm();
        for (int i = 0; i < 20; i++) {
            sleepUntilAfterSigterm(i * LATER_MS / 20);
            out.write(new byte[10_000]);
        }
        assertThat(reader(client).readResponseHead().startLine[1]).isIn("503", "504");
        client.close();
        assertThat(program.process.waitFor(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }
}
