package dapplequay.net;

import dapplequay.BalancerApi.Semantics;
import dapplequay.facade.AttemptEnd;
import dapplequay.facade.Decision;
import dapplequay.facade.Facade;
import dapplequay.facade.ListUpdate;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs made-up requests through the parsers, the decisions and the responses, in memory only, before the listening
 * socket is opened. A process that is still loading and compiling its classes needs several times the CPU for a
 * request; if clients connected from its first moment, it would fall behind and fail them.
 */
final class WarmUp {
    private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());
    /** Enough rounds for the JIT compiler to have compiled the code that each request runs. */
    private static final int MAX_ROUNDS = 1_200;
    /** Time limit in microseconds, as clients wait meanwhile. */
    private static final long MAX_DURATION_US = 1_000_000;
    private static final int HOST_COUNT = 9;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Load-Report: inflight=2,queue=1\r\n"
            + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone";

    private final Setup setup;
    private final DeadlineQueue deadlines;
    private final Facade facade;

    /** Uses a separate facade, which is discarded, so that the made-up responses don't count as a host's. */
    WarmUp(Setup setup, DeadlineQueue deadlines) {
        this.setup = setup;
        this.deadlines = deadlines;
        facade = new Facade(setup, 1, deadlines::now, line -> { });
    }

    /** Returns the number of rounds run. A failure ends the warm-up and is logged; serving does not depend on it. */
    int run() {
        int rounds = 0;
        long endUs = deadlines.now() + MAX_DURATION_US;
        try {
            List<ListUpdate.ServerEntry> entries = new ArrayList<>();
            for (int i = 0; i < HOST_COUNT; i++) {
                String zone = setup.settings().zones().get(i % setup.settings().zones().size());
                entries.add(new ListUpdate.ServerEntry("w" + i, zone, i % 2, ListUpdate.State.SERVING, 1, 0));
            }
            facade.applyListUpdate(new ListUpdate(ListUpdate.Kind.RESTORED, entries));
            while (rounds < MAX_ROUNDS && deadlines.now() < endUs) {
                runRound(rounds++);
            }
        } catch (IOException | RuntimeException | OutOfMemoryError | StackOverflowError e) {
            LOG.log(Level.WARNING, "warm-up failed", e);
        }
        return rounds;
    }

    private void runRound(int number) throws IOException {
        MessageReader requestReader = reader(requestText(number));
        requestReader.awaitData();
        Head head = requestReader.readRequestHead();
        ClientRequest request = ClientRequest.parse(head, requestReader.readRequestBody(head), null, setup);
        long id = facade.nextRequestId();
        Decision decision = facade.pick(id, request.toRequestInfo(request.budgetUs()));
        if (decision instanceof Decision.Send send) {
            DeadlineQueue.Deadline deadline = deadlines.schedule(send.timeoutUs(), () -> { });
            request.toBytes(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), send.timeoutUs());
            MessageReader responseReader = reader(RESPONSE);
            Head responseHead = responseReader.readResponseHead();
            byte[] body = responseReader.readResponseBody(responseHead);
            facade.reportAttempt(id, send.attempt(), send.host(), AttemptEnd.SERVED, 1_000, true,
                    LoadReportParser.parse(responseHead));
            ClientResponses.fromUpstream(responseHead, body).toBytes("");
            deadlines.cancel(deadline);
        }
        facade.tick();
    }

    private static MessageReader reader(String text) {
        return new MessageReader(new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private String requestText(int number) {
        int index = number % setup.settings().classes().size();
        var serviceClass = setup.settings().classes().get(index);
        var tenants = setup.settings().tenants();
        String tenant = tenants.isEmpty() ? ""
                : "X-Caller: " + tenants.get(number % tenants.size()).name() + "\r\n";
        boolean isGet = serviceClass.semantics() == Semantics.RETRYABLE;
        return (isGet ? "GET /" : "POST /") + serviceClass.name() + "/1?obj=w" + number
                + " HTTP/1.1\r\nHost: w\r\nX-Call-Id: " + Integer.toHexString(number) + "\r\n" + tenant
                + "X-Budget-Ms: " + Math.max(1, serviceClass.deadlineUs() / 1000) + "\r\n"
                + (isGet ? "\r\n" : "Idempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody");
    }
}
