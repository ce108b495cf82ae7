package dapplequay.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Frames body bytes that are passed through as HTTP/1.1 chunks. */
final class ChunkedFraming {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private ChunkedFraming() { }

    /** Bytes that a piece leaves free before and after its content, so that it can be framed in place. */
    static final int FRAMING_ROOM = 16;

    /** The part of an array that holds a framed piece. */
    record Span(int from, int length) { }

    /**
     * Frames the {@code count} bytes that start at {@link #FRAMING_ROOM} as one chunk, or none if {@code count} is 0,
     * and appends the last chunk if {@code last} is set. The array needs {@link #FRAMING_ROOM} free bytes after the
     * content.
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

    /** Frames the piece if {@code chunked} is set; else returns the span of its plain bytes. */
    static Span frameIfChunked(byte[] piece, int count, boolean chunked, boolean last) {
        return chunked ? frame(piece, count, last) : new Span(FRAMING_ROOM, count);
    }

    /** Returns a new array with the bytes framed as one chunk; an empty array for no bytes. */
    static byte[] chunkOf(byte[] bytes) {
        byte[] piece = new byte[bytes.length + 2 * FRAMING_ROOM];
        System.arraycopy(bytes, 0, piece, FRAMING_ROOM, bytes.length);
        Span span = frame(piece, bytes.length, false);
        return Arrays.copyOfRange(piece, span.from(), span.from() + span.length());
    }
}
