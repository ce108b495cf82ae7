import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * An upstream as PROTOCOL.md describes it: it begins a request when its last byte has come and answers 200 with the id as
 * body. While frozen, it reads nothing and answers nothing, as a process that hangs; its connections stay open.
 */
final class Upstream {
    /** What the stand-in does with a request. */
    interface Work {
        /** Returns the body of the answer; called when the last byte has come. */
        byte[] run(Upstream upstream, String callId, byte[] body) throws IOException;
    }

    /** Told of the first byte of a request. */
    interface Begun {
        void begun(Upstream upstream, String callId, double firstByteAt);
    }

    final String uid;
    final int port;
    private final Rig rig;
    private final Work work;
    private final Begun begun;
    private final ServerSocket listener;
    private volatile boolean frozen;
    /** If above 0, answers come in chunks of this size. */
    volatile int chunkBytes;

    Upstream(Rig rig, String uid, int receiveBuffer, Work work, Begun begun) throws IOException {
        this.rig = rig;
        this.uid = uid;
        this.work = work;
        this.begun = begun;
        listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(Rig.LOOPBACK, 0), 512);
        port = listener.getLocalPort();
        Rig.start("upstream " + uid, this::accept);
    }

    void setFrozen(boolean isFrozen) {
        frozen = isFrozen;
    }

    boolean isFrozen() {
        return frozen;
    }

    private void awaitThawed() {
        while (frozen) {
            Rig.sleep(0.01);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Rig.start("upstream connection " + uid, () -> serve(socket));
            }
        } catch (IOException e) {
            rig.note("upstream %s stopped listening: %s", uid, e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            Http http = new Http(new FreezingInput(socket.getInputStream()));
            while (true) {
                double[] firstByteAt = new double[1];
                Http.Head head = http.readHead(() -> firstByteAt[0] = rig.seconds());
                if (head == null) {
                    return;
                }
                String id = head.get("X-Call-Id");
                if (head.parts()[1].equals("/healthz")) {        // a probe, which both sites allow
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (id == null) {
                    out.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (begun != null) {
                    begun.begun(this, id, firstByteAt[0]);
                }
                byte[] body = http.readBody(head, false);
                awaitThawed();
                byte[] answer = work.run(this, id, body);
                awaitThawed();
                if (chunkBytes > 0) {
                    writeChunked(out, answer);
                    continue;
                }
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(answer);
            }
        } catch (IOException e) {
            // The sidecar gave an attempt up, or ended.
        }
    }

    private void writeChunked(OutputStream out, byte[] answer) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        for (int from = 0; from < answer.length; from += chunkBytes) {
            int count = Math.min(chunkBytes, answer.length - from);
            out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(answer, from, count);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private final class FreezingInput extends java.io.FilterInputStream {
        FreezingInput(java.io.InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] to, int at, int most) throws IOException {
            awaitThawed();
            int count = in.read(to, at, most);
            awaitThawed();
            return count;
        }
    }
}
