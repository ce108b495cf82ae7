package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Long responses whose host stalls, whose client leaves, or whose client sends more bytes after its request. The clock
 * is stopped and moved by the tests only, so nothing times out unless a test says so.
 */
@Timeout(90)
class ResponseRelayTest extends ClosesWhatItOpened {
    private static final int TIMEOUT_S = 6;
    private static final int BUDGET_MS = 1_000;
    private static final long GRACE_US = 400_000;
    /** Real time for several checks, for tests that show that these end nothing. */
    private static final long SEVERAL_CHECKS_MS = 6 * ResponseRelay.CHECK_INTERVAL_MS;
    private static final int LENGTH = 100_000;
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    /** Less than a long body, and in the time of these tests as fast as one comes at least. */
    private static final int PACED_BYTES = 40_000;

    private final CountDownLatch continueHost = new CountDownLatch(1);
    private final CountDownLatch secondThreadReads = new CountDownLatch(1);
    private final CountDownLatch connectionEnds = new CountDownLatch(1);
    /** How long, by the clock, each write to the client takes from the response's start on, in microseconds. */
    private long clientWriteUs;
    private ClientRig rig;
    private Host.Client client;
    private MessageReader reader;

    @AfterEach
    void releaseHost() {
        continueHost.countDown();
    }

