package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** A server gives a long chunked answer, announced by the size of its first chunk, and takes seconds between two pieces. */
final class PausedChunkedAnswer extends Case {
    private static final int LENGTH = 200_000;
    private static final int FIRST_PIECE = 8_192;
    private static final int PAUSE_MS = 3_000;

    public static void main(String[] arguments) {
        run(new PausedChunkedAnswer(), arguments[0]);
    }

    @Override
    boolean answer(Upstream server, Message request, long bodyBytes, Socket connection) throws Exception {
        Thread.sleep(100);
        byte[] body = new byte[LENGTH];
        for (int i = 0; i < LENGTH; i++) {
            body[i] = (byte) (i % 251);
        }
        boolean chunked = request.path().contains("chunked");
        OutputStream out = connection.getOutputStream();
        try {
            out.write(Message.ascii("HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(LENGTH) + "\r\n" : "Content-Length: " + LENGTH + "\r\n\r\n")));
            out.write(body, 0, FIRST_PIECE);
            record.line("server %s has given the head and %d bytes", server.uid, FIRST_PIECE);
            Thread.sleep(TROUBLE ? PAUSE_MS : 0);
            out.write(body, FIRST_PIECE, LENGTH - FIRST_PIECE);
            out.write(Message.ascii(chunked ? "\r\n0\r\n\r\n" : ""));
            record.line("server %s has given the rest", server.uid);
        } catch (IOException e) {
            record.line("server %s: the sidecar ended the connection: %s", server.uid, e);
            return false;
        }
        return true;
    }

    @Override
    String play() throws Exception {
        startFleet(9);
        try (SidecarProcess sidecar = startSidecar()) {
            String control = request(sidecar, "b1", "length");
            String broken = request(sidecar, "b2", "chunked");
            return broken != null ? broken : control;
        }
    }

    private String request(SidecarProcess sidecar, String id, String form) throws IOException {
        try (Socket client = new Socket("127.0.0.1", sidecar.port)) {
            client.setSoTimeout(20_000);
            double sentMs = record.nowMs();
            client.getOutputStream().write(Message.ascii(Settings.request(id, form, Settings.DEADLINE_MS)));
            record.line("client sent request %s, budget %d ms", id, Settings.DEADLINE_MS);
            long[] received = new long[1];
            boolean[] changed = new boolean[1];
            InputStream in = new BufferedInputStream(client.getInputStream());
            try {
                Message answer = Message.readHead(in);
                record.line("client reads the head of %s after %.0f ms: %s", id, record.nowMs() - sentMs, answer.startLine);
                if (answer.status() != 200) {
                    return null;
                }
                answer.readBody(in, (bytes, count) -> {
                    for (int i = 0; i < count; i++) {
                        changed[0] |= bytes[i] != (byte) ((received[0] + i) % 251);
                    }
                    received[0] += count;
                });
                record.line("client has all %d bytes of %s after %.0f ms", received[0], id, record.nowMs() - sentMs);
                return changed[0] || received[0] != LENGTH ? "the body of " + id + " was changed" : null;
            } catch (IOException e) {
                record.line("client has %d of %d bytes of %s after %.0f ms, then %s", received[0], LENGTH, id,
                        record.nowMs() - sentMs, e);
                return "the sidecar cut off the long answer to " + id + " (" + form + ") after " + received[0] + " of " + LENGTH
                        + " bytes, while the server still gave it";
            }
        }
    }
}
