package dapplequay.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A body is read correctly with any framing, with any split of its bytes into reads, and across read time-outs. */
class BodyPropertyTest {
    private static final String NEXT_REQUEST = "GET /next HTTP/1.1\r\n\r\n";

    /** Returns a random number of bytes for each read and, if asked to, times out at random. */
    private static final class RandomReads extends InputStream {
        private final InputStream in;
        private final Random random;
        private final int maxReadBytes;
        private final boolean timesOut;

        RandomReads(byte[] bytes, int seed, int maxReadBytes, boolean timesOut) {
            in = new ByteArrayInputStream(bytes);
            random = new Random(seed);
            this.maxReadBytes = maxReadBytes;
            this.timesOut = timesOut;
        }

        @Override
        public int read() {
            throw new UnsupportedOperationException();
        }

        @Override
        public int read(byte[] to, int at, int length) throws IOException {
            if (timesOut && random.nextInt(3) == 0) {
                throw new SocketTimeoutException();
            }
            return in.read(to, at, Math.min(length, 1 + random.nextInt(maxReadBytes)));
        }
    }

    private static byte[] bytes(int seed, int length) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private static byte[] framed(byte[] body, boolean chunked, int seed) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("POST /a HTTP/1.1\r\n" + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: "
                + body.length) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        if (!chunked) {
            out.writeBytes(body);
        } else {
            Random random = new Random(seed);
            for (int at = 0; at < body.length; ) {
                int count = Math.min(body.length - at, 1 + random.nextInt(random.nextBoolean() ? 5 : 20_000));
                out.writeBytes((Integer.toHexString(count) + (random.nextBoolean() ? ";x=\"y\"" : "") + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(body, at, count);
                out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                at += count;
            }
            out.writeBytes((random.nextBoolean() ? "0\r\nT: v\r\n\r\n" : "000\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        out.writeBytes(NEXT_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    @Property(tries = 400, seed = "5417")
    void anySplitYieldsTheSameBodyAndLeavesTheNextMessageUnread(@ForAll int seed, @ForAll boolean chunked,
            @ForAll boolean timesOut, @ForAll @IntRange(max = 150_000) int length,
            @ForAll @IntRange(min = 1, max = 40_000) int maxReadBytes,
            @ForAll @IntRange(min = 1, max = 70_000) int bufferBytes)
            throws Exception {
        byte[] body = bytes(seed, length);
        MessageReader reader = new MessageReader(
                new RandomReads(framed(body, chunked, seed), seed, maxReadBytes, timesOut),
                MessageReader.MAX_BODY_BYTES);
        Head head = retryTimeouts(reader::readRequestHead);
        assertThat(head.startLine[1]).isEqualTo("/a");
        Body read = reader.requestBody(head);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] piece = new byte[bufferBytes + 2];
        while (true) {
            int count = retryTimeouts(() -> read.read(piece, 1, bufferBytes));
            if (count < 0) {
                break;
            }
            assertThat(count).isBetween(1, bufferBytes);
            received.write(piece, 1, count);
        }
        assertThat(received.toByteArray()).isEqualTo(body);
        assertThat(read.isComplete()).isTrue();
        assertThat(retryTimeouts(reader::readRequestHead).startLine[1]).isEqualTo("/next");
    }

    private interface Step<T> {
        T run() throws IOException;
    }

    /** Repeats a read that times out; it has to continue where it stopped. */
    private static <T> T retryTimeouts(Step<T> step) throws IOException {
        while (true) {
            try {
                return step.run();
            } catch (SocketTimeoutException e) {
                // retried
            }
        }
    }
}
