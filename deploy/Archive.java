import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Creates sidecar/target/dapplequay.jsa, the JVM's class data sharing archive of the classes that serve loads. A class
 * from the archive is neither read from the jar nor verified again, which matters where a starting process gets part of
 * a core. To load these classes, the archived process first serves requests, is rejected by an emulated host and loses
 * connections to it.
 * Usage: java deploy/Archive.java, from the root, after the jar has been built. Exits with status 1 if no
 * archive was created.
 */
public final class Archive {
    private static final Path JAR = Path.of("sidecar/target/dapplequay.jar");
    private static final Path ARCHIVE = Path.of("sidecar/target/dapplequay.jsa");
    private static final int MAX_ATTEMPTS = 4;
    private static final int CLIENT_CONNECTIONS = 60;
    /** Seconds that the start, each response and the shutdown may take before the attempt has failed. */
    private static final int TIMEOUT_S = 20;

    public static void main(String[] args) throws Exception {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Files.deleteIfExists(ARCHIVE);
            if (createArchive() && Files.exists(ARCHIVE)) {
                return;
            }
            System.err.println("archive: attempt " + (i + 1) + " failed");
        }
        System.exit(1);
    }

    private static boolean createArchive() throws Exception {
        try (ServerSocket host = openLoopbackListener(); ServerSocket discovery = openLoopbackListener()) {
            acceptConnections(host, false, host);
            acceptConnections(discovery, true, host);
            ProcessBuilder builder = new ProcessBuilder("java", "-XX:+UseSerialGC", "-XX:-UsePerfData",
                    "-XX:ArchiveClassesAtExit=" + ARCHIVE, "-jar", JAR.toString(), "serve", "--config",
                    "example/config.json");
            builder.environment().put("EDGE_LISTEN", "127.0.0.1:0");
            builder.environment().put("EDGE_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
            builder.redirectErrorStream(true);
            Process sidecar = builder.start();
            try {
                CompletableFuture<Integer> servingPort = new CompletableFuture<>();
                startDaemon(() -> readLog(sidecar, servingPort));
                sendRequests(servingPort.get(TIMEOUT_S, TimeUnit.SECONDS));
                sidecar.destroy();                  // SIGTERM: an orderly shutdown writes the archive
                return sidecar.waitFor(TIMEOUT_S, TimeUnit.SECONDS);
            } catch (java.util.concurrent.TimeoutException | IOException e) {
                System.err.println("archive: " + e);
                return false;
            } finally {
                sidecar.destroyForcibly();
            }
        }
    }

    private static ServerSocket openLoopbackListener() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private static void readLog(Process sidecar, CompletableFuture<Integer> servingPort) {
        try (BufferedReader log = new BufferedReader(new InputStreamReader(sidecar.getInputStream()))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                if (line.contains("serving on")) {
                    servingPort.complete(Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim()));
                }
            }
            servingPort.completeExceptionally(new IOException("ended before it served"));
        } catch (IOException e) {
            servingPort.completeExceptionally(e);
        }
    }

    /** Accepts connections until the server socket is closed, and serves each in a thread of its own. */
    private static void acceptConnections(ServerSocket server, boolean isDiscovery, ServerSocket host) {
        startDaemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    startDaemon(() -> serveConnection(socket, isDiscovery, host.getLocalPort()));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** On a host's connection, each 10th request is rejected, the 15th closes it unanswered, the others are served. */
    private static void serveConnection(Socket socket, boolean isDiscovery, int hostPort) {
        try (socket) {
            for (int i = 1; ; i++) {
                String head = readMessage(socket.getInputStream());
                if (head == null) {
                    return;
                }
                if (isDiscovery) {
                    if (i > 2) {
                        Thread.sleep(5_000);
                    }
                    writeResponse(socket, "200 OK", "", serverListJson(hostPort, i));
                } else if (i % 15 == 0) {
                    return;
                } else if (i % 10 == 0) {
                    writeResponse(socket, "503 Service Unavailable", "X-Rejected: 1\r\n", "full");
                } else {
                    writeResponse(socket, "200 OK", "X-Load-Report: inflight=" + i % 9 + ",queue=1,latency_ms=2.5\r\n",
                            "done");
                }
            }
        } catch (IOException | InterruptedException e) {
            // the sidecar closed the connection, or the attempt has ended
        }
    }

    private static String serverListJson(int port, int revision) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s-").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(port).append("\",\"az\":\"").append(i % 2 == 0 ? "north" : "south")
                    .append("\",\"model\":\"toy\",\"pod_group\":").append(i / 2).append(",\"state\":\"")
                    .append(i == 3 && revision > 1 ? "DRAINING" : "SERVING")
                    .append("\",\"capacity_hint\":1.0,\"boot_ms\":").append(i == 2 ? System.currentTimeMillis() : 0)
                    .append('}');
        }
        return "{\"rev\":" + (revision + 1) + ",\"all\":" + (revision == 1) + ",\"targets\":[" + targets + "]}";
    }

    private static void writeResponse(Socket socket, String status, String headers, String body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads a message, discards its body and returns its head; null at the end of the connection. */
    private static String readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
        }
        String head = bytes.toString(StandardCharsets.ISO_8859_1);
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                in.readNBytes(Integer.parseInt(line.substring(15).trim()));
            }
        }
        return head;
    }

    private static void sendRequests(int port) throws IOException {
        for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.setSoTimeout(TIMEOUT_S * 1_000);
                String requestTarget = i % 7 == 0 ? "GET /healthz" : i % 11 == 0 ? "POST /nothing/1" : "POST /pay/1";
                OutputStream out = client.getOutputStream();
                for (int sendCount = 0; sendCount < 4; sendCount++) {
                    out.write((requestTarget + " HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + i + "a" + sendCount
                            + "\r\nX-Caller: shop-" + (i % 2 == 0 ? "a" : "b")
                            + "\r\nX-Budget-Ms: 900\r\nIdempotency-Key: k" + i
                            + "\r\nContent-Length: 4\r\n\r\nbody").getBytes(StandardCharsets.ISO_8859_1));
                    if (i % 13 == 12 || readMessage(client.getInputStream()) == null) {
                        break;              // every 13th client disconnects without waiting
                    }
                }
            }
        }
    }
}
