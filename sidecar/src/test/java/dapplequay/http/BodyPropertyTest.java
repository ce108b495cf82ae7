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

/** Whatever frames a body, however its bytes are cut and however slowly they come, it is the same body. */
class BodyPropertyTest {
    private static final String NEXT = "GET /next HTTP/1.1\r\n\r\n";

    /** Gives a few bytes a read, as a seed has it, and now and then nothing within a time-out. */
    private static final class Cut extends InputStream {
        private final InputStream in;
        private final Random random;
        private final int most;
        private final boolean pauses;

        Cut(byte[] bytes, int seed, int most, boolean pauses) {
            in = new ByteArrayInputStream(bytes);
            random = new Random(seed);
            this.most = most;
            this.pauses = pauses;
        }

        @Override
        public int read() {
            throw new UnsupportedOperationException();
        }

        @Override
        public int read(byte[] to, int at, int length) throws IOException {
            if (pauses && random.nextInt(3) == 0) {
                throw new SocketTimeoutException();
            }
            return in.read(to, at, Math.min(length, 1 + random.nextInt(most)));
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
        out.writeBytes(NEXT.getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    @Property(tries = 400, seed = "5417")
    void anyCutGivesTheSameBytesAndLeavesTheNextMessageAlone(@ForAll int seed, @ForAll boolean chunked,
            @ForAll boolean pauses, @ForAll @IntRange(max = 150_000) int length,
            @ForAll @IntRange(min = 1, max = 40_000) int most, @ForAll @IntRange(min = 1, max = 70_000) int room)
            throws Exception {
        byte[] body = bytes(seed, length);
        MessageReader reader = new MessageReader(new Cut(framed(body, chunked, seed), seed, most, pauses),
                MessageReader.MAX_BODY_BYTES);
        Head head = again(reader::readRequestHead);
        assertThat(head.startLine[1]).isEqualTo("/a");
        Body read = reader.requestBody(head);
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        byte[] piece = new byte[room + 2];
        while (true) {
            int count = again(() -> read.read(piece, 1, room));
            if (count < 0) {
                break;
            }
            assertThat(count).isBetween(1, room);
            got.write(piece, 1, count);
        }
        assertThat(got.toByteArray()).isEqualTo(body);
        assertThat(read.isComplete()).isTrue();
        assertThat(again(reader::readRequestHead).startLine[1]).isEqualTo("/next");
    }

    private interface Step<T> {
        T run() throws IOException;
    }

    /** A read that timed out is made again, and goes on where it stood. */
    private static <T> T again(Step<T> step) throws IOException {
        while (true) {
            try {
                return step.run();
            } catch (SocketTimeoutException e) {
                // nothing came in time
            }
        }
    }
}
