package dapplequay.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Chunked framing of what passes through. */
final class ChunkedFraming {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private ChunkedFraming() { }

    /** Room that a piece leaves free before and behind its bytes, so that it can be framed where it lies. */
    static final int FRAMING_ROOM = 16;

    /** Where a piece begins and ends in its array. */
    record Span(int from, int length) { }

    /**
     * Frames the {@code count} bytes that lie from {@link #ROOM} on, with as much room behind them, as a chunk (none:
     * no chunk), and sets the end of the body behind it where that is due.
     */
    static Span frame(byte[] piece, int count, boolean last) {
        int from = FRAMING_ROOM;
        int end = FRAMING_ROOM + count;
        if (count > 0) {
            byte[] head = (Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            from -= head.length;
            System.arraycopy(head, 0, piece, from, head.length);
            piece[end++] = '\r';
            piece[end++] = '\n';
        }
        if (last) {
            System.arraycopy(LAST_CHUNK, 0, piece, end, LAST_CHUNK.length);
            end += LAST_CHUNK.length;
        }
        return new Span(from, end - from);
    }

    /** The same where the body goes in chunks; else the bytes as they lie. */
    static Span frameIfChunked(byte[] piece, int count, boolean chunked, boolean last) {
        return chunked ? frame(piece, count, last) : new Span(FRAMING_ROOM, count);
    }

    /** These bytes as a chunk (none: no chunk), in an array of their own. */
    static byte[] chunkOf(byte[] bytes) {
        byte[] piece = new byte[bytes.length + 2 * FRAMING_ROOM];
        System.arraycopy(bytes, 0, piece, FRAMING_ROOM, bytes.length);
        Span span = frame(piece, bytes.length, false);
        return Arrays.copyOfRange(piece, span.from(), span.from() + span.length());
    }
}
