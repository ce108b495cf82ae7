package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What shows that a client has not written the last byte of its request, so that the request's time has not begun. */
class BodyArrivalTest {
    private static final long BUDGET_US = 1_000_000;
    private static final int LENGTH = 100_000;

    private long nowUs = 5_000_000;
    private int unreadBytes;
    private final BodyArrival arrival = new BodyArrival(() -> nowUs, BUDGET_US, nowUs, () -> unreadBytes);

    private static Body body(String framing) throws IOException {
        MessageReader reader = new MessageReader(new ByteArrayInputStream(new byte[0]), MessageReader.MAX_BODY_BYTES);
        return reader.requestBody(Head.parseRequest(("POST /x HTTP/1.1\r\n" + framing)
                .getBytes(StandardCharsets.ISO_8859_1)));
    }

    private static Body ofLength(int length) throws IOException {
        return body("Content-Length: " + length);
    }

    private void assertTimeBeginsAt(long beginUs) {
        assertThat(arrival.dueUs() - BUDGET_US).isEqualTo(beginUs);
    }

    @Test
    void aBodyIsNotCompleteWhileLessThanItsRestHasArrivedAndTheWindowIsOpen() throws IOException {
        nowUs += 300_000;
        arrival.observe(ofLength(LENGTH), 10_000, true);
        assertTimeBeginsAt(nowUs);
    }

    @Test
    void aFullWindowMayHoldBackTheRestUntilItIsEmpty() throws IOException {
        long begunUs = nowUs;
        nowUs += 300_000;
        arrival.observe(ofLength(LENGTH), BodyArrival.OPEN_WINDOW_BYTES, true);
        arrival.observe(ofLength(LENGTH), 1, true);
        assertTimeBeginsAt(begunUs);
        arrival.observe(ofLength(LENGTH), 0, true);
        assertTimeBeginsAt(nowUs);
    }

    @Test
    void aBodyWhoseRestHasArrivedMayBeComplete() throws IOException {
        long begunUs = nowUs;
        nowUs += 300_000;
        arrival.observe(ofLength(10_000), 10_000, true);
        assertTimeBeginsAt(begunUs);
    }

    @Test
    void aBodyInChunksMayBeCompleteWithAnythingUnread() throws IOException {
        Body chunked = body("Transfer-Encoding: chunked");
        long begunUs = nowUs;
        nowUs += 300_000;
        arrival.observe(chunked, 1, true);
        arrival.observe(chunked, 0, false);
        assertTimeBeginsAt(begunUs);
        arrival.observe(chunked, 0, true);
        assertTimeBeginsAt(nowUs);
    }

    /** What the size of a chunk tells was not used. */
    @Test
    void aBodyInChunksIsNotCompleteWhileLessThanTheRestOfItsChunkHasArrived() throws IOException {
        byte[] begun = (Integer.toHexString(LENGTH) + "\r\nbegun").getBytes(StandardCharsets.ISO_8859_1);
        MessageReader reader = new MessageReader(new ByteArrayInputStream(begun), MessageReader.MAX_BODY_BYTES);
        Body chunked = reader.requestBody(Head.parseRequest("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked"
                .getBytes(StandardCharsets.ISO_8859_1)));
        assertThat(chunked.read(new byte[5], 0, 5)).isEqualTo(5);
        long begunUs = nowUs;
        nowUs += 300_000;
        arrival.observe(chunked, LENGTH - 5, true);
        assertTimeBeginsAt(begunUs);
        arrival.observe(chunked, 0, true);
        nowUs += 300_000;
        arrival.observe(chunked, BodyArrival.OPEN_WINDOW_BYTES - 1, true);
        assertTimeBeginsAt(nowUs);
    }

    @Test
    void aBodyIsNotCompleteWhileMoreIsMissingThanSocketsHold() throws IOException {
        nowUs += 300_000;
        arrival.observe(ofLength(BodyArrival.MAX_SOCKET_BYTES + 1), 1_000_000, true);
        assertTimeBeginsAt(nowUs);
    }

    /** The time of such a request was over while its host paused, as nothing was read of it meanwhile. */
    @Test
    void aBodyStaysIncompleteWhileMoreHasNotArrivedThanSocketsHold() throws IOException {
        arrival.observe(ofLength(BodyArrival.MAX_SOCKET_BYTES + LENGTH), 0, true);
        long seenUs = nowUs;
        nowUs += 300_000;
        unreadBytes = LENGTH - 1;
        assertTimeBeginsAt(nowUs);
        unreadBytes = LENGTH;
        assertTimeBeginsAt(seenUs);
    }

    @Test
    void aReadThatWaitsShowsThatTheBodyWasNotComplete() {
        arrival.readBegins(0);
        nowUs += BodyArrival.MIN_WAIT_US;
        arrival.readEnded();
        assertTimeBeginsAt(nowUs);
    }

    @Test
    void aReadOfBytesThatHadArrivedShowsNothing() {
        long begunUs = nowUs;
        arrival.readBegins(1);
        nowUs += 300_000;
        arrival.readEnded();
        assertTimeBeginsAt(begunUs);
    }
}
