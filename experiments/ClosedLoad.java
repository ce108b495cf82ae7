import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Closed-loop load of clients with persistent connections on two sidecars and four healthy upstreams. Measures latency,
 * refusals, connections opened and requests whose idempotency key ran more than once. Run it from the
 * root of a checkout that has been built for deployment:
 *
 * <pre>java experiments/ClosedLoad.java UPSTREAM_MS CLIENTS [pause=1] [burst=0] [told=true] [seconds=5] [direct=false]</pre>
 *
 * {@code pause}: ms between a response and the client's next request. {@code burst}: if not 0, all clients send at the
 * same time, at this interval in ms, in place of the pause. {@code told}: upstreams report their load.
 * {@code direct}: clients connect to the upstreams directly. Each run prints one line.
 */
public final class ClosedLoad {
    private static final int SIDECARS = 2;
    private static final int UPSTREAMS = 4;
    private static final int READY_TIMEOUT_MS = 20_000;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final List<Long> latenciesUs = Collections.synchronizedList(new ArrayList<>());
    private final int upstreamMs;
    private final int clients;
    private final Map<String, String> options;

    private ClosedLoad(int upstreamMs, int clients, Map<String, String> options) {
        this.upstreamMs = upstreamMs;
        this.clients = clients;
        this.options = options;
    }

