package dapplequay.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;

/**
 * The body of one message, read bit by bit as it comes, whatever frames it. Chunks and trailers are taken off; what
 * is not framed as it should be, or is longer than the reader allows, is a BadMessage. Not for several threads.
 */
public final class Body {
    /** What tells where a body ends. */
    public enum Framing { LENGTH, CHUNKED, TO_END }

    private static final int MOST_TRAILERS = 20;
    private static final int MOST_DIGITS = 15;
    private static final int PIECE = 8 * 1024;
    /** Chunks shorter than this are read through the buffer, many at once. */
    private static final int CHUNK_READ = 32 * 1024;

    private final MessageReader reader;
    private final Framing framing;
    private final long length;
    private final long most;
    private final int status;
    /** Bytes still to come: of the body, or of the chunk in hand. */
    private long left;
    private long taken;
    private boolean chunkEnds;
    /** Lines read after the last chunk, that one included. */
    private int trailers;
    private boolean whole;

    Body(MessageReader reader, Framing framing, long length, long most, int status) {
        this.reader = reader;
        this.framing = framing;
        this.length = length;
        this.most = most;
        this.status = status;
        left = Math.max(0, length);
        whole = framing == Framing.LENGTH && length == 0;
    }

    /** How long it is, in bytes; -1 where only its end will tell. */
    public long length() {
        return length;
    }

    public Framing framing() {
        return framing;
    }

    /** Whether its last byte has been read. */
    public boolean isWhole() {
        return whole;
    }

    /** Whether it is known that fewer than so many bytes are still to come. */
    public boolean isNearlyWhole(int bytes) {
        return framing == Framing.LENGTH && left < bytes;
    }

    /** Whether all of the rest is here already, so that no read of it waits for the other side. */
    public boolean isBuffered() {
        return whole || framing == Framing.LENGTH && reader.buffered() >= left;
    }

    /**
     * Up to {@code count} of the next bytes, at least one; -1 at the end. EOFException where the connection ended
     * before the body did. Of a body in chunks it takes as many as are here, as chunks may be small.
     */
    public int read(byte[] to, int at, int count) throws IOException {
        if (framing == Framing.CHUNKED) {
            return readChunks(to, at, count);
        }
        if (whole) {
            return -1;
        }
        int read = reader.read(to, at, framing == Framing.TO_END ? count : (int) Math.min(count, left));
        if (read < 0) {
            if (framing != Framing.TO_END) {
                throw new EOFException("connection ended within a body");
            }
            whole = true;
            return -1;
        }
        taken += read;
        if (taken > most) {
            throw tooLarge();
        }
        if (framing == Framing.LENGTH) {
            left -= read;
            whole = left == 0;
        }
        return read;
    }

    private int readChunks(byte[] to, int at, int count) throws IOException {
        if (whole) {
            return -1;
        }
        reader.want(CHUNK_READ);
        int got = 0;
        while (got < count && !whole) {
            if (left == 0) {
                if (got > 0 && !isNextChunkHere()) {
                    break;
                }
                nextChunk();
                continue;
            }
            if (got > 0 && reader.buffered() == 0) {
                break;
            }
            if (reader.buffered() == 0 && left < CHUNK_READ && !reader.fill()) {
                throw new EOFException("connection ended within a body");
            }
            int read = reader.read(to, at + got, (int) Math.min(count - got, left));
            if (read < 0) {
                throw new EOFException("connection ended within a body");
            }
            left -= read;
            got += read;
            taken += read;
        }
        if (whole) {
            reader.want(0);
        }
        return got > 0 ? got : -1;
    }

    /** Whether the next chunk's first line, or the plain end of the body, can be read without waiting. */
    private boolean isNextChunkHere() {
        int at = 0;
        if (chunkEnds) {
            if (!reader.isBuffered(0, "\r\n")) {
                return false;
            }
            at = 2;
        }
        return reader.isBuffered(at, "0") ? reader.isBuffered(at, "0\r\n\r\n") : reader.lineEnd(at) >= 0;
    }

    private BadMessage tooLarge() {
        return new BadMessage(status == 400 ? 413 : status, "body too large");
    }

    private void nextChunk() throws IOException {
        // A read may time out between any two lines: what has been read so far must not be expected again.
        if (chunkEnds) {
            if (!reader.line(status).isEmpty()) {
                throw new BadMessage(status, "bad chunk end");
            }
            chunkEnds = false;
        }
        if (trailers == 0) {
            left = size(reader.line(status));
            if (taken + left > most) {
                throw tooLarge();
            }
            chunkEnds = left > 0;
            trailers = chunkEnds ? 0 : 1;
        }
        for (; trailers > 0 && !reader.line(status).isEmpty(); trailers++) {
            if (trailers > MOST_TRAILERS) {
                throw new BadMessage(status, "too many trailers");
            }
        }
        whole = trailers > 0;
    }

    /** By hand, and not with an expression: a long body may come in hundreds of thousands of chunks. */
    private long size(String line) throws BadMessage {
        long size = 0;
        int digits = 0;
        int end = line.length();
        for (int at = 0; at < end; at++) {
            char c = line.charAt(at);
            int digit = c < 0x7f ? Character.digit(c, 16) : -1;
            if (digit < 0) {
                String rest = line.substring(at).stripLeading();
                if (rest.isEmpty() || rest.charAt(0) == ';') {
                    break;
                }
                digits = 0;
                break;
            }
            size = size * 16 + digit;
            digits++;
        }
        if (digits < 1 || digits > MOST_DIGITS) {
            throw new BadMessage(status, "bad chunk size");
        }
        return size;
    }

    /** All of it; nothing may have been read before. */
    byte[] all() throws IOException {
        if (length >= 0 && length <= PIECE) {
            byte[] bytes = new byte[(int) length];
            for (int at = 0; at < bytes.length; ) {
                at += read(bytes, at, bytes.length - at);
            }
            return bytes;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(PIECE);
        byte[] piece = new byte[PIECE];
        for (int read = read(piece, 0, PIECE); read >= 0; read = read(piece, 0, PIECE)) {
            out.write(piece, 0, read);
        }
        return out.toByteArray();
    }
}
