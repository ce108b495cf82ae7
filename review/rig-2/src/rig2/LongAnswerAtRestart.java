package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A planned restart while a long answer is passed on: the server goes on giving it, and the client goes on reading. */
final class LongAnswerAtRestart extends Case {
    private static final int LENGTH = 3 << 20;
    private static final int PIECE = 32 << 10;
    private static final int PIECE_EVERY_MS = 50;
    private static final int SIGTERM_AT_MS = 500;
    /** After SIGTERM; no sooner than the longest deadline and 0.7 s. */
    private static final int SIGKILL_AFTER_MS = 12_000;

    private final AtomicLong given = new AtomicLong();

    public static void main(String[] arguments) {
        run(new LongAnswerAtRestart(), arguments[0]);
    }

    @Override
    boolean answer(Upstream server, Message request, long bodyBytes, Socket connection) throws Exception {
        if (!request.path().contains("long")) {
            Upstream.writeOk(connection, "done");
            return true;
        }
        OutputStream out = connection.getOutputStream();
        out.write(Message.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n"));
        byte[] piece = new byte[PIECE];
        try {
            for (int at = 0; at < LENGTH; at += PIECE) {
                for (int i = 0; i < PIECE; i++) {
                    piece[i] = (byte) ((at + i) % 251);
                }
                out.write(piece);
                given.addAndGet(PIECE);
                Thread.sleep(PIECE_EVERY_MS);
            }
            record.line("server %s has given the whole answer", server.uid);
        } catch (IOException e) {
            record.line("server %s: the sidecar ended the connection after %d bytes: %s", server.uid, given.get(), e);
        }
        return false;
    }

    @Override
    String play() throws Exception {
        startFleet(9);
        try (SidecarProcess sidecar = startSidecar(); Socket client = new Socket("127.0.0.1", sidecar.port)) {
            client.setSoTimeout(20_000);
            client.setTcpNoDelay(true);
            double sentMs = record.nowMs();
            client.getOutputStream().write(Message.ascii(Settings.request("a1", "long", Settings.DEADLINE_MS)));
            record.line("client sent request a1, budget %d ms", Settings.DEADLINE_MS);
            Thread platform = Threads.start("platform", () -> {
                Thread.sleep(SIGTERM_AT_MS);
                if (TROUBLE) {
                    sidecar.terminate();
                    if (!sidecar.awaitExit(SIGKILL_AFTER_MS)) {
                        sidecar.kill();
                    }
                }
            });
            long[] received = new long[1];
            boolean[] changed = new boolean[1];
            String end = null;
            InputStream in = new BufferedInputStream(client.getInputStream());
            try {
                Message answer = Message.readHead(in);
                record.line("client reads the head after %.0f ms: %s, length %s", record.nowMs() - sentMs,
                        answer.startLine, answer.field("content-length"));
                if (answer.status() != 200) {
                    return null;
                }
                answer.readBody(in, (bytes, count) -> {
                    for (int i = 0; i < count; i++) {
                        changed[0] |= bytes[i] != (byte) ((received[0] + i) % 251);
                    }
                    received[0] += count;
                });
            } catch (IOException e) {
                end = e.toString();
            }
            boolean alive = sidecar.isAlive();
            record.line("client has %d of %d bytes after %.0f ms%s; sidecar %s", received[0], LENGTH,
                    record.nowMs() - sentMs, end == null ? "" : ", then " + end, alive ? "runs" : "has ended");
            platform.join(2_000);
            if (changed[0]) {
                return "the body was changed";
            }
            return end == null ? null : "the sidecar ended the connection of a long answer, of which the client had "
                    + received[0] + " of " + LENGTH + " bytes, while the server went on giving it";
        }
    }
}
