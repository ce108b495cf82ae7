package dapplequay.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads one side's messages off a connection, as far as the limits allow. */
public final class MessageReader {
    public static final int MAX_HEAD = 8 * 1024;
    public static final int MAX_BODY = 64 * 1024;
    private static final int MAX_CHUNK_LINE = 128;

    /** Discovery's list of a large fleet is longer than any body that clients and hosts may send. */
    public static final int MAX_LIST = 4 * 1024 * 1024;

    private final InputStream in;
    private final int maxBody;
    private final Buffer buffer;

    public MessageReader(InputStream in) {
        this(in, MAX_BODY);
    }

    public MessageReader(InputStream in, int maxBody) {
        this.in = in;
        this.maxBody = maxBody;
        buffer = new Buffer(MAX_HEAD + maxBody);
    }

    public boolean hasBytes() {
        return buffer.size() > 0;
    }

    /** Waits until there is something to read; false at the end of the stream. */
    public boolean await() throws IOException {
        return buffer.size() > 0 || buffer.fill(in) > 0;
    }

    public Head request() throws IOException {
        return Head.request(headText());
    }

    /** The final response's head: those that only tell of progress are passed over. */
    public Head response() throws IOException {
        while (true) {
            Head head = Head.response(headText());
            if (!head.start[1].startsWith("1")) {
                return head;
            }
            if (head.start[1].equals("101")) {
                throw new BadMessage(502, "upgrade that nobody asked for");
            }
        }
    }

    private byte[] headText() throws IOException {
        int seen = 0;
        while (true) {
            for (; seen + 4 <= buffer.size() && seen <= MAX_HEAD; seen++) {
                if (buffer.at(seen) == '\r' && buffer.at(seen + 1) == '\n' && buffer.at(seen + 2) == '\r'
                        && buffer.at(seen + 3) == '\n') {
                    byte[] text = buffer.take(seen);
                    buffer.skip(4);
                    return text;
                }
            }
            if (buffer.size() >= MAX_HEAD) {
                throw new BadMessage(431, "head too large");
            }
            more();
        }
    }

    public byte[] requestBody(Head head) throws IOException {
        long length = length(head, 400);
        if (head.get("Transfer-Encoding") != null) {
            return chunks(head, length, 400);
        }
        return length < 0 ? new byte[0] : exactly((int) length);
    }

    /** Null as the length of an answer that lasts until its connection ends. */
    public byte[] responseBody(Head head) throws IOException {
        if (head.start[1].equals("204") || head.start[1].equals("304")) {
            return new byte[0];
        }
        long length = length(head, 502);
        if (head.get("Transfer-Encoding") != null) {
            return chunks(head, length, 502);
        }
        if (length >= 0) {
            return exactly((int) length);
        }
        while (buffer.fill(in) >= 0) {
            if (buffer.size() > maxBody) {
                throw new BadMessage(502, "body too large");
            }
        }
        return buffer.take(buffer.size());
    }

    /** Whether only the end of the connection ends this answer's body. */
    public static boolean lastsToTheEnd(Head response) throws BadMessage {
        return response.get("Content-Length") == null && response.get("Transfer-Encoding") == null
                && !response.start[1].equals("204") && !response.start[1].equals("304");
    }

    private long length(Head head, int status) throws BadMessage {
        String text = head.get("Content-Length");
        if (text == null) {
            return -1;
        }
        if (!text.matches("[0-9]{1,18}")) {
            throw new BadMessage(status, "bad Content-Length");
        }
        long length = Long.parseLong(text);
        if (length > maxBody) {
            throw new BadMessage(status == 400 ? 413 : status, "body too large");
        }
        return length;
    }

    private byte[] exactly(int length) throws IOException {
        while (buffer.size() < length) {
            more();
        }
        return buffer.take(length);
    }

    private byte[] chunks(Head head, long length, int status) throws IOException {
        if (length >= 0 || !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            throw new BadMessage(status, "bad Transfer-Encoding");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = line(status);
            int semicolon = line.indexOf(';');
            String size = (semicolon < 0 ? line : line.substring(0, semicolon)).strip();
            if (!size.matches("[0-9a-fA-F]{1,8}")) {
                throw new BadMessage(status, "bad chunk size");
            }
            long count = Long.parseLong(size, 16);
            if (body.size() + count > maxBody) {
                throw new BadMessage(status == 400 ? 413 : status, "body too large");
            }
            if (count == 0) {
                break;
            }
            body.write(exactly((int) count));
            if (!line(status).isEmpty()) {
                throw new BadMessage(status, "bad chunk end");
            }
        }
        int trailers = 0;
        while (!line(status).isEmpty()) {
            if (++trailers > 20) {
                throw new BadMessage(status, "too many trailers");
            }
        }
        return body.toByteArray();
    }

    private String line(int status) throws IOException {
        int seen = 0;
        while (true) {
            for (; seen + 2 <= buffer.size(); seen++) {
                if (buffer.at(seen) == '\r' && buffer.at(seen + 1) == '\n') {
                    byte[] text = buffer.take(seen);
                    buffer.skip(2);
                    return new String(text, StandardCharsets.ISO_8859_1);
                }
            }
            if (buffer.size() > MAX_CHUNK_LINE) {
                throw new BadMessage(status, "line too long");
            }
            more();
        }
    }

    private void more() throws IOException {
        if (buffer.fill(in) < 0) {
            throw new EOFException("connection ended within a message");
        }
    }
}
