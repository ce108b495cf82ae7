package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** A client sends several requests at once on one connection, each with its own time. */
final class PipelinedRequests extends Case {
    private static final int REQUESTS = 10;
    private static final int WORK_MS = 390;
    /** Up to half a second after its time an answer only earns nothing; later it is lost. */
    private static final int LATE_MS = 500;
    /** The protocol's slack for limits on sockets. */
    private static final int SLACK_MS = 50;

    public static void main(String[] arguments) {
        run(new PipelinedRequests(), arguments[0]);
    }

    @Override
    boolean answer(Upstream server, Message request, long bodyBytes, Socket connection) throws Exception {
        Thread.sleep(WORK_MS);
        Upstream.writeOk(connection, "done " + request.field("x-call-id"));
        return true;
    }

    @Override
    String play() throws Exception {
        startFleet(9);
        String broken = null;
        try (SidecarProcess sidecar = startSidecar(); Socket client = new Socket("127.0.0.1", sidecar.port)) {
            client.setSoTimeout(20_000);
            client.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(client.getInputStream());
            double[] sentMs = new double[REQUESTS];
            if (TROUBLE) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < REQUESTS; i++) {
                    all.append(Settings.request("c" + i, "k" + i, Settings.DEADLINE_MS));
                }
                client.getOutputStream().write(Message.ascii(all.toString()));
                java.util.Arrays.fill(sentMs, record.nowMs());
                record.line("client sent %d requests at once, budget %d ms each", REQUESTS, Settings.DEADLINE_MS);
            }
            for (int i = 0; i < REQUESTS; i++) {
                if (!TROUBLE) {
                    client.getOutputStream().write(Message.ascii(Settings.request("c" + i, "k" + i, Settings.DEADLINE_MS)));
                    sentMs[i] = record.nowMs();
                }
                Message answer = Message.readHead(in);
                if (answer == null) {
                    record.line("the connection ended before the answer to c%d", i);
                    break;
                }
                StringBuilder body = new StringBuilder();
                answer.readBody(in, (bytes, count) -> body.append(new String(bytes, 0, count)));
                double tookMs = record.nowMs() - sentMs[i];
                record.line("answer %d after %.0f ms: %s, %s", i, tookMs, answer.startLine, body.toString().strip());
                if (tookMs > Settings.DEADLINE_MS + LATE_MS + SLACK_MS && broken == null) {
                    broken = String.format("request c%d got its answer %.0f ms after it was sent; its time was %d ms", i, tookMs,
                            Settings.DEADLINE_MS);
                }
                if ("close".equalsIgnoreCase(answer.field("connection"))) {
                    break;
                }
            }
        } catch (IOException e) {
            record.line("client: %s", e);
        }
        return broken;
    }
}
