package dapplequay.management;

import dapplequay.http.BadMessageException;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Serves the management address, over which operators query and control the sidecar: one request per connection. The
 * number of connections is bounded: at the bound, a connection without a complete request is closed for a new one.
 */
public final class ManagementServer implements Runnable {
    private static final Logger LOG = Logger.getLogger(ManagementServer.class.getName());
    private static final int MAX_CONNECTIONS = 16;
    /** File descriptors for the connections, one just accepted, and the listener. */
    public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 2;
    private static final int BACKLOG = 128;
    private static final int MAX_BODY_BYTES = 4 * 1024;
    /** Time limit for receiving a request and sending its response. */
    private static final long CALL_TIMEOUT_US = 1_500_000;
    private static final long RETRY_PAUSE_MS = 20;

    /** The operations behind the address. None may block for longer than a few milliseconds. */
    public interface Service {
        /** True if this process accepts clients. */
        boolean isReady();

        /** Returns the metrics in the Prometheus text format. */
        String metrics();

        void drain();

        /** Ends a drain; returns false if the process is shutting down. */
        boolean resume();
    }

    private final ServerSocket listener = new ServerSocket();
    private final DeadlineQueue deadlines;
    private final Service service;
    private final Set<Connection> connections = new LinkedHashSet<>();

    /** Binds the address and starts to listen; {@link #run} accepts. IOException if the address is not available. */
    public ManagementServer(InetSocketAddress address, DeadlineQueue deadlines, Service service) throws IOException {
        this.deadlines = deadlines;
        this.service = service;
        listener.bind(address, BACKLOG);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Accepts connections until {@link #close}. */
    @Override
    public void run() {
        while (!listener.isClosed()) {
            Socket socket = null;
            try {
                awaitConnectionSlot();
                socket = listener.accept();
                Connection connection = new Connection(socket);
                synchronized (this) {
                    connections.add(connection);
                }
                start(connection);
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                if (!listener.isClosed()) {
                    Sockets.closeQuietly(socket);
                    LOG.log(Level.SEVERE, "management connection could not be accepted: {0}", e.toString());
                    pause();
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void start(Connection connection) {
        try {
            Thread thread = new Thread(connection, "management");
            thread.setDaemon(true);
            thread.start();
        } catch (OutOfMemoryError e) {
            remove(connection);
            throw e;
        }
    }

    /** Closes the oldest connection that is not being answered. If all are, waits: their answers take little time. */
    private synchronized void awaitConnectionSlot() throws InterruptedException {
        while (connections.size() >= MAX_CONNECTIONS) {
            Iterator<Connection> oldestFirst = connections.iterator();
            while (oldestFirst.hasNext()) {
                Connection connection = oldestFirst.next();
                if (!connection.isAnswering) {
                    oldestFirst.remove();
                    connection.close();
                    return;
                }
            }
            wait(RETRY_PAUSE_MS);
        }
    }

    private synchronized void remove(Connection connection) {
        connections.remove(connection);
        notifyAll();
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the listener and all connections. */
    public void close() {
        Sockets.closeQuietly(listener);
        List<Connection> open;
        synchronized (this) {
            open = new ArrayList<>(connections);
        }
        open.forEach(Connection::close);
    }

    /** A response: the status code with its reason, additional header lines, and the body. */
    private record Response(String status, String headers, String body) {
        static Response plainText(String status, String body) {
            return new Response(status, "Content-Type: text/plain\r\n", body + "\n");
        }

        byte[] bytes(boolean headOnly) {
            byte[] text = body.getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + text.length
                    + "\r\nConnection: close\r\n\r\n";
            return (headOnly ? head : head + body).getBytes(StandardCharsets.UTF_8);
        }
    }

    private Response responseTo(Head request) {
        String path = request.startLine[1].split("\\?", 2)[0];
        String method = switch (path) {
            case "/-/ready", "/-/metrics" -> "GET";
            case "/-/drain", "/-/resume" -> "PUT";
            default -> null;
        };
        if (method == null) {
            return Response.plainText("404 Not Found", "no such call");
        }
        if (!request.startLine[0].equals(method) && !(method.equals("GET") && request.startLine[0].equals("HEAD"))) {
            return new Response("405 Method Not Allowed", "Allow: " + (method.equals("GET") ? "GET, HEAD" : method)
                    + "\r\n", "only " + method + "\n");
        }
        switch (path) {
            case "/-/ready" -> {
                return service.isReady() ? Response.plainText("200 OK", "ready")
                        : Response.plainText("503 Service Unavailable", "takes no clients");
            }
            case "/-/metrics" -> {
                return new Response("200 OK", "Content-Type: " + MetricsText.CONTENT_TYPE + "\r\n", service.metrics());
            }
            case "/-/drain" -> {
                service.drain();
                return Response.plainText("200 OK", "draining");
            }
            default -> {
                return service.resume() ? Response.plainText("200 OK", "takes clients")
                        : Response.plainText("409 Conflict", "ending");
            }
        }
    }

    /** One connection and the thread that serves its single request. */
    private final class Connection implements Runnable {
        private final Socket socket;
        /** True from the receipt of a complete request until its response is written. */
        private volatile boolean isAnswering;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void close() {
            Sockets.closeQuietly(socket);
        }

        @Override
        public void run() {
            DeadlineQueue.Deadline timeout = deadlines.schedule(CALL_TIMEOUT_US, this::close);
            try {
                socket.setTcpNoDelay(true);
                socket.getOutputStream().write(handleCall());
                isAnswering = false;
                socket.shutdownOutput();
                // Closing with unread bytes would reset the connection, and the client could lose the response.
                byte[] discarded = new byte[256];
                for (int i = 0; i < 64 && socket.getInputStream().read(discarded) >= 0; i++) { }
            } catch (IOException e) {
                LOG.log(Level.FINE, "management connection failed: {0}", e.toString());
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "management request failed", e);
            } finally {
                deadlines.cancel(timeout);
                close();
                remove(this);
            }
        }

        private byte[] handleCall() throws IOException {
            try {
                MessageReader reader = new MessageReader(socket.getInputStream(), MAX_BODY_BYTES);
                Head head = reader.readRequestHead();
                reader.readRequestBody(head);
                isAnswering = true;
                return responseTo(head).bytes(head.startLine[0].equals("HEAD"));
            } catch (BadMessageException e) {
                isAnswering = true;
                return Response.plainText(e.status == 413 ? "413 Content Too Large" : "400 Bad Request", e.getMessage())
                        .bytes(false);
            }
        }
    }
}
