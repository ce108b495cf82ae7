package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Long bodies that are streamed through the sidecar: their content, broken transfers, and slow peers. */
@Timeout(90)
class LongBodiesTest {
    private static final int LONG_BODY_BYTES = 32 << 20;
    private static final int TIMEOUT_MS = 30_000;
    /** More than the sockets to a host hold that reads nothing, and less than those to the client hold beside that. */
    private static final int HUNG_BODY_BYTES = 4_500_000;
    private static final int HUNG_BUDGET_MS = 1_000;
    /** A request is lost if its answer comes later than this after its time. */
    private static final int LATE_ANSWER_MS = 500;
    private static final AtomicInteger CALLS = new AtomicInteger();

    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable one : toClose) {
            one.close();
        }
    }

    private int host(StreamingHost.Script script) throws IOException {
        StreamingHost host = new StreamingHost(script, ends);
        toClose.add(host);
        return host.port();
    }

    private Sidecar sidecar(int... ports) throws IOException {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < ports.length; i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(ports[i]).append("\",\"az\":\"north\",\"pod_group\":0,\"state\":\"SERVING\"}");
        }
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("\"deadline_us\": \\d+", "\"deadline_us\": 20000000");
        Map<?, ?> example = (Map<?, ?>) Json.parse(text.getBytes(StandardCharsets.UTF_8));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Sidecar sidecar = new Sidecar(new Sidecar.Options(any, null, new InetSocketAddress(any.getAddress(), 1), 7, 1,
                1024,
                192, Json.parse(("{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}").getBytes()),
                SettingsReader.of(example.get("settings"), "example"), false));
        sidecar.start();
        return sidecar;
    }

    private Socket client(Sidecar sidecar) throws IOException {
        Socket socket = new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        toClose.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(String framing) {
        return "POST /pay/x HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(CALLS.incrementAndGet())
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 15000\r\nIdempotency-Key: k\r\n" + framing + "\r\n\r\n";
    }

    /** Sends a request without a body in this HTTP version to the host at this port; returns the client's reader. */
    private MessageReader sendRequest(int port, String version) throws Exception {
        Socket client = client(sidecar(port));
        send(client, head("Content-Length: 0").replace("HTTP/1.1", "HTTP/" + version));
        return new MessageReader(client.getInputStream(), MessageReader.MAX_BODY_BYTES);
    }

    private static byte[] piece(int number, int length) {
        byte[] piece = new byte[length];
        for (int i = 0; i < length; i++) {
            piece[i] = (byte) (number * 31 + i * 7);
        }
        return piece;
    }

    /** Writes a body of this length in pieces of uneven sizes, chunked or not, and returns its checksum. */
    private static long write(OutputStream out, int length, boolean chunked) throws IOException {
        CRC32 sum = new CRC32();
        for (int at = 0, n = 0; at < length; n++) {
            byte[] piece = piece(n, Math.min(length - at, n % 5 == 0 ? 3 : 40_000 + n % 7_001));
            sum.update(piece);
            out.write(chunked ? ChunkedFraming.chunkOf(piece) : piece);
            at += piece.length;
        }
        if (chunked) {
            out.write("0\r\nT: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        return sum.getValue();
    }

    /** Reads a body to its end, with a pause after each of the first 20 pieces, and returns its checksum. */
    private static long checksum(Body body, int pauseMs) throws Exception {
        CRC32 sum = new CRC32();
        byte[] piece = new byte[50_000];
        int pauses = 0;
        for (int read = body.read(piece, 0, piece.length); read >= 0; read = body.read(piece, 0, piece.length)) {
            sum.update(piece, 0, read);
            if (pauseMs > 0 && pauses++ < 20) {
                Thread.sleep(pauseMs);
            }
        }
        return sum.getValue();
    }

    private static void respondOk(Socket socket, String body) throws IOException {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    @ParameterizedTest
    @CsvSource({"false,33554432", "true,8388608", "false,65537", "true,65537", "true,65536", "false,65536"})
    void requestBodiesArriveUnchanged(boolean chunked, int length) throws Exception {
        int port = host((head, reader, socket) -> respondOk(socket,
                Long.toString(checksum(reader.requestBody(head), 0))));
        Socket client = client(sidecar(port));
        MessageReader in = new MessageReader(client.getInputStream());
        for (int i = 0; i < 2; i++) {           // the connection stays usable for a second request
            send(client, head(chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + length));
            long sum = write(client.getOutputStream(), length, chunked);
            Head answer = in.readResponseHead();
            assertThat(answer.startLine[1]).isEqualTo("200");
            assertThat(new String(in.readResponseBody(answer), StandardCharsets.ISO_8859_1)).isEqualTo("" + sum);
            assertThat(answer.closesConnection("HTTP/1.1")).isFalse();
        }
    }

    @ParameterizedTest
    @CsvSource({"length,1.1,33554432", "chunked,1.1,8388608", "end,1.1,33554432", "length,1.0,200000",
        "chunked,1.0,8388608", "end,1.0,200000", "chunked,1.1,50", "end,1.1,50", "chunked,1.0,50"})
    void answerBodiesArriveUnchanged(String framing, String version, int length) throws Exception {
        AtomicLong sum = new AtomicLong();
        int port = host((head, reader, socket) -> {
            checksum(reader.requestBody(head), 0);
            send(socket, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Kept: yes\r\n"
                    + (framing.equals("length") ? "Content-Length: " + length + "\r\n"
                    : framing.equals("chunked") ? "Transfer-Encoding: Chunked\r\n" : "") + "\r\n");
            sum.set(write(socket.getOutputStream(), length, framing.equals("chunked")));
            if (framing.equals("end")) {
                socket.close();
            }
        });
        MessageReader in = sendRequest(port, version);
        Head answer = in.readResponseHead();
        assertThat(answer.startLine[1]).isEqualTo("200");
        assertThat(answer.get("X-Kept")).isEqualTo("yes");
        if (version.equals("1.0")) {
            assertThat(answer.get("Transfer-Encoding")).as("HTTP/1.0 has no transfer encoding").isNull();
        }
        long got = checksum(in.responseBody(answer), 0);
        assertThat(got).isEqualTo(sum.get());
    }

    @Test
    void smallRequestsAreServedBesideManyLongBodiesWithSlowPeers() throws Exception {
        int port = host((head, reader, socket) -> {
            long sum = checksum(reader.requestBody(head), head.get("Slow") == null ? 0 : 20);
            if (head.get("Down") == null) {
                respondOk(socket, "" + sum);
            } else {
                send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
                write(socket.getOutputStream(), LONG_BODY_BYTES, false);
            }
        });
        Sidecar sidecar = sidecar(port, port, port);
        List<Thread> longTransfers = new ArrayList<>();
        AtomicInteger completed = new AtomicInteger();
        for (int i = 0; i < 12; i++) {
            boolean up = i % 2 == 0;
            Socket client = client(sidecar);
            Thread thread = new Thread(() -> {
                try {
                    send(client, head("Slow: 1\r\n" + (up ? "" : "Down: 1\r\n")
                            + "Content-Length: " + (up ? LONG_BODY_BYTES : 0)));
                    long sent = up ? write(client.getOutputStream(), LONG_BODY_BYTES, false) : 0;
                    MessageReader in = new MessageReader(client.getInputStream(), MessageReader.MAX_BODY_BYTES);
                    Head answer = in.readResponseHead();
                    if (answer.startLine[1].equals("503")) {
                        completed.incrementAndGet();        // refused by the balancer, which is an answer, too
                    } else if (up) {
                        String body = new String(in.readResponseBody(answer), StandardCharsets.ISO_8859_1);
                        completed.addAndGet(body.equals("" + sent) ? 1 : 0);
                    } else {
                        checksum(in.responseBody(answer), 20);
                        completed.incrementAndGet();
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            longTransfers.add(thread);
            thread.start();
        }
        Socket small = client(sidecar);
        MessageReader in = new MessageReader(small.getInputStream());
        for (int i = 0; i < 100; i++) {
            send(small, head("Content-Length: 3") + "abc");
            Head answer = in.readResponseHead();
            in.readResponseBody(answer);
            assertThat(answer.startLine[1]).isIn("200", "503");
        }
        for (Thread thread : longTransfers) {
            thread.join();
        }
        assertThat(completed.get()).isEqualTo(12);
    }

    @Test
    void longRequestGoesToAnotherHostIfTheFirstRefusesTheConnection() throws Exception {
        ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        gone.close();
        int port = host((head, reader, socket) -> respondOk(socket, "" + checksum(reader.requestBody(head), 0)));
        for (int[] ports : new int[][] {{gone.getLocalPort(), port}, {port, gone.getLocalPort()}}) {
            Socket client = client(sidecar(ports));
            send(client, head("Content-Length: 300000"));
            long sum = write(client.getOutputStream(), 300_000, false);
            MessageReader in = new MessageReader(client.getInputStream());
            Head answer = in.readResponseHead();
            assertThat(answer.startLine[1]).isEqualTo("200");
            assertThat(new String(in.readResponseBody(answer), StandardCharsets.ISO_8859_1)).isEqualTo("" + sum);
        }
    }

    /** The host closes its connection after this many bytes; once it has read all of them, the request may have run. */
    @ParameterizedTest
    @CsvSource({"200000,503", "1000000,502"})
    void hostThatClosesWithinARequestIsToldApartFromOneThatReadAll(int bytesRead, int status) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        int port = host((head, reader, socket) -> {
            requests.incrementAndGet();
            Body body = reader.requestBody(head);
            byte[] piece = new byte[1000];
            for (int sum = 0; sum < bytesRead; ) {
                sum += body.read(piece, 0, Math.min(piece.length, bytesRead - sum));
            }
            socket.close();
        });
        Socket client = client(sidecar(port, port));
        send(client, head("Content-Length: 1000000"));
        MessageReader in = new MessageReader(client.getInputStream());
        write(client.getOutputStream(), 300_000, false);
        Host.daemon(() -> {
            Thread.sleep(bytesRead < 300_000 ? 500 : 0);
            write(client.getOutputStream(), 700_000, false);
        });
        Head answer = in.readResponseHead();
        assertThat(answer.startLine[1]).isEqualTo("" + status);
        assertThat(answer.get("Retry-After") != null).isEqualTo(status == 503);
        assertThat(requests.get()).as("the request is not repeated").isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"length,1.1", "chunked,1.1", "chunked,1.0"})
    void clientNoticesAnAnswerThatBreaksOff(String framing, String version) throws Exception {
        int port = host((head, reader, socket) -> {
            reader.requestBody(head);
            send(socket, "HTTP/1.1 200 OK\r\n" + (framing.equals("length") ? "Content-Length: 500000"
                    : "Transfer-Encoding: chunked") + "\r\n\r\n");
            byte[] piece = piece(1, 200_000);
            socket.getOutputStream().write(framing.equals("length") ? piece : ChunkedFraming.chunkOf(piece));
            socket.close();
        });
        MessageReader in = sendRequest(port, version);
        Head answer = in.readResponseHead();
        assertThat(answer.startLine[1]).isEqualTo("200");
        assertThatThrownBy(() -> checksum(in.responseBody(answer), 0))
                .isInstanceOf(version.equals("1.0") ? SocketException.class
                : IOException.class);
    }

    /** Guards against the failure in which a request's time counted only from when its last byte had been read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void longRequestWhoseHostHangsIsAnsweredInTimeFromItsLastByteOn(boolean chunked) throws Exception {
        CountDownLatch testEnds = new CountDownLatch(1);
        toClose.add(testEnds::countDown);
        int port = host((head, reader, socket) -> testEnds.await());
        Socket client = client(sidecar(port));
        send(client, head(chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + HUNG_BODY_BYTES)
                .replaceAll("X-Budget-Ms: \\d+", "X-Budget-Ms: " + HUNG_BUDGET_MS));
        write(client.getOutputStream(), HUNG_BODY_BYTES, chunked);
        long writtenNs = System.nanoTime();
        Head answer = new MessageReader(client.getInputStream()).readResponseHead();
        assertThat(System.nanoTime() - writtenNs).as("ns from the last byte to the answer")
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(HUNG_BUDGET_MS + LATE_ANSWER_MS));
        assertThat(answer.startLine[1]).startsWith("50");
    }

    @Test
    void clientThatStopsSendingGets408AndItsHostConnectionIsClosed() throws Exception {
        int port = host((head, reader, socket) -> checksum(reader.requestBody(head), 0));
        Socket client = client(sidecar(port));
        send(client, head("Content-Length: 1000000"));
        client.getOutputStream().write(new byte[70_000]);
        MessageReader in = new MessageReader(client.getInputStream());
        assertThat(in.readResponseHead().startLine[1]).isEqualTo("408");
        assertThat(ends.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void departureOfTheClientEndsTheAttempt(boolean whileItSends) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        int port = host((head, reader, socket) -> {
            begun.countDown();
            if (whileItSends) {
                checksum(reader.requestBody(head), 0);
            } else {
                send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
                write(socket.getOutputStream(), LONG_BODY_BYTES, false);
            }
        });
        Socket client = client(sidecar(port));
        send(client, head("Content-Length: " + (whileItSends ? 1_000_000 : 0)));
        client.getOutputStream().write(new byte[whileItSends ? 100_000 : 0]);
        begun.await();
        client.close();
        assertThat(ends.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
    }

    @Test
    void answerBeforeTheEndOfTheRequestClosesTheClientsConnection() throws Exception {
        int port = host((head, reader, socket) -> {
            send(socket, "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
            reader.requestBody(head).read(new byte[1000], 0, 1000);
            socket.close();
        });
        Socket client = client(sidecar(port));
        send(client, head("Content-Length: 5000000"));
        Host.daemon(() -> write(client.getOutputStream(), 5_000_000, false));
        MessageReader in = new MessageReader(client.getInputStream());
        Head answer = in.readResponseHead();
        assertThat(answer.startLine[1]).isEqualTo("503");
        assertThat(answer.closesConnection("HTTP/1.1")).isTrue();
        in.readResponseBody(answer);
        assertThat(in.awaitData()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\nPOST /pay/x HTTP/1.1", "POST http://service.internal/pay/x HTTP/1.1",
        "POST /pay/x HTTP/1.1\r\nExpect: 100-continue"})
    void requestFormsThatServersMustAcceptAreAccepted(String start) throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        int port = host((head, reader, socket) -> {
            targets.add(head.startLine[1]);
            respondOk(socket, "" + checksum(reader.requestBody(head), 0));
        });
        Socket client = client(sidecar(port));
        send(client, head("Content-Length: 3").replace("POST /pay/x HTTP/1.1", start));
        InputStream raw = client.getInputStream();
        if (start.contains("Expect")) {
            assertThat(new String(raw.readNBytes(25), StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 100 ");
        }
        send(client, "abc");
        assertThat(new MessageReader(raw).readResponseHead().startLine[1]).isEqualTo("200");
        assertThat(targets.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("/pay/x");
    }

    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked\r\nContent-Length: 5", "Transfer-Encoding: gzip, chunked",
        "Content-Length: 5\r\nContent-Length: 6", "Content-Length: +5", "Transfer-Encoding : chunked"})
    void ambiguousFramingIsRefused(String framing) throws Exception {
        int port = host((head, reader, socket) -> ends.add("came"));
        Socket client = client(sidecar(port));
        send(client, head(framing) + "0\r\n\r\n");
        assertThat(new MessageReader(client.getInputStream()).readResponseHead().startLine[1]).isEqualTo("400");
        assertThat(ends).isEmpty();
    }
}
