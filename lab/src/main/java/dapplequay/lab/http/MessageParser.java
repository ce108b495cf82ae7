package dapplequay.lab.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Incremental HTTP/1.1 parser that splits a byte stream into messages. It shares no code with the sidecar's
 * parser, so that a bug in one is not hidden by the same bug in the other.
 */
public final class MessageParser {
    private static final int MAX_HEAD_BYTES = 32 * 1024;
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final byte[] EMPTY = new byte[0];

    private final boolean responses;
    private byte[] buffer = EMPTY;
    private int position;
    private int limit;
    private String startLine;
    private Map<String, String> headers;
    private int bodyLength;
    private boolean chunked;
    private boolean bodyEndsWithStream;
    private final java.io.ByteArrayOutputStream chunkedBody = new java.io.ByteArrayOutputStream(0);

    /** Creates a parser for a stream of responses, or of requests if {@code responses} is false. */
    public MessageParser(boolean responses) {
        this.responses = responses;
    }

    public void append(ByteBuffer input) {
        int count = input.remaining();
        if (limit + count > buffer.length) {
            byte[] larger = limit - position + count <= buffer.length ? buffer
                    : new byte[Math.max(512, Math.max(2 * buffer.length, limit - position + count))];
            System.arraycopy(buffer, position, larger, 0, limit - position);
            buffer = larger;
            limit -= position;
            position = 0;
        }
        input.get(buffer, limit, count);
        limit += count;
    }

    /** True if a message has begun and is not complete. */
    public boolean isMidMessage() {
        return limit > position || startLine != null;
    }

    /** Returns the next complete message, or null if more bytes are needed. */
    public Message next() throws MalformedHttpException {
        if (startLine == null && !parseHead()) {
            return null;
        }
        if (chunked) {
            return readChunks() ? complete(chunkedBody.toByteArray()) : null;
        }
        if (bodyEndsWithStream || limit - position < bodyLength) {
            return null;
        }
        byte[] body = bodyLength == 0 ? EMPTY : java.util.Arrays.copyOfRange(buffer, position, position + bodyLength);
        position += bodyLength;
        return complete(body);
    }

    /** Returns the message whose body the end of the stream completes, or null. */
    public Message finishAtEndOfStream() {
        if (startLine == null || !bodyEndsWithStream) {
            return null;
        }
        byte[] body = java.util.Arrays.copyOfRange(buffer, position, limit);
        position = limit;
        return complete(body);
    }

    private Message complete(byte[] body) {
        Message message = new Message(startLine, headers, body);
        startLine = null;
        chunkedBody.reset();
        if (position == limit) {
            position = 0;
            limit = 0;
            buffer = buffer.length > 4096 ? EMPTY : buffer;
        }
        return message;
    }

    private boolean parseHead() throws MalformedHttpException {
        int end = findEndOfHead();
        if (end < 0) {
            if (limit - position > MAX_HEAD_BYTES) {
                throw new MalformedHttpException("head is too long");
            }
            return false;
        }
        String[] lines = new String(buffer, position, end - position, StandardCharsets.ISO_8859_1).split("\r\n");
        position = end + 4;
        checkStartLine(lines[0]);
        headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new MalformedHttpException("header without a name");
            }
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        startLine = lines[0];
        determineBodyLength();
        return true;
    }

    private void checkStartLine(String line) throws MalformedHttpException {
        boolean valid = responses ? line.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")
                : line.matches("[A-Z]+ [^ ]+ HTTP/1\\.[01]");
        if (!valid) {
            throw new MalformedHttpException("no HTTP/1.1 message");
        }
    }

    private void determineBodyLength() throws MalformedHttpException {
        chunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        String length = headers.get("content-length");
        bodyEndsWithStream = false;
        bodyLength = 0;
        if (chunked) {
            return;
        }
        if (length != null) {
            if (!length.matches("[0-9]{1,9}") || Integer.parseInt(length) > MAX_BODY_BYTES) {
                throw new MalformedHttpException("bad Content-Length");
            }
            bodyLength = Integer.parseInt(length);
        } else if (responses) {
            String status = startLine.substring(9, 12);
            bodyEndsWithStream = !status.equals("204") && !status.equals("304") && !status.startsWith("1");
        }
    }

    /** Reads the chunks that are complete; true if the last one was among them. */
    private boolean readChunks() throws MalformedHttpException {
        while (true) {
            int lineEnd = find(position, "\r\n");
            if (lineEnd < 0) {
                return false;
            }
            String line = new String(buffer, position, lineEnd - position, StandardCharsets.ISO_8859_1);
            String size = line.contains(";") ? line.substring(0, line.indexOf(';')).trim() : line.trim();
            if (!size.matches("[0-9a-fA-F]{1,7}")) {
                throw new MalformedHttpException("bad chunk size");
            }
            int count = Integer.parseInt(size, 16);
            if (limit < lineEnd + 2 + count + 2) {
                return false;
            }
            chunkedBody.write(buffer, lineEnd + 2, count);
            position = lineEnd + 2 + count + 2;
            if (count == 0) {
                return true;
            }
        }
    }

    private int findEndOfHead() {
        return find(position, "\r\n\r\n");
    }

    private int find(int start, String pattern) {
        for (int i = start; i + pattern.length() <= limit; i++) {
            int matched = 0;
            while (matched < pattern.length() && buffer[i + matched] == pattern.charAt(matched)) {
                matched++;
            }
            if (matched == pattern.length()) {
                return i;
            }
        }
        return -1;
    }
}
