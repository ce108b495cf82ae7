package dapplequay.net;

import dapplequay.BalancerApi.Semantics;
import dapplequay.facade.RequestInfo;
import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.Sockets;
import dapplequay.settings.SettingsReader.Setup;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A request of the client's, checked against the settings: what is wrong with it, no upstream sees. {@code body}:
 * all of a short one's; of a long one the part that is held, and {@code rest} is what is still to come (else null).
 * {@code about}: the key that hosts may remember, or null.
 */
record ClientRequest(Head head, byte[] body, Body rest, String className, String tenant, String about,
                       long budgetUs) {
    private static final List<String> REPLACED = List.of("host", "x-budget-ms");
    private static final String ABOUT = "obj=";
    private static final int LONGEST_ABOUT = 1_024;

    static ClientRequest check(Head head, byte[] body, Body rest, Setup setup) throws BadMessageException {
        String[] target = head.startLine[1].split("\\?", 2);
        String className = target[0].substring(1).split("/", 2)[0];
        Integer serviceClass = setup.classes().get(className);
        if (serviceClass == null) {
            throw new BadMessageException(400, "unknown class");
        }
        Semantics semantics = setup.settings().classes().get(serviceClass).semantics();
        if (!head.startLine[0].equals(semantics == Semantics.RETRYABLE ? "GET" : "POST")) {
            throw new BadMessageException(400, "wrong method for this class");
        }
        if (semantics == Semantics.RETRYABLE && (rest != null || body.length > 0)) {
            throw new BadMessageException(400, "a body with a class that is safe to repeat");
        }
        String key = head.get("Idempotency-Key");
        if (semantics == Semantics.DEDUP && (key == null || key.isEmpty())) {
            throw new BadMessageException(400, "missing Idempotency-Key");
        }
        String id = head.get("X-Call-Id");
        if (id == null || !id.matches("[0-9a-fA-F]{1,16}")) {
            throw new BadMessageException(400, "missing or bad X-Call-Id");
        }
        String budget = head.get("X-Budget-Ms");
        if (budget == null || !budget.matches("[0-9]{1,9}") || Long.parseLong(budget) < 1) {
            throw new BadMessageException(400, "missing or bad X-Budget-Ms");
        }
        // No client waits for longer than its class grants: a greater figure would hold an attempt for good, and
        // make all others look like later tries to the module.
        long longestUs = setup.settings().classes().get(serviceClass).deadlineUs();
        return new ClientRequest(head, body, rest, className, tenant(head, setup), about(target),
                Math.min(Long.parseLong(budget) * 1000, longestUs));
    }

    /** What the request is about, as its query says; null where it does not. */
    private static String about(String[] target) throws BadMessageException {
        String found = null;
        for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
            if (pair.startsWith(ABOUT)) {
                if (found != null || pair.length() == ABOUT.length() || pair.length() > LONGEST_ABOUT) {
                    throw new BadMessageException(400, "obj is empty, too long or there twice");
                }
                found = pair.substring(ABOUT.length());
            }
        }
        return found;
    }

    private static String tenant(Head head, Setup setup) throws BadMessageException {
        if (setup.tenants().isEmpty()) {
            return null;
        }
        String name = head.get("X-Caller");
        if (name == null || !setup.tenants().containsKey(name)) {
            throw new BadMessageException(name == null ? 400 : 403, "missing or unknown tenant");
        }
        return name;
    }

    /** The id as the number it is: other ways of writing it are no other ids. */
    long callId() throws BadMessageException {
        return Long.parseUnsignedLong(head.get("X-Call-Id"), 16);
    }

    RequestInfo call(long leftUs) throws BadMessageException {
        long hint = 0;
        String info = head.get("X-Call-Info");
        if (info != null) {
            for (String pair : info.split(",")) {
                if (pair.strip().matches("estimate_us=[0-9]{1,15}")) {
                    hint = Long.parseLong(pair.strip().substring("estimate_us=".length()));
                }
            }
        }
        return new RequestInfo(className, tenant, about, leftUs, hint,
                "1".equals(head.get("X-Again")), isLong());
    }

    /** Whether its body passes through, as it is too long to be held. */
    boolean isLong() {
        return rest != null;
    }

    /** Whether the upstream gets its body in chunks, as nobody knows yet how long it is. */
    boolean isChunked() {
        return rest != null && rest.length() < 0;
    }

    /**
     * The bytes for the upstream: as the client sent it, but for what concerns one connection alone. Of a long
     * request this is the beginning.
     */
    byte[] bytesFor(InetSocketAddress endpoint, long leftUs) {
        StringBuilder out = new StringBuilder(512);
        out.append(head.startLine[0]).append(' ').append(head.startLine[1]).append(" HTTP/1.1\r\nHost: ")
                .append(Sockets.hostAndPort(endpoint)).append("\r\n");
        head.appendEndToEndFields(out, REPLACED);
        out.append("X-Budget-Ms: ").append(Math.max(1, leftUs / 1000)).append("\r\n");
        if (isChunked()) {
            out.append("Transfer-Encoding: chunked\r\n");
            return message(out, ChunkedFraming.chunkOf(body));
        }
        if (body.length > 0 || !head.startLine[0].equals("GET")) {
            out.append("Content-Length: ").append(isLong() ? rest.length() : body.length).append("\r\n");
        }
        return message(out, body);
    }

    /** A whole message in one piece, so that it leaves in one write. */
    static byte[] message(StringBuilder head, byte[] body) {
        byte[] text = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream out = new ByteArrayOutputStream(text.length + body.length);
        out.writeBytes(text);
        out.writeBytes(body);
        return out.toByteArray();
    }
}
