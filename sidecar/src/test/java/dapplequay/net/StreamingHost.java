package dapplequay.net;

import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;

/** An HTTP server whose script reads each request's body and writes its response, at a pace of its own. */
final class StreamingHost implements AutoCloseable {
    /** Serves a connection's next request, whose head has been read. */
    interface Script {
        void serve(Head head, MessageReader reader, Socket socket) throws Exception;
    }

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    /** {@code ends} gets an element for each connection that has failed. */
    StreamingHost(Script script, Queue<String> ends) throws IOException {
        Host.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Host.daemon(() -> serve(script, socket, ends));
            }
        });
    }

    private static void serve(Script script, Socket connection, Queue<String> ends) throws Exception {
        try (Socket socket = connection) {
            MessageReader reader = new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
            while (reader.awaitData()) {
                script.serve(reader.readRequestHead(), reader, socket);
            }
        } catch (IOException e) {
            ends.add(e.toString());
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
