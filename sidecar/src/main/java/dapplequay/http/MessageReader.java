package dapplequay.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads one side's messages off a connection, as far as the limits allow. */
public final class MessageReader {
    public static final int MAX_HEAD = 8 * 1024;
    /** Bodies up to this are short: they are read whole before anything is done with them. */
    public static final int MAX_BODY = 64 * 1024;
    /** Bodies beyond this are refused, so that one that never ends is seen as such. */
    public static final int LONGEST_BODY = 40 * 1024 * 1024;
    private static final int MAX_CHUNK_LINE = 1024;

    /** Discovery's list of a large fleet is longer than any body that clients and hosts may send. */
    public static final int MAX_LIST = 4 * 1024 * 1024;

    private final InputStream in;
    private final int maxBody;
    /** Holds heads and chunk lines; bodies pass by it, but for what came along with these. */
    private final Buffer buffer = new Buffer(MAX_HEAD + MAX_BODY);

    public MessageReader(InputStream in) {
        this(in, MAX_BODY);
    }

    public MessageReader(InputStream in, int maxBody) {
        this.in = in;
        this.maxBody = maxBody;
    }

    public boolean hasBytes() {
        return buffer.size() > 0;
    }

    int buffered() {
        return buffer.size();
    }

    /** Whether as much lies here unused as may. */
    public boolean isFull() {
        return buffer.isFull();
    }

    /** Reads once, behind what lies here unused: how many bytes, -1 at the end of the stream. Not where it is full. */
    public int readAhead() throws IOException {
        return buffer.fill(in);
    }

    /** How much is read at once from now on, as far as it is buffered; 0: little. */
    void want(int bytes) {
        buffer.want(bytes);
    }

    /** Whether these bytes lie in the buffer from that place on. */
    boolean isBuffered(int at, String bytes) {
        if (buffer.size() < at + bytes.length()) {
            return false;
        }
        for (int i = 0; i < bytes.length(); i++) {
            if (buffer.at(at + i) != bytes.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Where a line ends that lies in the buffer from that place on; -1 where its end is not there. */
    int lineEnd(int from) {
        for (int at = from; at + 2 <= buffer.size(); at++) {
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
    public boolean await() throws IOException {
        return buffer.size() > 0 || buffer.fill(in) > 0;
    }

    /** The same before a request: empty lines that come first, as some clients end a body with one, are passed over. */
    public boolean awaitRequest() throws IOException {
        while (true) {
            while (isBuffered(0, "\r\n")) {
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

    /** The body of a request, to be read bit by bit; BadMessage where its framing is not clear. */
    public Body body(Head request) throws BadMessage {
        return body(request, 400, false);
    }

    /** The body of a response to anything but HEAD. */
    public Body bodyOf(Head response) throws BadMessage {
        return body(response, 502, lastsToTheEnd(response));
    }

    private Body body(Head head, int status, boolean toTheEnd) throws BadMessage {
        if (head.start[1].equals("204") || head.start[1].equals("304")) {
            return new Body(this, Body.Framing.LENGTH, 0, maxBody, status);
        }
        long length = length(head, status);
        if (head.get("Transfer-Encoding") != null) {
            if (length >= 0 || !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")
                    || head.start[status == 400 ? 2 : 0].equals("HTTP/1.0")) {
                throw new BadMessage(status, "bad Transfer-Encoding");
            }
            return new Body(this, Body.Framing.CHUNKED, -1, maxBody, status);
        }
        return toTheEnd ? new Body(this, Body.Framing.TO_END, -1, maxBody, status)
                : new Body(this, Body.Framing.LENGTH, Math.max(0, length), maxBody, status);
    }

    public byte[] requestBody(Head head) throws IOException {
        return body(head).all();
    }

    public byte[] responseBody(Head head) throws IOException {
        return bodyOf(head).all();
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

    /** Up to {@code most} bytes as they come, at least one; -1 at the end of the stream. */
    int read(byte[] to, int at, int most) throws IOException {
        return buffer.size() > 0 ? buffer.take(to, at, most) : in.read(to, at, most);
    }

    /** A line of a chunked body, without its end. */
    String line(int status) throws IOException {
        int end = lineEnd(0);
        while (end < 0) {
            if (buffer.size() > MAX_CHUNK_LINE) {
                throw new BadMessage(status, "line too long");
            }
            int seen = Math.max(0, buffer.size() - 1);
            more();
            end = lineEnd(seen);
        }
        byte[] text = buffer.take(end);
        buffer.skip(2);
        return new String(text, StandardCharsets.ISO_8859_1);
    }

    private void more() throws IOException {
        if (buffer.fill(in) < 0) {
            throw new EOFException("connection ended within a message");
        }
    }
}
