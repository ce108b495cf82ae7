package dapplequay.cli;

import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server whose attempts the test answers one by one, as it likes. */
final class ManualServer implements AutoCloseable {
    private static final int TIMEOUT_S = 20;

    private final BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

    /** One request as it came. */
    record Attempt(String id, Socket socket) {
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Serves it with its own id. */
        void serve() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
        }

        /** Nobody can tell whether it has run. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    ManualServer() throws IOException {
        Host.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Host.daemon(() -> read(socket));
            }
        });
    }

    private void read(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        MessageReader reader = new MessageReader(socket.getInputStream());
        while (reader.awaitData()) {
            Head head = reader.readRequestHead();
            reader.readRequestBody(head);
            attempts.add(new Attempt(head.get("X-Call-Id"), socket));
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The next attempt that nobody has asked for yet. */
    Attempt nextAttempt() throws InterruptedException {
        Attempt next = attempts.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no attempt came");
        }
        return next;
    }

    /** The same, of this request and served at once. */
    void serveNext(String id) throws Exception {
        Attempt next = nextAttempt();
        if (!next.id().equals(id)) {
            throw new AssertionError("another came: " + next.id() + ", not " + id);
        }
        next.serve();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
