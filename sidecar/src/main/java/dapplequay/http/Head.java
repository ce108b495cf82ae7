package dapplequay.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The start line and header fields of a message. Parsing is strict: anything that two parsers could read differently is
 * rejected, as a disagreement on where a message ends would mix up the responses of two clients.
 */
public final class Head {
    private static final int MAX_FIELDS = 100;

    /** A request's method, target and version, or a response's version, status and reason (which may be absent). */
    public final String[] startLine;
    public final List<Field> fields = new ArrayList<>();

    public record Field(String name, String value) { }

    private Head(String[] startLine) {
        this.startLine = startLine;
    }

    /** Parses the lines of a request head, without the empty line that ends it. */
    public static Head parseRequest(byte[] text) throws BadMessageException {
        String[] lines = lines(text);
        String[] startLine = lines[0].split(" ", -1);
        if (startLine.length == 3) {
            startLine[1] = originForm(startLine[1]);
        }
        if (startLine.length != 3 || !isToken(startLine[0]) || !isTarget(startLine[1])) {
            throw new BadMessageException(400, "bad request line");
        }
        if (!isVersion(startLine[2])) {
            throw new BadMessageException(startLine[2].startsWith("HTTP/") ? 505 : 400, "bad version");
        }
        return new Head(startLine).readFields(lines);
    }

    /** Reduces an absolute-form target, which every server has to accept, to its path and query. */
    private static String originForm(String target) {
        if (!target.regionMatches(true, 0, "http://", 0, 7)) {
            return target;
        }
        int path = target.indexOf('/', 7);
        return path < 0 ? "/" : target.substring(path);
    }

    public static Head parseResponse(byte[] text) throws BadMessageException {
        String[] lines = lines(text);
        String[] startLine = lines[0].split(" ", 3);
        if (startLine.length < 2 || !isVersion(startLine[0]) || !startLine[1].matches("[1-5][0-9][0-9]")) {
            throw new BadMessageException(502, "bad status line");
        }
        return new Head(startLine).readFields(lines);
    }

    private static String[] lines(byte[] text) {
        return new String(text, StandardCharsets.ISO_8859_1).split("\r\n", -1);
    }

    private Head readFields(String[] lines) throws BadMessageException {
        if (lines.length - 1 > MAX_FIELDS) {
            throw new BadMessageException(431, "too many header fields");
        }
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = colon < 0 ? "" : lines[i].substring(0, colon);
            String value = lines[i].substring(colon + 1);
            if (!isToken(name) || !isFieldValue(value)) {
                throw new BadMessageException(400, "bad header field");
            }
            fields.add(new Field(name, value.strip()));
        }
        return this;
    }

    /**
     * Returns the value of the field with this name, or null if there is none.
     *
     * @throws BadMessageException if there are several with different values
     */
    public String get(String name) throws BadMessageException {
        String found = null;
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                if (found != null && !found.equals(field.value())) {
                    throw new BadMessageException(400, "contradicting " + name);
                }
                found = field.value();
            }
        }
        return found;
    }

    /** True if a comma-separated field with this name contains the token, ignoring case. */
    public boolean hasToken(String name, String token) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                for (String element : field.value().split(",")) {
                    if (element.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** True if the connection is closed after this message; {@code version} is the message's HTTP version. */
    public boolean closesConnection(String version) {
        return hasToken("Connection", "close")
                || version.equals("HTTP/1.0") && !hasToken("Connection", "keep-alive");
    }

    /** Appends all fields but the hop-by-hop ones and those in {@code excluded}, which are lower-case names. */
    public void appendEndToEndFields(StringBuilder out, List<String> excluded) {
        for (Field field : fields) {
            String name = field.name().toLowerCase(Locale.ROOT);
            if (!excluded.contains(name) && !HOP_BY_HOP.contains(name) && !hasToken("Connection", name)) {
                out.append(field.name()).append(": ").append(field.value()).append("\r\n");
            }
        }
    }

    private static final List<String> HOP_BY_HOP = List.of("connection", "keep-alive", "proxy-authenticate",
            "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
            "content-length", "expect");

    private static boolean isVersion(String text) {
        return text.equals("HTTP/1.1") || text.equals("HTTP/1.0");
    }

    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!letter && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isTarget(String text) {
        return text.startsWith("/") && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private static boolean isFieldValue(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c != 0x7f || c == '\t');
    }
}
