package dapplequay.lab.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A complete HTTP request or response. Header names are in lower case. */
public record Message(String startLine, Map<String, String> headers, byte[] body) {
    public String header(String name) {
        return headers.get(name);
    }

    /** Returns the method; for requests only. */
    public String method() {
        return startLine.substring(0, startLine.indexOf(' '));
    }

    /** Returns path and query; for requests only. */
    public String target() {
        int targetStart = startLine.indexOf(' ') + 1;
        return startLine.substring(targetStart, startLine.indexOf(' ', targetStart));
    }

    /** Returns the status code; for responses only. */
    public int status() {
        return Integer.parseInt(startLine.substring(9, 12));
    }

    public boolean isKeepAlive() {
        String connection = headers.get("connection");
        boolean closeRequested = connection != null && connection.equalsIgnoreCase("close");
        return !closeRequested && (startLine.startsWith("HTTP/1.1") || startLine.endsWith("HTTP/1.1"));
    }

    /** Returns the undecoded value of a query parameter, or null if it is absent; for requests only. */
    public String queryParameter(String name) {
        String target = target();
        int queryStart = target.indexOf('?');
        if (queryStart < 0) {
            return null;
        }
        for (String pair : target.substring(queryStart + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return null;
    }

    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
