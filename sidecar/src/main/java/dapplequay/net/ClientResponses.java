package dapplequay.net;

import dapplequay.http.Head;
import dapplequay.http.Body;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Builds the responses to clients, apart from the Connection field, which depends on the client's connection. */
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

    /** Returns the Connection field with its line end, or an empty string; {@code last}: the connection is closed. */
    static String connectionField(boolean last, String httpVersion) {
        return last ? "Connection: close\r\n" : httpVersion.equals("HTTP/1.0") ? "Connection: keep-alive\r\n" : "";
    }

    /** Returns the interim response that asks a client for the body of its request. */
    static byte[] continueSending() {
        return "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A response: its head up to but without Content-Length and the final empty line, and its body. */
    record Response(StringBuilder head, byte[] body) {
        int status() {
            int offset = "HTTP/1.1 ".length();
            return Integer.parseInt(head.substring(offset, offset + 3));
        }

        /**
         * Returns the whole message. {@code connectionField}: the Connection field with its line end, or an empty
         * string.
         */
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
        upstreamHead.appendEndToEndFields(head, SIDECAR_ONLY_FIELDS);
        return new Response(head, body);
    }

    /**
     * Returns the head of a streamed response, framed for the client's HTTP version, with the first bytes of the body.
     */
    static byte[] streamStart(Head upstreamHead, Body body, byte[] bodyStart, String httpVersion,
            String connectionField) {
        StringBuilder head = statusLine(200);
        upstreamHead.appendEndToEndFields(head, SIDECAR_ONLY_FIELDS);
        if (body.length() >= 0) {
            head.append("Content-Length: ").append(body.length()).append("\r\n");
        } else if (!httpVersion.equals("HTTP/1.0")) {
            head.append("Transfer-Encoding: chunked\r\n");
        }
        return ClientRequest.toMessage(head.append(connectionField), isChunked(body, httpVersion)
                ? ChunkedFraming.chunkOf(bodyStart) : bodyStart);
    }

    /**
     * True if the body is sent to a client of this HTTP version in chunks; else its length or the end of the connection
     * delimits it.
     */
    static boolean isChunked(Body body, String httpVersion) {
        return body.length() < 0 && !httpVersion.equals("HTTP/1.0");
    }

    static Response requestTimeout() {
        return plainText(408, "request did not come whole in time");
    }

    static Response failure(int status) {
        return plainText(status, status == 504 ? "no answer in time" : "failed");
    }

    /**
     * Returns a refusal, after which the client may safely retry; Retry-After says when, if {@code retryAfterUs} is
     * positive.
     */
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
