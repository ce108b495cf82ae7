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

/** A server whose attempts are answered by the test, one by one. */
final class ManualServer implements AutoCloseable {
    private static final int TIMEOUT_S = 20;

    private final BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

    /** A request that was read completely and is not answered yet. */
    record Attempt(String id, Socket socket) {
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Answers 200 with the request's id as body. */
        void serve() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
        }

        /** Resets the connection, so that the sidecar can't tell whether the request has run. */
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

    /** Returns the next attempt in the order of arrival; fails if none arrives in time. */
    Attempt nextAttempt() throws InterruptedException {
        Attempt next = attempts.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no attempt arrived in time");
        }
        return next;
    }

    /** Serves the next attempt, which has to be of the request with this id. */
    void serveNext(String id) throws Exception {
        Attempt next = nextAttempt();
        if (!next.id().equals(id)) {
            throw new AssertionError("attempt of another request: " + next.id() + ", expected " + id);
        }
        next.serve();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
