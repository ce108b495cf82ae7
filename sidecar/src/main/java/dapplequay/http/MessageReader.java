package dapplequay.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads one side's messages off a connection, as far as the limits allow. */
public final class MessageReader {
    public static final int MAX_HEAD_BYTES = 8 * 1024;
    /** Bodies up to this are short: they are read whole before anything is done with them. */
    public static final int SHORT_BODY_BYTES = 64 * 1024;
    /** Bodies beyond this are refused, so that one that never ends is seen as such. */
    public static final int MAX_BODY_BYTES = 40 * 1024 * 1024;
    private static final int MAX_CHUNK_LINE_BYTES = 1024;

    /** Discovery's list of a large fleet is longer than any body that clients and hosts may send. */
    public static final int MAX_SERVER_LIST_BYTES = 4 * 1024 * 1024;

    private final InputStream in;
    private final int maxBodyBytes;
    /** Holds heads and chunk lines; bodies pass by it, but for what came along with these. */
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

    int bufferedBytes() {
        return buffer.size();
    }

    /** Whether as much lies here unused as may. */
    public boolean isBufferFull() {
        return buffer.isFull();
    }

    /** Reads once, behind what lies here unused: how many bytes, -1 at the end of the stream. Not where it is full. */
    public int readAhead() throws IOException {
        return buffer.fill(in);
    }

    /** How much is read at once from now on, as far as it is buffered; 0: little. */
    void setReadSize(int bytes) {
        buffer.setReadSize(bytes);
    }

    /** Whether these bytes lie in the buffer from that place on. */
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

    /** Where a line ends that lies in the buffer from that place on; -1 where its end is not there. */
    int findLineEnd(int offset) {
        for (int at = offset; at + 2 <= buffer.size(); at++) {
            if (buffer.at(at) == '\r' && buffer.at(at + 1) == '\n') {
                return at;
            }
        }
        return -1;
    }

    /** Reads more into the buffer; false at the end of the stream. */
    boolean fill() throws IOException {
        return buffer.fill(in) > 0;
    }

    /** Waits until there is something to read; false at the end of the stream. */
    public boolean awaitData() throws IOException {
        return buffer.size() > 0 || buffer.fill(in) > 0;
    }

    /** The same before a request: empty lines that come first, as some clients end a body with one, are passed over. */
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

    /** The final response's head: those that only tell of progress are passed over. */
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

    /** The body of a request, to be read bit by bit; BadMessage where its framing is not clear. */
    public Body requestBody(Head request) throws BadMessageException {
        return openBody(request, 400, false);
    }

    /** The body of a response to anything but HEAD. */
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

    /** Whether only the end of the connection ends this answer's body. */
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

    /** Up to {@code most} bytes as they come, at least one; -1 at the end of the stream. */
    int read(byte[] target, int offset, int maxCount) throws IOException {
        return buffer.size() > 0 ? buffer.take(target, offset, maxCount) : in.read(target, offset, maxCount);
    }

    /** A line of a chunked body, without its end. */
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
