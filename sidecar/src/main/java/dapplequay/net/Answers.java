package dapplequay.net;

import dapplequay.http.Head;
import dapplequay.http.Body;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The answers that clients get, but for what depends on their connection. */
final class Answers {
    private static final Map<Integer, String> REASONS = Map.ofEntries(Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"), Map.entry(403, "Forbidden"), Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"), Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"), Map.entry(413, "Content Too Large"),
            Map.entry(431, "Request Header Fields Too Large"), Map.entry(500, "Internal Server Error"),
            Map.entry(502, "Bad Gateway"), Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"), Map.entry(505, "HTTP Version Not Supported"));
    private static final List<String> FOR_THE_SIDECAR = List.of("x-load-report");

    private Answers() { }

    /** The start of an answer's head, without its length and its end; and the body. */
    record Answer(StringBuilder head, byte[] body) {
        /** {@code connection}: what is said of the connection, with its line's end, or nothing. */
        byte[] bytes(String connection) {
            head.append("Content-Length: ").append(body.length).append("\r\n").append(connection);
            return ClientRequest.message(head, body);
        }
    }

    static Answer plain(int status, String text) {
        StringBuilder head = start(status).append("Content-Type: text/plain\r\n");
        return new Answer(head, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static Answer served(Head upstream, byte[] body) {
        StringBuilder head = start(200);
        upstream.appendEndToEndFields(head, FOR_THE_SIDECAR);
        return new Answer(head, body);
    }

    /** The start of a long answer: its head, framed for a client of this version, and what has come of the body. */
    static byte[] begun(Head upstream, Body body, byte[] start, String version, String connection) {
        StringBuilder head = start(200);
        upstream.appendEndToEndFields(head, FOR_THE_SIDECAR);
        if (body.length() >= 0) {
            head.append("Content-Length: ").append(body.length()).append("\r\n");
        } else if (!version.equals("HTTP/1.0")) {
            head.append("Transfer-Encoding: chunked\r\n");
        }
        return ClientRequest.message(head.append(connection), isChunked(body, version)
                ? ChunkedFraming.chunkOf(start) : start);
    }

    /** Whether a client of this version gets the body in chunks; else its length or the connection's end ends it. */
    static boolean isChunked(Body body, String version) {
        return body.length() < 0 && !version.equals("HTTP/1.0");
    }

    static Answer tooLate() {
        return plain(408, "request did not come whole in time");
    }

    static Answer failure(int status) {
        return plain(status, status == 504 ? "no answer in time" : "failed");
    }

    /** A new try does no harm; the client is told when to come back. */
    static Answer refusal(long pauseUs) {
        Answer answer = plain(503, "not now");
        if (pauseUs > 0) {
            String seconds = BigDecimal.valueOf(pauseUs, 6).stripTrailingZeros().toPlainString();
            answer.head().append("Retry-After: ").append(seconds).append("\r\n");
        }
        return answer;
    }

    private static StringBuilder start(int status) {
        return new StringBuilder(256).append("HTTP/1.1 ").append(status).append(' ')
                .append(REASONS.getOrDefault(status, "Error")).append("\r\n");
    }
}
