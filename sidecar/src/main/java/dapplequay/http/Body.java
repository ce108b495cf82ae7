package dapplequay.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;

/**
 * The body of one message as a stream, whatever its framing. Chunk headers and trailers are removed. Invalid framing
 * and bodies over the size limit throw {@link BadMessageException}. Not thread-safe.
 */
public final class Body {
    /** How the end of a body is found. */
    public enum Framing { LENGTH, CHUNKED, CLOSE_DELIMITED }

    private static final int MAX_TRAILERS = 20;
    private static final int MAX_CHUNK_SIZE_DIGITS = 15;
    private static final int COPY_BUFFER_BYTES = 8 * 1024;
    /**
     * Chunks shorter than this, or than the caller's array, are read through the buffer, so that one read can take many
     * of them.
     */
    private static final int CHUNKED_READ_BYTES = 32 * 1024;

    private final MessageReader reader;
    private final Framing framing;
    private final long length;
    private final long maxBytes;
    private final int errorStatus;
    /** Bytes not read yet: of the body, or of the current chunk if the body is chunked. */
    private long remaining;
    private long bytesRead;
    private boolean isChunkEndDue;
    /** Lines read since the header of the last chunk, including that header; 0 before it. */
    private int trailerLines;
    private boolean isComplete;

    Body(MessageReader reader, Framing framing, long length, long maxBytes, int errorStatus) {
        this.reader = reader;
        this.framing = framing;
        this.length = length;
        this.maxBytes = maxBytes;
        this.errorStatus = errorStatus;
        remaining = Math.max(0, length);
        isComplete = framing == Framing.LENGTH && length == 0;
    }

    /** Returns the length in bytes, or -1 if it is not known in advance. */
    public long length() {
        return length;
    }

    public Framing framing() {
        return framing;
    }

    /** Returns how many bytes are known to follow, at least. */
    public long knownRemaining() {
        return remaining;
    }

    /** Returns how long the body is at least: what was read of it, and what is known to follow. */
    public long knownLength() {
        return bytesRead + remaining;
    }

    /** True if the whole body has been read. */
    public boolean isComplete() {
        return isComplete;
    }

    /** True if fewer than {@code bytes} bytes are known to remain; false if the remaining length is unknown. */
    public boolean hasFewerLeftThan(int bytes) {
        return framing == Framing.LENGTH && remaining < bytes;
    }

    /** True if the rest of the body is buffered, so that reading it does not block. */
    public boolean isFullyBuffered() {
        return isComplete || framing == Framing.LENGTH && reader.bufferedBytes() >= remaining;
    }

    /**
     * Reads between 1 and {@code count} bytes and returns their number, or -1 at the end of the body. A chunked body
     * yields all chunks that are buffered, as chunks may be small.
     *
     * @throws EOFException if the connection ends before the body
     */
    public int read(byte[] target, int offset, int count) throws IOException {
        if (framing == Framing.CHUNKED) {
            return readChunks(target, offset, count);
        }
        if (isComplete) {
            return -1;
        }
        int read = reader.read(target, offset,
                framing == Framing.CLOSE_DELIMITED ? count : (int) Math.min(count, remaining));
        if (read < 0) {
            if (framing != Framing.CLOSE_DELIMITED) {
                throw new EOFException("connection ended within a body");
            }
            isComplete = true;
            return -1;
        }
        bytesRead += read;
        if (bytesRead > maxBytes) {
            throw bodyTooLarge();
        }
        if (framing == Framing.LENGTH) {
            remaining -= read;
            isComplete = remaining == 0;
        }
        return read;
    }