    public static void main(String[] arguments) throws Exception {
        Map<String, String> options = new ConcurrentHashMap<>(Map.of("pause", "1", "burst", "0", "told", "true",
                "seconds", "5", "direct", "false"));
        for (int i = 2; i < arguments.length; i++) {
            String[] option = arguments[i].split("=", 2);
            if (option.length < 2 || options.replace(option[0], option[1]) == null) {
                throw new IllegalArgumentException("no such option: " + arguments[i]);
            }
        }
        new ClosedLoad(Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]), options).run();
        System.exit(0);
    }

    private int intOption(String option) {
        return Integer.parseInt(options.get(option));
    }

    private boolean booleanOption(String option) {
        return Boolean.parseBoolean(options.get(option));
    }

    private void run() throws Exception {
        List<Integer> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            AtomicInteger inFlight = new AtomicInteger();
            upstreams.add(startListener(socket -> serveUpstream(socket, inFlight), connections));
        }
        int discovery = startListener(socket -> serveDiscovery(socket, upstreams), new AtomicInteger());
        List<Process> processes = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        List<Path> logs = new ArrayList<>();
        for (int i = 0; i < SIDECARS && !booleanOption("direct"); i++) {
            ports.add(freePort());
            logs.add(Files.createTempFile("closed-load", ".log"));
            processes.add(startSidecar(i, ports.get(i), discovery, upstreams, logs.get(i)));
        }
        try {
            for (int port : ports) {
                awaitReady(port);
            }
            generateLoad(booleanOption("direct") ? upstreams : ports);
        } finally {
            for (Process process : processes) {
                process.destroy();
                process.waitFor();
            }
        }
        report(logs);
    }

    private void generateLoad(List<Integer> ports) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        long beginNs = System.nanoTime();
        long endNs = beginNs + intOption("seconds") * 1_000_000_000L;
        for (int i = 0; i < SIDECARS * clients; i++) {
            int clientIndex = i;
            Thread thread = new Thread(() -> runClient(clientIndex, ports.get(clientIndex % ports.size()), beginNs,
                    endNs));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void runClient(int clientIndex, int port, long beginNs, long endNs) {
        Socket socket = null;
        InputStream in = null;
        long dueNs = beginNs;
        for (int i = 0; System.nanoTime() < endNs; i++) {
            String id = Integer.toHexString(clientIndex * 1_000_000 + i + 1);
            byte[] request = ("POST /pay/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + id + "\r\nX-Caller: shop-" + (i % 2 == 0 ? "a" : "b")
                    + "\r\nX-Budget-Ms: 1900\r\nIdempotency-Key: " + id + "\r\nContent-Length: 2\r\n\r\n{}")
                    .getBytes(StandardCharsets.ISO_8859_1);
            long sentNs = System.nanoTime();
            try {
                if (socket == null) {
                    socket = new Socket(LOOPBACK, port);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.getOutputStream().write(request);
                Message answer = Message.read(in);
                recordResult(answer, System.nanoTime() - sentNs);
                if (answer.closesConnection()) {
                    socket.close();
                    socket = null;
                }
            } catch (IOException e) {
                failed.incrementAndGet();
                socket = null;
            }
            dueNs = intOption("burst") > 0 ? dueNs + intOption("burst") * 1_000_000L
                    : System.nanoTime() + intOption("pause") * 1_000_000L;
            LockSupport.parkNanos(Math.max(0, dueNs - System.nanoTime()));
        }
    }

    private void recordResult(Message answer, long tookNs) {
        switch (answer.status()) {
            case "200" -> latenciesUs.add(tookNs / 1_000);
            case "503" -> refused.incrementAndGet();
            default -> failed.incrementAndGet();
        }
    }

    private void report(List<Path> logs) throws IOException {
        long silenceCount = 0;
        for (Path log : logs) {
            try (var lines = Files.lines(log)) {
                silenceCount += lines.filter(line -> line.contains("passed over for silence")).count();
            }
            Files.delete(log);
        }
        List<Long> sorted = latenciesUs.stream().sorted().toList();
        long repeatedKeys = runsByKey.values().stream().filter(count -> count.get() > 1).count();
        System.out.printf(Locale.ROOT, "%d ms, %d clients %s: answered %d, p50 %.1f, p99 %.1f ms, refused %d, failed %d, "
                + "ran twice %d, connections %d, passed over for silence %d%n", upstreamMs, clients, options,
                sorted.size(), quantile(sorted, 0.5), quantile(sorted, 0.99), refused.get(), failed.get(), repeatedKeys,
                connections.get(), silenceCount);
    }

    private static double quantile(List<Long> sorted, double share) {
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) (share * (sorted.size() - 1))) / 1000.0;
    }

    // ---- the sidecars ----

    private static Process startSidecar(int position, int port, int discovery, List<Integer> upstreams, Path log)
            throws IOException {
        String example = Files.readString(Path.of("example/config.json"));
        Path config = Files.createTempFile("closed-load", ".json");
        Files.writeString(config, example.replaceFirst("(?s)\"targets\": \\[.*?\\]\\}", "\"targets\": ["
                + targetsJson(upstreams) + "]}")
                .replace("\"balancers\": 1", "\"balancers\": " + SIDECARS)
                .replace("\"position\": 0", "\"position\": " + position)
                .replaceAll("\"quota_per_s\": [0-9.]+", "\"quota_per_s\": 20000.0"));
        config.toFile().deleteOnExit();
        String runCommand = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst().orElseThrow().replaceFirst("^run = \"(.*)\"$", "$1");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand).redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("EDGE_DISCOVERY", "127.0.0.1:" + discovery);
        return builder.start();
    }

    private static void awaitReady(int port) throws Exception {
        long endNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000L;
        while (true) {
            try (Socket socket = new Socket(LOOPBACK, port)) {
                return;
            } catch (IOException e) {
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    // ---- upstreams and discovery ----

    private interface ConnectionHandler {
        void serve(Socket socket) throws IOException;
    }

    private static int startListener(ConnectionHandler handler, AtomicInteger accepted) throws IOException {
        ServerSocket listener = new ServerSocket(0, 500, LOOPBACK);
        startDaemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                accepted.incrementAndGet();
                startDaemon(() -> {
                    try (socket) {
                        handler.serve(socket);
                    } catch (EOFException e) {
                        // The peer has closed the connection.
                    }
                });
            }
        });
        return listener.getLocalPort();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection has failed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serveUpstream(Socket socket, AtomicInteger inFlight) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            Message request = Message.read(in);
            int currentInFlight = inFlight.incrementAndGet();
            runsByKey.computeIfAbsent(String.valueOf(request.header("idempotency-key")),
                    key -> new AtomicInteger())
                    .incrementAndGet();
            LockSupport.parkNanos(upstreamMs * 1_000_000L);
            inFlight.decrementAndGet();
            String loadHeader = booleanOption("told") ? "X-Load-Report: inflight=" + currentInFlight + ",queue=0\r\n"
                    : "";
            write(socket, "HTTP/1.1 200 OK\r\n" + loadHeader + "Content-Length: 2\r\n\r\nok");
        }
    }

    private static void serveDiscovery(Socket socket, List<Integer> upstreams) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            boolean isKnown = Message.read(in).startLine().contains("after=2");
            if (isKnown) {
                LockSupport.parkNanos(20_000_000_000L);
            }
            String body = "{\"rev\":2,\"all\":" + !isKnown + ",\"targets\":[" + (isKnown ? "" : targetsJson(upstreams))
                    + "]}";
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    private static String targetsJson(List<Integer> upstreams) {
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < upstreams.size(); i++) {
            targets.add("{\"uid\":\"s-" + i + "\",\"endpoint\":\"127.0.0.1:" + upstreams.get(i) + "\",\"az\":\"north\","
                    + "\"model\":\"toy\",\"pod_group\":1,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return String.join(",", targets);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Start line and headers of a request or a response; its body has been read and discarded. */
    private record Message(List<String> lines) {
        static Message read(InputStream in) throws IOException {
            List<String> lines = new ArrayList<>();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                lines.add(line);
            }
            Message message = new Message(lines);
            String length = message.header("content-length");
            in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            return message;
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException();
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        String startLine() {
            return lines.get(0);
        }

        String status() {
            return startLine().split(" ")[1];
        }

        String header(String name) {
            return lines.stream().filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                    .map(line -> line.substring(name.length() + 1).strip()).findFirst().orElse(null);
        }

        boolean closesConnection() {
            return "close".equalsIgnoreCase(header("connection"));
        }
    }
}
