package dapplequay.net;

import dapplequay.http.Head;
import dapplequay.http.Body;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The answers that clients get, but for what depends on their connection. */
final class ClientResponses {
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"), Map.entry(403, "Forbidden"), Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"), Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"), Map.entry(413, "Content Too Large"),
            Map.entry(431, "Request Header Fields Too Large"), Map.entry(500, "Internal Server Error"),
            Map.entry(502, "Bad Gateway"), Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"), Map.entry(505, "HTTP Version Not Supported"));
    private static final List<String> SIDECAR_ONLY_FIELDS = List.of("x-load-report");

    private ClientResponses() { }

    /** The start of an answer's head, without its length and its end; and the body. */
    record Response(StringBuilder head, byte[] body) {
        /** {@code connection}: what is said of the connection, with its line's end, or nothing. */
        byte[] toBytes(String connectionField) {
            head.append("Content-Length: ").append(body.length).append("\r\n").append(connectionField);
            return ClientRequest.toMessage(head, body);
        }
    }

    static Response plainText(int status, String text) {
        StringBuilder head = statusLine(status).append("Content-Type: text/plain\r\n");
        return new Response(head, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static Response fromUpstream(Head upstreamHead, byte[] body) {
        StringBuilder head = statusLine(200);
        upstreamHead.passOn(head, SIDECAR_ONLY_FIELDS);
        return new Response(head, body);
    }

    /** The start of a long answer: its head, framed for a client of this version, and what has come of the body. */
    static byte[] streamStart(Head upstreamHead, Body body, byte[] bodyStart, String httpVersion, String connectionField) {
        StringBuilder head = statusLine(200);
        upstreamHead.passOn(head, SIDECAR_ONLY_FIELDS);
        if (body.length() >= 0) {
            head.append("Content-Length: ").append(body.length()).append("\r\n");
        } else if (!httpVersion.equals("HTTP/1.0")) {
            head.append("Transfer-Encoding: chunked\r\n");
        }
        return ClientRequest.toMessage(head.append(connectionField), isChunked(body, httpVersion)
                ? Chunks.of(bodyStart) : bodyStart);
    }

    /** Whether a client of this version gets the body in chunks; else its length or the connection's end ends it. */
    static boolean isChunked(Body body, String httpVersion) {
        return body.length() < 0 && !httpVersion.equals("HTTP/1.0");
    }

    static Response requestTimeout() {
        return plainText(408, "request did not come whole in time");
    }

    static Response failure(int status) {
        return plainText(status, status == 504 ? "no answer in time" : "failed");
    }

    /** A new try does no harm; the client is told when to come back. */
    static Response refusal(long retryAfterUs) {
        Response response = plainText(503, "not now");
        if (retryAfterUs > 0) {
            String seconds = BigDecimal.valueOf(retryAfterUs, 6).stripTrailingZeros().toPlainString();
            response.head().append("Retry-After: ").append(seconds).append("\r\n");
        }
        return response;
    }

    private static StringBuilder statusLine(int status) {
        return new StringBuilder(256).append("HTTP/1.1 ").append(status).append(' ')
                .append(REASON_PHRASES.getOrDefault(status, "Error")).append("\r\n");
    }
}
