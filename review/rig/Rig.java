import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: the record, a temporary folder, sidecars started with the deploy file's command. Closing it ends
 * every process that it started.
 */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root = Path.of("").toAbsolutePath();
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedNs = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();
    private final AtomicLong callIds = new AtomicLong(System.nanoTime() & 0xFFFFFFFFL);

    /** {@code caseFolder}: where record.txt is written. */
    Rig(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        temp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble: %s", trouble ? "on" : "off");
    }

    double seconds() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    void note(String format, Object... values) {
        record.println(String.format("%9.3f ", seconds()) + String.format(format, values));
    }

    String nextCallId() {
        return Long.toHexString(callIds.incrementAndGet());
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Starts a sidecar as the deploy file's {@code run} says; {@code config} is its configuration as JSON. */
    Process startSidecar(String name, String config, int port, String discovery) throws IOException {
        Path folder = Files.createDirectories(temp.resolve(name));
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run in deploy/balancer.toml");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        Map<String, String> env = builder.environment();
        env.put("EDGE_NAME", name);
        env.put("EDGE_CONFIG", file.toString());
        env.put("EDGE_LISTEN", "127.0.0.1:" + port);
        env.put("EDGE_DISCOVERY", discovery);
        env.put("TMPDIR", tmp.toString());
        Path log = folder.resolve("log-" + processes.size());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        synchronized (this) {
            processes.add(process);
            logs.add(log);
        }
        note("sidecar %s started, process %d, at 127.0.0.1:%d", name, process.pid(), port);
        return process;
    }

    /** Waits until /healthz at the port says 200; false if it has not within the time. */
    boolean awaitHealthy(int port, double withinSeconds) {
        double until = seconds() + withinSeconds;
        while (seconds() < until) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
                Http.Head head = new Http(socket.getInputStream()).readHead(null);
                if (head != null && head.parts()[1].equals("200")) {
                    note("sidecar at port %d is healthy", port);
                    return true;
                }
            } catch (IOException e) {
                sleep(0.02);
            }
        }
        return false;
    }

    private synchronized void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Path log : logs) {
            note("log of %s:", temp.relativize(log));
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            lines.stream().limit(60).forEach(line -> record.println("          | " + line));
            if (lines.size() > 60) {
                record.println("          | ... " + lines.size() + " lines in all");
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
