package dapplequay.lab.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Cuts a stream of bytes into HTTP/1.1 messages. It is the laboratory's own reading, apart from the sidecar's,
 * so that a fault of one is not hidden by the same fault in the other.
 */
public final class MessageParser {
    private static final int MAX_HEAD = 32 * 1024;
    private static final int MAX_BODY = 64 * 1024 * 1024;
    private static final byte[] NONE = new byte[0];

    private final boolean responses;
    private byte[] bytes = NONE;
    private int from;
    private int to;
    private String startLine;
    private Map<String, String> headers;
    private int bodyLeft;
    private boolean chunked;
    private boolean untilEnd;
    private final java.io.ByteArrayOutputStream chunks = new java.io.ByteArrayOutputStream(0);

    /** {@code responses}: whether the stream holds responses, or else requests. */
    public MessageParser(boolean responses) {
        this.responses = responses;
    }

    public void append(ByteBuffer more) {
        int count = more.remaining();
        if (to + count > bytes.length) {
            byte[] larger = to - from + count <= bytes.length ? bytes
                    : new byte[Math.max(512, Math.max(2 * bytes.length, to - from + count))];
            System.arraycopy(bytes, from, larger, 0, to - from);
            bytes = larger;
            to -= from;
            from = 0;
        }
        more.get(bytes, to, count);
        to += count;
    }

    /** Whether a message has begun and is not whole. */
    public boolean isWithin() {
        return to > from || startLine != null;
    }

    /** The next whole message, or null where more bytes are needed. */
    public Message next() throws MalformedHttpException {
        if (startLine == null && !head()) {
            return null;
        }
        if (chunked) {
            return nextChunk() ? done(chunks.toByteArray()) : null;
        }
        if (untilEnd || to - from < bodyLeft) {
            return null;
        }
        byte[] body = bodyLeft == 0 ? NONE : java.util.Arrays.copyOfRange(bytes, from, from + bodyLeft);
        from += bodyLeft;
        return done(body);
    }

    /** The peer sends nothing more: the message that this ends, or null. */
    public Message atEnd() {
        if (startLine == null || !untilEnd) {
            return null;
        }
        byte[] body = java.util.Arrays.copyOfRange(bytes, from, to);
        from = to;
        return done(body);
    }

    private Message done(byte[] body) {
        Message message = new Message(startLine, headers, body);
        startLine = null;
        chunks.reset();
        if (from == to) {
            from = 0;
            to = 0;
            bytes = bytes.length > 4096 ? NONE : bytes;
        }
        return message;
    }

    private boolean head() throws MalformedHttpException {
        int end = endOfHead();
        if (end < 0) {
            if (to - from > MAX_HEAD) {
                throw new MalformedHttpException("head is too long");
            }
            return false;
        }
        String[] lines = new String(bytes, from, end - from, StandardCharsets.ISO_8859_1).split("\r\n");
        from = end + 4;
        checkStart(lines[0]);
        headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new MalformedHttpException("header without a name");
            }
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        startLine = lines[0];
        frame();
        return true;
    }

    private void checkStart(String line) throws MalformedHttpException {
        boolean good = responses ? line.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")
                : line.matches("[A-Z]+ [^ ]+ HTTP/1\\.[01]");
        if (!good) {
            throw new MalformedHttpException("no HTTP/1.1 message");
        }
    }

    private void frame() throws MalformedHttpException {
        chunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        String length = headers.get("content-length");
        untilEnd = false;
        bodyLeft = 0;
        if (chunked) {
            return;
        }
        if (length != null) {
            if (!length.matches("[0-9]{1,9}") || Integer.parseInt(length) > MAX_BODY) {
                throw new MalformedHttpException("bad Content-Length");
            }
            bodyLeft = Integer.parseInt(length);
        } else if (responses) {
            String status = startLine.substring(9, 12);
            untilEnd = !status.equals("204") && !status.equals("304") && !status.startsWith("1");
        }
    }

    /** Whether the last chunk is in. */
    private boolean nextChunk() throws MalformedHttpException {
        while (true) {
            int lineEnd = find(from, "\r\n");
            if (lineEnd < 0) {
                return false;
            }
            String line = new String(bytes, from, lineEnd - from, StandardCharsets.ISO_8859_1);
            String size = line.contains(";") ? line.substring(0, line.indexOf(';')).trim() : line.trim();
            if (!size.matches("[0-9a-fA-F]{1,7}")) {
                throw new MalformedHttpException("bad chunk size");
            }
            int count = Integer.parseInt(size, 16);
            if (to < lineEnd + 2 + count + 2) {
                return false;
            }
            chunks.write(bytes, lineEnd + 2, count);
            from = lineEnd + 2 + count + 2;
            if (count == 0) {
                return true;
            }
        }
    }

    private int endOfHead() {
        return find(from, "\r\n\r\n");
    }

    private int find(int start, String what) {
        for (int i = start; i + what.length() <= to; i++) {
            int k = 0;
            while (k < what.length() && bytes[i + k] == what.charAt(k)) {
                k++;
            }
            if (k == what.length()) {
                return i;
            }
        }
        return -1;
    }
}
