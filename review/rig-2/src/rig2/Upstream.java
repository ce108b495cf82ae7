package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server stand-in: reads each request whole, and has a handler answer it. Keeps connections alive. */
final class Upstream implements AutoCloseable {
    /** Answers one request; returns false if the connection is to be closed afterwards. */
    interface Handler {
        boolean answer(Upstream upstream, Message request, long bodyBytes, Socket connection) throws Exception;
    }

    final String uid;
    final int cell;
    private final Handler handler;
    private final Record record;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Upstream(String uid, int cell, Record record, Handler handler) throws IOException {
        this.uid = uid;
        this.cell = cell;
        this.record = record;
        this.handler = handler;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Threads.start("accept " + uid, this::acceptAll);
    }

    String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void acceptAll() throws IOException {
        while (!listener.isClosed()) {
            Socket connection = listener.accept();
            open.add(connection);
            Threads.start("server " + uid, () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (Message request = Message.readHead(in); request != null; request = Message.readHead(in)) {
                long[] bodyBytes = new long[1];
                request.readBody(in, (bytes, count) -> bodyBytes[0] += count);
                record.line("server %s received %s id %s, budget told %s ms", uid, request.startLine,
                        request.field("x-call-id"), request.field("x-budget-ms"));
                if (!handler.answer(this, request, bodyBytes[0], connection)) {
                    return;
                }
            }
        } finally {
            open.remove(connection);
        }
    }

    /** Answers 200 with this text. */
    static void writeOk(Socket connection, String body) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(Message.ascii("HTTP/1.1 200 OK\r\nX-Load-Report: queue=0,inflight=1,latency_ms=100\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : open) {
            connection.close();
        }
    }
}
