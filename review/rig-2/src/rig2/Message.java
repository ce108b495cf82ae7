package rig2;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream, for clients and servers. */
final class Message {
    final String startLine;
    /** By lower-case name. */
    final Map<String, String> fields = new LinkedHashMap<>();

    private Message(String startLine) {
        this.startLine = startLine;
    }

    /** Reads a head; null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        while (first != null && first.isEmpty()) {
            first = readLine(in);
        }
        if (first == null) {
            return null;
        }
        Message message = new Message(first);
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("end of the stream within a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("end of the stream within a line");
            }
            line.append((char) c);
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
    }

    String field(String name) {
        return fields.get(name);
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String path() {
        return startLine.split(" ")[1];
    }

    /** Receives the bytes of a body as they arrive. */
    interface Sink {
        void accept(byte[] bytes, int count) throws IOException;
    }

    /** Reads the body, whose end a length or the last chunk gives; EOFException if the connection ends before that. */
    void readBody(InputStream in, Sink sink) throws IOException {
        if ("chunked".equalsIgnoreCase(field("transfer-encoding"))) {
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("end of the stream before the last chunk");
                }
                int size = Integer.parseInt(line.split(";")[0].strip(), 16);
                if (size == 0) {
                    for (String trailer = readLine(in); trailer == null || !trailer.isEmpty(); trailer = readLine(in)) {
                        if (trailer == null) {
                            throw new EOFException("end of the stream within the trailers");
                        }
                    }
                    return;
                }
                readCount(in, size, sink);
                readLine(in);
            }
        }
        readCount(in, field("content-length") == null ? 0 : Long.parseLong(field("content-length")), sink);
    }

    private static void readCount(InputStream in, long count, Sink sink) throws IOException {
        byte[] piece = new byte[16 * 1024];
        for (long left = count; left > 0; ) {
            int read = in.read(piece, 0, (int) Math.min(piece.length, left));
            if (read < 0) {
                throw new EOFException((count - left) + " of " + count + " bytes, then the end of the stream");
            }
            sink.accept(piece, read);
            left -= read;
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
