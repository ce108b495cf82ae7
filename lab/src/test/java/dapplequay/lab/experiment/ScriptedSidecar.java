package dapplequay.lab.experiment;

import dapplequay.lab.Daemons;
import dapplequay.lab.fleet.Fleet;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** A minimal sidecar whose script decides how it answers each request, correctly or not, to test the judge. */
final class ScriptedSidecar implements AutoCloseable {
    /** Returns the response to a request, or null to send none. {@code number} counts requests from 0. */
    interface Script {
        String answer(ScriptedSidecar self, String request, int number) throws Exception;
    }

    private final Fleet fleet;
    private final Script script;
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    /** The latest list from discovery. */
    volatile String list = "";

    ScriptedSidecar(Fleet fleet, Script script) throws IOException {
        this.fleet = fleet;
        this.script = script;
        Daemons.start(this::pollDiscovery);
        Daemons.start(() -> {
            while (true) {
                Socket socket = listener.accept();
                Daemons.start(() -> serve(socket));
            }
        });
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void pollDiscovery() throws Exception {
        int colon = fleet.discoveryAt(0).lastIndexOf(':');
        InetSocketAddress discovery = new InetSocketAddress(fleet.discoveryAt(0).substring(0, colon),
                Integer.parseInt(fleet.discoveryAt(0).substring(colon + 1)));
        while (!listener.isClosed()) {
            String answer = exchange(discovery, "GET /v1/servers HTTP/1.1\r\n\r\n");
            list = answer.substring(answer.indexOf("\r\n\r\n"));
            Thread.sleep(20);
        }
    }

    private void serve(Socket socket) throws Exception {
        BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String request = readMessage(in); request != null; request = readMessage(in)) {
            String answer = script.answer(this, request, requests.getAndIncrement());
            if (answer != null) {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    /** Reads head and body of one message; returns null at the end of the connection. */
    private static String readMessage(BufferedReader in) throws IOException {
        StringBuilder text = new StringBuilder();
        int length = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            text.append(line).append("\r\n");
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
            if (line.isEmpty()) {
                for (int i = 0; i < length; i++) {
                    text.append((char) in.read());
                }
                return text.toString();
            }
        }
        return null;
    }

    /** Sends the request to this host and returns its response unchanged. */
    String forward(int host, String request) throws IOException {
        String text = fleet.endpoints(0).get(host);
        int colon = text.lastIndexOf(':');
        return exchange(new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))),
                request);
    }

    CompletableFuture<String> forwardAsync(int host, String request) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        Daemons.start(() -> answer.complete(forward(host, request)));
        return answer;
    }

    private static String exchange(InetSocketAddress target, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(target, 5000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readMessage(new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
        }
    }

    static String refusal(String extraHeaders) {
        return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n" + extraHeaders + "\r\n";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
