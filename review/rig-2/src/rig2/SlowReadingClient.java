package rig2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client reads a long answer steadily, but takes seconds for each piece. */
final class SlowReadingClient extends Case {
    private static final int LENGTH = 32_000_000;
    private static final int READ_BYTES = 256 << 10;
    private static final int READ_EVERY_MS = 2_000;
    private static final int WATCHED_MS = 80_000;

    private final AtomicLong given = new AtomicLong();
    private volatile String cut;

    public static void main(String[] arguments) {
        run(new SlowReadingClient(), arguments[0]);
    }

    @Override
    boolean answer(Upstream server, Message request, long bodyBytes, Socket connection) throws Exception {
        OutputStream out = connection.getOutputStream();
        out.write(Message.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n"));
        byte[] piece = new byte[32 << 10];
        try {
            for (int at = 0; at < LENGTH; at += Math.min(piece.length, LENGTH - at)) {
                for (int i = 0; i < piece.length; i++) {
                    piece[i] = (byte) ((at + i) % 251);
                }
                out.write(piece, 0, Math.min(piece.length, LENGTH - at));
                given.addAndGet(Math.min(piece.length, LENGTH - at));
            }
            record.line("server %s has given the whole answer", server.uid);
        } catch (IOException e) {
            cut = "the sidecar ended the server's connection after " + given.get() + " bytes: " + e;
            record.line("server %s: %s", server.uid, cut);
        }
        return false;
    }

    @Override
    String play() throws Exception {
        startFleet(9);
        try (SidecarProcess sidecar = startSidecar(); Socket client = new Socket("127.0.0.1", sidecar.port)) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(Message.ascii(Settings.request("d1", "long", Settings.DEADLINE_MS)));
            double sentMs = record.nowMs();
            InputStream in = client.getInputStream();
            Message answer = Message.readHead(in);
            record.line("client reads the head after %.0f ms: %s", record.nowMs() - sentMs, answer.startLine);
            byte[] piece = new byte[READ_BYTES];
            long received = 0;
            while (received < LENGTH) {
                int wanted = (int) Math.min(READ_BYTES, LENGTH - received);
                int got = in.readNBytes(piece, 0, wanted);
                received += got;
                if (got < wanted) {
                    record.line("client has %d of %d bytes after %.0f ms, then the end", received, LENGTH, record.nowMs() - sentMs);
                    return "the sidecar cut off the long answer after " + received + " of " + LENGTH + " bytes; " + cut;
                }
                boolean watching = record.nowMs() - sentMs < WATCHED_MS && cut == null;
                if (TROUBLE && watching) {
                    record.line("client has %d bytes, server has given %d", received, given.get());
                    Thread.sleep(READ_EVERY_MS);
                }
            }
            record.line("client has the whole answer after %.0f ms", record.nowMs() - sentMs);
            return null;
        }
    }
}