    private int readChunks(byte[] target, int offset, int count) throws IOException {
        if (isComplete) {
            return -1;
        }
        int readBytes = Math.min(CHUNKED_READ_BYTES, count);
        reader.setReadSize(readBytes);
        int total = 0;
        while (total < count && !isComplete) {
            if (remaining == 0) {
                if (total > 0 && !isNextChunkHeaderBuffered()) {
                    break;
                }
                readChunkHeader();
                continue;
            }
            if (total > 0 && reader.bufferedBytes() == 0) {
                break;
            }
            if (reader.bufferedBytes() == 0 && remaining < readBytes && !reader.fill()) {
                throw new EOFException("connection ended within a body");
            }
            int read = reader.read(target, offset + total, (int) Math.min(count - total, remaining));
            if (read < 0) {
                throw new EOFException("connection ended within a body");
            }
            remaining -= read;
            total += read;
            bytesRead += read;
        }
        if (isComplete) {
            reader.setReadSize(0);
        }
        return total > 0 ? total : -1;
    }

    /** True if the next chunk header, or the end of a body without trailers, can be read without blocking. */
    private boolean isNextChunkHeaderBuffered() {
        int offset = 0;
        if (isChunkEndDue) {
            if (!reader.isBufferedAt(0, "\r\n")) {
                return false;
            }
            offset = 2;
        }
        return reader.isBufferedAt(offset, "0") ? reader.isBufferedAt(offset, "0\r\n\r\n")
                : reader.findLineEnd(offset) >= 0;
    }

    private BadMessageException bodyTooLarge() {
        return new BadMessageException(errorStatus == 400 ? 413 : errorStatus, "body too large");
    }

    private void readChunkHeader() throws IOException {
        // A read may time out between any two lines, and this method is then called again: the fields record which
        // lines have been read.
        if (isChunkEndDue) {
            if (!reader.readLine(errorStatus).isEmpty()) {
                throw new BadMessageException(errorStatus, "bad chunk end");
            }
            isChunkEndDue = false;
        }
        if (trailerLines == 0) {
            remaining = parseChunkSize(reader.readLine(errorStatus));
            if (bytesRead + remaining > maxBytes) {
                throw bodyTooLarge();
            }
            isChunkEndDue = remaining > 0;
            trailerLines = isChunkEndDue ? 0 : 1;
        }
        for (; trailerLines > 0 && !reader.readLine(errorStatus).isEmpty(); trailerLines++) {
            if (trailerLines > MAX_TRAILERS) {
                throw new BadMessageException(errorStatus, "too many trailers");
            }
        }
        isComplete = trailerLines > 0;
    }

    /** Parses without a regular expression: a long body may have hundreds of thousands of chunks. */
    private long parseChunkSize(String line) throws BadMessageException {
        long size = 0;
        int digits = 0;
        int lineLength = line.length();
        for (int offset = 0; offset < lineLength; offset++) {
            char c = line.charAt(offset);
            int digit = c < 0x7f ? Character.digit(c, 16) : -1;
            if (digit < 0) {
                String rest = line.substring(offset).stripLeading();
                if (rest.isEmpty() || rest.charAt(0) == ';') {
                    break;
                }
                digits = 0;
                break;
            }
            size = size * 16 + digit;
            digits++;
        }
        if (digits < 1 || digits > MAX_CHUNK_SIZE_DIGITS) {
            throw new BadMessageException(errorStatus, "bad chunk size");
        }
        return size;
    }

    /** Reads the whole body; must be called before any other read. */
    byte[] readAll() throws IOException {
        if (length >= 0 && length <= COPY_BUFFER_BYTES) {
            byte[] bytes = new byte[(int) length];
            for (int offset = 0; offset < bytes.length; ) {
                offset += read(bytes, offset, bytes.length - offset);
            }
            return bytes;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(COPY_BUFFER_BYTES);
        byte[] piece = new byte[COPY_BUFFER_BYTES];
        for (int read = read(piece, 0, COPY_BUFFER_BYTES); read >= 0; read = read(piece, 0, COPY_BUFFER_BYTES)) {
            out.write(piece, 0, read);
        }
        return out.toByteArray();
    }
}
