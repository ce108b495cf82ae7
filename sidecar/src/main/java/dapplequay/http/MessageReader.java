package dapplequay.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the messages that one side sends over a connection, within size limits. Not thread-safe. */
public final class MessageReader {
    public static final int MAX_HEAD_BYTES = 8 * 1024;
    /** A body up to this size is short: it is read whole before it is processed. */
    public static final int SHORT_BODY_BYTES = 64 * 1024;
    /** A longer body is rejected, so that one that never ends is detected. */
    public static final int MAX_BODY_BYTES = 40 * 1024 * 1024;
    private static final int MAX_CHUNK_LINE_BYTES = 1024;

    /** Limit for discovery's list: that of a large fleet is longer than a short body. */
    public static final int MAX_SERVER_LIST_BYTES = 4 * 1024 * 1024;

    private final InputStream in;
    private final int maxBodyBytes;
    /** Holds heads and chunk headers. Bodies bypass it, except for bytes that were read along with these. */
    private final ReadBuffer buffer = new ReadBuffer(MAX_HEAD_BYTES + SHORT_BODY_BYTES);

    public MessageReader(InputStream in) {
        this(in, SHORT_BODY_BYTES);
    }

    public MessageReader(InputStream in, int maxBodyBytes) {
        this.in = in;
        this.maxBodyBytes = maxBodyBytes;
    }

    public boolean hasBufferedBytes() {
        return buffer.size() > 0;
    }

    /** Returns how many bytes the buffer holds that were received and not yet consumed. */
    public int bufferedBytes() {
        return buffer.size();
    }

    /** True if the buffer holds as many unread bytes as it can. */
    public boolean isBufferFull() {
        return buffer.isFull();
    }

    /** Reads once into the buffer, which must not be full; returns the number of bytes, -1 at the end of the stream. */
    public int readAhead() throws IOException {
        return buffer.fill(in);
    }

    /** Sets how many bytes a buffered read takes at once; 0 restores the default. */
    void setReadSize(int bytes) {
        buffer.setReadSize(bytes);
    }