    private static void write(Host.ReceivedRequest to, String text) throws IOException {
        to.socket().getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the start of a host's response: its head alone, or with some of its body. */
    private static String begun(String framing) {
        String start = "HTTP/1.1 200 OK\r\n";
        return switch (framing) {
            case "head" -> start + "Content-Length: " + LENGTH + "\r\n\r\n";
            case "length" -> begun("head") + "hello";
            case "end" -> start + "\r\nhello";
            case "much" -> begun("chunked") + chunk("x".repeat(70_000));
            case "paced" -> begun("chunked") + chunk("x".repeat(PACED_BYTES));
            case "long chunk" -> start + CHUNKED + Integer.toHexString(LENGTH) + ";size=known\r\nhello";
            case "short chunk" -> start + CHUNKED + Integer.toHexString(MessageReader.SHORT_BODY_BYTES) + "\r\nhello";
            case "second chunk" -> begun("chunked") + Integer.toHexString(LENGTH) + "\r\n";
            default -> start + CHUNKED + chunk("hello");
        };
    }

    /** Sends the start of a response, and the rest once the test says so; if {@code rest} is null, never sends it. */
    private Host host(String begun, String rest) throws IOException {
        return open(new Host((head, seen) -> {
            write(seen, begun);
            if (rest == null) {
                seen.socket().getInputStream().read();
                return null;
            }
            continueHost.await();
            write(seen, rest);
            seen.socket().close();
            return null;
        }));
    }

    /** Sends a request and returns the response body, of which {@code least} bytes have been read. */
    private Body request(Host host, String version, int least) throws Exception {
        rig = open(new ClientRig(new ClientRig.Hooks() {
            @Override
            void beforeRead() {
                if (!Thread.currentThread().getName().equals("client")) {
                    secondThreadReads.countDown();
                }
            }

            @Override
            void beforeWrite(ClientRig.Accepted connection) {
                rig.stopClock(clientWriteUs);
            }

            @Override
            void beforeClose() {
                connectionEnds.countDown();
            }
        }, 100, host.port()));
        rig.stopClock(0);
        client = rig.client();
        client.send(ClientRig.pay("long", BUDGET_MS, 0).replace("HTTP/1.1", "HTTP/" + version));
        reader = new MessageReader(client.socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
        Head head = reader.readResponseHead();
        assertThat(head.startLine[1]).isEqualTo("200");
        Body body = reader.responseBody(head);
        read(body, least);
        return body;
    }

    /** Returns once another thread than the one that read the request watches the client. */
    private void awaitSecondThread() throws InterruptedException {
        assertThat(secondThreadReads.await(TIMEOUT_S, TimeUnit.SECONDS))
                .as("another thread reads from the client").isTrue();
    }

    private static void read(Body body, int bytes) throws IOException {
        byte[] piece = new byte[64 * 1024];
        for (int sum = 0; sum < bytes; ) {
            sum += body.read(piece, 0, Math.min(piece.length, bytes - sum));
        }
    }

    private static int readRest(Body body) throws IOException {
        byte[] piece = new byte[64 * 1024];
        int sum = 0;
        for (int read = 0; read >= 0; read = body.read(piece, 0, piece.length)) {
            sum += read;
        }
        return sum;
    }

    @ParameterizedTest
    @CsvSource({"chunked,1.1", "chunked,1.0", "end,1.1", "end,1.0", "head,1.1", "short chunk,1.1"})
    void responseOfAStalledHostEndsInTimeAndIsSeenAsTruncated(String framing, String version) throws Exception {
        Host host = host(begun(framing), null);
        Body body = request(host, version, framing.equals("head") ? 0 : 5);
        awaitSecondThread();
        rig.stopClock(BUDGET_MS * 1_000 + GRACE_US);
        assertThat(catchThrowable(() -> readRest(body))).isNotInstanceOf(SocketTimeoutException.class)
                .isInstanceOf(version.equals("1.0") ? SocketException.class : IOException.class);
        assertThat(host.closed.poll(TIMEOUT_S, TimeUnit.SECONDS)).as("the attempt is given up").isTrue();
    }

    /**
     * A normal close made a response that extends to the end of the connection look complete. The system closes the
     * sockets of a process that is killed.
     */
    @ParameterizedTest
    @CsvSource({"chunked,1.0", "end,1.0", "end,1.1", "length,1.1"})
    void responseCutShortByAKillIsSeenAsTruncated(String framing, String version) throws Exception {
        Body body = request(host(begun(framing), null), version, 5);
        rig.failHeldRequests(0);
        rig.accepted().close();
        assertThat(catchThrowable(() -> readRest(body))).isNotInstanceOf(SocketTimeoutException.class)
                .isInstanceOf(version.equals("1.0") ? SocketException.class : IOException.class);
    }

    /** A shutdown cut off long responses that their hosts still gave, long before the platform's kill. */
    @ParameterizedTest
    @CsvSource({"chunked,1.0", "end,1.0", "end,1.1", "length,1.1"})
    void longResponseContinuesAfterAShutdownsTime(String framing, String version) throws Exception {
        int left = LENGTH - 5;
        String rest = "x".repeat(left);
        Body body = request(host(begun(framing), framing.equals("chunked") ? chunk(rest) + "0\r\n\r\n" : rest), version,
                5);
        Host.Client idle = rig.client();
        idle.send("GET /healthz HTTP/1.1\r\n\r\n");
        assertThat(idle.answer().status()).isEqualTo(200);
        rig.failHeldRequests(0);
        assertThat(idle.atEnd()).as("other connections are closed").isTrue();
        continueHost.countDown();
        assertThat(readRest(body)).isEqualTo(left);
        client.close();
        rig.awaitLongTransfers();
    }

    /**
     * Only the first bytes of a long response are timed, and one that may be long by its pace may continue. One that
     * was long by the size of a chunk was ended.
     */
    @ParameterizedTest
    @CsvSource({"length,99995", "much,5", "paced,5", "long chunk,99995", "second chunk,100000"})
    void responseThatMayStillCompleteContinuesAfterTheDeadline(String framing, int left) throws Exception {
        String rest = "x".repeat(left);
        Host host = host(begun(framing), switch (framing) {
            case "length" -> rest;
            case "long chunk", "second chunk" -> rest + "\r\n0\r\n\r\n";
            default -> chunk(rest) + "0\r\n\r\n";
        });
        int begunBytes = framing.equals("much") ? 70_005 : framing.equals("paced") ? PACED_BYTES + 5 : 5;
        Body body = request(host, "1.1", begunBytes);
        rig.stopClock(BUDGET_MS * 1_000 + 100_000);
        rig.stopClock(2 * GRACE_US);
        Thread.sleep(SEVERAL_CHECKS_MS);
        continueHost.countDown();
        assertThat(readRest(body)).isEqualTo(left);
    }

    /** Progress by a few bytes kept a response going for as long as its host liked. */
    @ParameterizedTest
    @CsvSource({"chunked,1.1", "chunked,1.0", "end,1.1", "end,1.0"})
    void responseThatTricklesEndsInTimeAndIsSeenAsTruncated(String framing, String version) throws Exception {
        Host host = host(begun(framing), null);
        Body body = request(host, version, 5);
        awaitSecondThread();
        rig.stopClock(BUDGET_MS * 1_000 + 100_000);
        write(host.next(), framing.equals("chunked") ? chunk("more") : "more");
        read(body, 4);
        Thread.sleep(SEVERAL_CHECKS_MS);        // the write to the client has ended before the clock moves
        rig.stopClock(GRACE_US);
        assertThat(catchThrowable(() -> readRest(body))).isNotInstanceOf(SocketTimeoutException.class)
                .isInstanceOf(version.equals("1.0") ? SocketException.class : IOException.class);
        assertThat(host.closed.poll(TIMEOUT_S, TimeUnit.SECONDS)).as("the attempt is given up").isTrue();
    }

    @ParameterizedTest
    @CsvSource({"chunked,1.1", "chunked,1.0", "end,1.1"})
    void shortResponseIsNotEndedBecauseItsClientReadsSlowly(String framing, String version) throws Exception {
        clientWriteUs = 2 * BUDGET_MS * 1_000;
        String more = framing.equals("end") ? "more" : chunk("more");
        Host host = host(begun(framing), more + (framing.equals("end") ? "" : "0\r\n\r\n"));
        Body body = request(host, version, 5);
        write(host.next(), more);
        read(body, 4);
        Thread.sleep(SEVERAL_CHECKS_MS);
        continueHost.countDown();
        assertThat(readRest(body)).isEqualTo(4);
    }

    @Test
    void slowClientReceivesItsWholeResponseAfterTheDeadline() throws Exception {
        int length = 16 << 20;
        Host host = open(new Host((head, seen) -> Host.ok("x".repeat(length))));
        Body body = request(host, "1.1", 1);
        rig.stopClock(BUDGET_MS * 1_000 + GRACE_US);
        Thread.sleep(SEVERAL_CHECKS_MS);
        assertThat(readRest(body)).isEqualTo(length - 1);
    }

    /** While the host was stalled, the client's connection was neither read nor written, so its end went unnoticed. */
    @ParameterizedTest
    @CsvSource({"close,,false", "close,,true", "reset,,true", "half,,true", "close,behind,false", "close,behind,true",
        "half,behind,true"})
    void clientThatLeavesWhileTheHostIsStalledIsNoticed(String how, String behind, boolean late) throws Exception {
        Host host = host(begun("length"), null);
        request(host, "1.1", 5);
        if (late) {
            awaitSecondThread();
        }
        client.send(behind == null ? "" : ClientRig.pay(behind));
        if (how.equals("half")) {
            client.socket.shutdownOutput();
        } else {
            client.socket.setSoLinger(how.equals("reset"), 0);
            client.close();
        }
        assertThat(host.closed.poll(TIMEOUT_S, TimeUnit.SECONDS)).as("the attempt is given up").isTrue();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        host.next();
        assertThat(host.received).as("no request is served after the client has left").isEmpty();
    }

    /** Closing the connection with these bytes unread caused a reset, and the client lost unread response bytes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bytesAfterTheRequestDoNotTruncateTheResponse(boolean late) throws Exception {
        Host host = host(begun("length"), "x".repeat(LENGTH - 5));
        Body body = request(host, "1.1", 5);
        if (late) {
            awaitSecondThread();
        }
        client.send(ClientRig.pay("behind", 900, 8_000));
        continueHost.countDown();
        assertThat(connectionEnds.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        client.send("and more");
        assertThat(readRest(body)).isEqualTo(LENGTH - 5);
        assertThat(reader.awaitData()).as("only the end of the stream, and no reset, follows").isFalse();
        client.close();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        host.next();
        assertThat(host.received).as("no request is served after the last response").isEmpty();
    }
}
