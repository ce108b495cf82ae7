package dapplequay.net;

import dapplequay.http.Head;
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
        byte[] bytes(boolean last) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
            if (last) {
                head.append("Connection: close\r\n");
            }
            return AcquirerRequest.message(head, body);
        }
    }

    static Answer plain(int status, String text) {
        StringBuilder head = start(status).append("Content-Type: text/plain\r\n");
        return new Answer(head, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static Answer served(Head upstream, byte[] body) {
        StringBuilder head = start(200);
        upstream.passOn(head, FOR_THE_SIDECAR);
        return new Answer(head, body);
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
