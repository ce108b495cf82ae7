package dapplequay.cli;

import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Servers that answer by a script of the test, each response in a single write. Head and body in two writes would take
 * 40 ms more on a reused connection, as the second waits for the acknowledgement of the first.
 */
final class ScriptedServers implements AutoCloseable {
    /** Returns further header lines, each with its CRLF, for the response to a request that is read completely. */
    interface Script {
        String headerLines(int host, Head head) throws Exception;
    }

    private static final String BODY = "done";
    private static final int BACKLOG = 500;

    private final List<ServerSocket> listeners = new ArrayList<>();

    ScriptedServers(int count, Script script) throws IOException {
        for (int i = 0; i < count; i++) {
            int host = i;
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            listeners.add(listener);
            Host.daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    Host.daemon(() -> serve(socket, host, script));
                }
            });
        }
    }

    private static void serve(Socket socket, int host, Script script) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            MessageReader reader = new MessageReader(socket.getInputStream());
            while (reader.awaitData()) {
                Head head = reader.readRequestHead();
                reader.readRequestBody(head);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\n" + script.headerLines(host, head)
                        + "Content-Length: "
                        + BODY.length() + "\r\n\r\n" + BODY).getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    List<Integer> ports() {
        return listeners.stream().map(ServerSocket::getLocalPort).toList();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
