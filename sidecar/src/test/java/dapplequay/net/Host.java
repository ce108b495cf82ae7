package dapplequay.net;

import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted HTTP server on a real socket; {@link Client} is the connection of a client. */
public final class Host implements AutoCloseable {
    /** Limit of a test's wait for something that is expected to come. */
    static final int TIMEOUT_S = 20;

    /** Returns the response to a request, or null to close the connection without a response. */
    interface Script {
        String answer(Head head, ReceivedRequest request) throws Exception;
    }

    /** A request as the host received it, and the connection on which it came. */
    record ReceivedRequest(Head head, String body, Socket socket) { }

    final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
    /** Has an element for each accepted connection that has ended. */
    final BlockingQueue<Boolean> closed = new LinkedBlockingQueue<>();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Script script;

    Host(Script script) throws IOException {
        this.script = script;
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        });
    }

    public interface Work {
        void run() throws Exception;
    }

    public static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The peer or the test has closed the socket.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            MessageReader reader = new MessageReader(socket.getInputStream());
            while (reader.awaitData()) {
                Head head = reader.readRequestHead();
                ReceivedRequest request = new ReceivedRequest(head,
                        new String(reader.readRequestBody(head), StandardCharsets.ISO_8859_1), socket);
                received.add(request);
                String answer = script.answer(head, request);
                if (answer == null) {
                    return;
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } finally {
            closed.add(true);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the next request received, and fails if none comes in time. */
    ReceivedRequest next() throws InterruptedException {
        ReceivedRequest next = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no request was received in time");
        }
        return next;
    }

    static String ok(String body, String... fields) {
        return "HTTP/1.1 200 OK\r\n" + String.join("", fields) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** A client's connection to the sidecar. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final MessageReader reader;

        Client(InetSocketAddress sidecar) throws IOException {
            socket.connect(sidecar);
            socket.setSoTimeout(TIMEOUT_S * 1000);
            reader = new MessageReader(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads the next response whole. */
        Answer answer() throws IOException {
            Head head = reader.readResponseHead();
            String body = new String(reader.readResponseBody(head), StandardCharsets.ISO_8859_1);
            return new Answer(Integer.parseInt(head.startLine[1]), head, body);
        }

        /** True if the connection ends, false if another byte comes first. */
        boolean atEnd() throws IOException {
            return !reader.awaitData();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    record Answer(int status, Head head, String body) { }
}
