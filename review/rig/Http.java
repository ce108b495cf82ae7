import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages of the stand-ins: a head, and a body by length, in chunks or up to the end. */
final class Http {
    static final class Head {
        String startLine;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String get(String name) {
            return fields.get(name);
        }

        String[] parts() {
            return startLine.split(" ", 3);
        }
    }

    private final InputStream in;

    Http(InputStream in) {
        this.in = new BufferedInputStream(in, 16 * 1024);
    }

    InputStream raw() {
        return in;
    }

    /** Called with the first byte of a message; used to time the first byte. */
    interface FirstByte {
        void arrived();
    }

    /** Returns the next head, or null at the end of the stream before its first byte. */
    Head readHead(FirstByte first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        Head head = null;
        boolean any = false;
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (!any) {
                    return null;
                }
                throw new EOFException("end within a head");
            }
            if (!any) {
                any = true;
                if (first != null) {
                    first.arrived();
                }
            }
            if (b != '\n') {
                line.write(b);
                continue;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1).strip();
            line.reset();
            if (head == null) {
                if (text.isEmpty()) {
                    continue;
                }
                head = new Head();
                head.startLine = text;
            } else if (text.isEmpty()) {
                return head;
            } else {
                int colon = text.indexOf(':');
                head.fields.put(text.substring(0, colon), text.substring(colon + 1).strip());
            }
        }
    }

    /** Reads the body; {@code untilEnd}: without a length it goes up to the end of the stream. Keeps at most 1 MB. */
    byte[] readBody(Head head, boolean untilEnd) throws IOException {
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        String coding = head.get("Transfer-Encoding");
        if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            while (true) {
                long size = Long.parseLong(readLine().split(";")[0].strip(), 16);
                if (size == 0) {
                    while (!readLine().isEmpty()) { }
                    return kept.toByteArray();
                }
                take(size, kept);
                readLine();
            }
        }
        String length = head.get("Content-Length");
        if (length != null) {
            take(Long.parseLong(length), kept);
        } else if (untilEnd) {
            byte[] piece = new byte[8192];
            for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
                kept.write(piece, 0, n);
            }
        }
        return kept.toByteArray();
    }

    private void take(long count, ByteArrayOutputStream kept) throws IOException {
        byte[] piece = new byte[16 * 1024];
        long left = count;
        while (left > 0) {
            int n = in.read(piece, 0, (int) Math.min(piece.length, left));
            if (n < 0) {
                throw new EOFException("end within a body, " + left + " bytes short");
            }
            if (kept.size() < 1024 * 1024) {
                kept.write(piece, 0, n);
            }
            left -= n;
        }
    }

    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("end within a line");
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }
}
