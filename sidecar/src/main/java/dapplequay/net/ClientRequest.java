package dapplequay.net;

import dapplequay.BalancerApi.Semantics;
import dapplequay.facade.RequestInfo;
import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.Sockets;
import dapplequay.settings.SettingsReader.Setup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A client's request, validated against the settings; an invalid one is never sent upstream.
 *
 * @param body          the whole body, or for a streamed request the buffered beginning
 * @param remainingBody the part of a streamed body that is still to be read, else null
 * @param objectKey     the key that upstreams may cache by, or null
 */
record ClientRequest(Head head, byte[] body, Body remainingBody, String className, String tenant, String objectKey,
                       long budgetUs) {
    private static final List<String> REPLACED_FIELDS = List.of("host", "x-budget-ms");
    private static final String OBJECT_PARAMETER = "obj=";
    private static final int MAX_OBJECT_PARAMETER_LENGTH = 1_024;

    static ClientRequest parse(Head head, byte[] body, Body remainingBody, Setup setup) throws BadMessageException {
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
        if (semantics == Semantics.RETRYABLE && (remainingBody != null || body.length > 0)) {
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
        // No client waits longer than the deadline of its class. A larger budget would keep an attempt open far too
        // long, and the decision module would take all other requests for later tries.
        long maxBudgetUs = setup.settings().classes().get(serviceClass).deadlineUs();
        return new ClientRequest(head, body, remainingBody, className, tenant(head, setup), objectKey(target),
                Math.min(Long.parseLong(budget) * 1000, maxBudgetUs));
    }

    /** Returns the value of the query's {@code obj} parameter, or null if there is none. */
    private static String objectKey(String[] target) throws BadMessageException {
        String objectKey = null;
        for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
            if (pair.startsWith(OBJECT_PARAMETER)) {
                if (objectKey != null || pair.length() == OBJECT_PARAMETER.length()
                        || pair.length() > MAX_OBJECT_PARAMETER_LENGTH) {
                    throw new BadMessageException(400, "obj is empty, too long or there twice");
                }
                objectKey = pair.substring(OBJECT_PARAMETER.length());
            }
        }
        return objectKey;
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

    /** Returns the id as a number, so that other spellings of it (case, leading zeros) are the same id. */
    long callId() throws BadMessageException {
        return Long.parseUnsignedLong(head.get("X-Call-Id"), 16);
    }

    RequestInfo toRequestInfo(long leftUs) throws BadMessageException {
        long estimateUs = 0;
        String callInfo = head.get("X-Call-Info");
        if (callInfo != null) {
            for (String pair : callInfo.split(",")) {
                if (pair.strip().matches("estimate_us=[0-9]{1,15}")) {
                    estimateUs = Long.parseLong(pair.strip().substring("estimate_us=".length()));
                }
            }
        }
        return new RequestInfo(className, tenant, objectKey, leftUs, estimateUs,
                "1".equals(head.get("X-Again")), isStreamed());
    }

    /** True if the body is too long to buffer and is passed on as it arrives. */
    boolean isStreamed() {
        return remainingBody != null;
    }

    /** True if the upstream gets the body in chunks, as its length is not known in advance. */
    boolean isChunked() {
        return remainingBody != null && remainingBody.length() < 0;
    }

    /**
     * Returns the message for the upstream: what the client sent, without the fields that concern one connection only.
     * For a streamed request this is the head and the buffered beginning of the body.
     */
    byte[] toBytes(InetSocketAddress endpoint, long leftUs) {
        StringBuilder out = new StringBuilder(512);
        out.append(head.startLine[0]).append(' ').append(head.startLine[1]).append(" HTTP/1.1\r\nHost: ")
                .append(Sockets.hostAndPort(endpoint)).append("\r\n");
        head.appendEndToEndFields(out, REPLACED_FIELDS);
        out.append("X-Budget-Ms: ").append(Math.max(1, leftUs / 1000)).append("\r\n");
        if (isChunked()) {
            out.append("Transfer-Encoding: chunked\r\n");
            return toMessage(out, ChunkedFraming.chunkOf(body));
        }
        if (body.length > 0 || !head.startLine[0].equals("GET")) {
            out.append("Content-Length: ").append(isStreamed() ? remainingBody.length() : body.length).append("\r\n");
        }
        return toMessage(out, body);
    }

    /** Returns head and body as one array, so that they are sent in one write. */
    static byte[] toMessage(StringBuilder head, byte[] body) {
        byte[] text = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = Arrays.copyOf(text, text.length + body.length);
        System.arraycopy(body, 0, message, text.length, body.length);
        return message;
    }
}