    /** True if the buffer holds {@code expected} (ASCII) at the offset. */
    boolean isBufferedAt(int offset, String expected) {
        if (buffer.size() < offset + expected.length()) {
            return false;
        }
        for (int i = 0; i < expected.length(); i++) {
            if (buffer.at(offset + i) != expected.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the position of the first CRLF in the buffer at or after the offset, or -1. */
    int findLineEnd(int offset) {
        for (int at = offset; at + 2 <= buffer.size(); at++) {
            if (buffer.at(at) == '\r' && buffer.at(at + 1) == '\n') {
                return at;
            }
        }
        return -1;
    }

    /** Reads more into the buffer; returns false at the end of the stream. */
    boolean fill() throws IOException {
        return buffer.fill(in) > 0;
    }

    /** Blocks until there is data to read; returns false at the end of the stream. */
    public boolean awaitData() throws IOException {
        return buffer.size() > 0 || buffer.fill(in) > 0;
    }

    /** Like {@link #awaitData}, but skips leading empty lines, as some clients send one after a body. */
    public boolean awaitRequest() throws IOException {
        while (true) {
            while (isBufferedAt(0, "\r\n")) {
                buffer.skip(2);
            }
            if (buffer.size() > 1 || buffer.size() == 1 && buffer.at(0) != '\r') {
                return true;
            }
            if (buffer.fill(in) <= 0) {
                return false;
            }
        }
    }

    public Head readRequestHead() throws IOException {
        return Head.parseRequest(readHead());
    }

    /** Reads the head of the final response, skipping interim (1xx) ones. */
    public Head readResponseHead() throws IOException {
        while (true) {
            Head head = Head.parseResponse(readHead());
            if (!head.startLine[1].startsWith("1")) {
                return head;
            }
            if (head.startLine[1].equals("101")) {
                throw new BadMessageException(502, "upgrade that nobody asked for");
            }
        }
    }

    private byte[] readHead() throws IOException {
        int seen = 0;
        while (true) {
            for (; seen + 4 <= buffer.size() && seen <= MAX_HEAD_BYTES; seen++) {
                if (buffer.at(seen) == '\r' && buffer.at(seen + 1) == '\n' && buffer.at(seen + 2) == '\r'
                        && buffer.at(seen + 3) == '\n') {
                    byte[] text = buffer.take(seen);
                    buffer.skip(4);
                    return text;
                }
            }
            if (buffer.size() >= MAX_HEAD_BYTES) {
                throw new BadMessageException(431, "head too large");
            }
            fillOrThrow();
        }
    }

    /** Returns a request's body for streaming; BadMessageException if its framing is ambiguous. */
    public Body requestBody(Head request) throws BadMessageException {
        return openBody(request, 400, false);
    }

    /** Returns the body of a response for streaming; not for a response to HEAD. */
    public Body responseBody(Head response) throws BadMessageException {
        return openBody(response, 502, isCloseDelimited(response));
    }

    private Body openBody(Head head, int errorStatus, boolean isCloseDelimited) throws BadMessageException {
        if (head.startLine[1].equals("204") || head.startLine[1].equals("304")) {
            return new Body(this, Body.Framing.LENGTH, 0, maxBodyBytes, errorStatus);
        }
        long length = contentLength(head, errorStatus);
        if (head.get("Transfer-Encoding") != null) {
            if (length >= 0 || !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")
                    || head.startLine[errorStatus == 400 ? 2 : 0].equals("HTTP/1.0")) {
                throw new BadMessageException(errorStatus, "bad Transfer-Encoding");
            }
            return new Body(this, Body.Framing.CHUNKED, -1, maxBodyBytes, errorStatus);
        }
        return isCloseDelimited ? new Body(this, Body.Framing.CLOSE_DELIMITED, -1, maxBodyBytes, errorStatus)
                : new Body(this, Body.Framing.LENGTH, Math.max(0, length), maxBodyBytes, errorStatus);
    }

    public byte[] readRequestBody(Head head) throws IOException {
        return requestBody(head).readAll();
    }

    public byte[] readResponseBody(Head head) throws IOException {
        return responseBody(head).readAll();
    }

    /** True if only the end of the connection delimits the response's body. */
    public static boolean isCloseDelimited(Head response) throws BadMessageException {
        return response.get("Content-Length") == null && response.get("Transfer-Encoding") == null
                && !response.startLine[1].equals("204") && !response.startLine[1].equals("304");
    }

    private long contentLength(Head head, int errorStatus) throws BadMessageException {
        String text = head.get("Content-Length");
        if (text == null) {
            return -1;
        }
        if (!text.matches("[0-9]{1,18}")) {
            throw new BadMessageException(errorStatus, "bad Content-Length");
        }
        long length = Long.parseLong(text);
        if (length > maxBodyBytes) {
            throw new BadMessageException(errorStatus == 400 ? 413 : errorStatus, "body too large");
        }
        return length;
    }

    /** Reads between 1 and {@code maxCount} bytes and returns their number, or -1 at the end of the stream. */
    int read(byte[] target, int offset, int maxCount) throws IOException {
        return buffer.size() > 0 ? buffer.take(target, offset, maxCount) : in.read(target, offset, maxCount);
    }

    /** Reads a line of a chunked body and returns it without its CRLF. */
    String readLine(int errorStatus) throws IOException {
        int end = findLineEnd(0);
        while (end < 0) {
            if (buffer.size() > MAX_CHUNK_LINE_BYTES) {
                throw new BadMessageException(errorStatus, "line too long");
            }
            int seen = Math.max(0, buffer.size() - 1);
            fillOrThrow();
            end = findLineEnd(seen);
        }
        byte[] text = buffer.take(end);
        buffer.skip(2);
        return new String(text, StandardCharsets.ISO_8859_1);
    }

    private void fillOrThrow() throws IOException {
        if (buffer.fill(in) < 0) {
            throw new EOFException("connection ended within a message");
        }
    }
}
