package dapplequay.cli;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The sidecar's program as a child process, with its own listening socket or one that it inherits. */
final class SidecarProcess implements AutoCloseable {
    private static final long TIMEOUT_MS = 60_000;
    private static final int DEFAULT_HEAP_MB = 64;

    final Process process;
    final List<String> log = new CopyOnWriteArrayList<>();
    private final int managementPort;

    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 32_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> HANDED_OUT_PORTS = new HashSet<>();

    /** {@code socket}: the listening socket passed as descriptor 0, or null; {@code managementPort}: 0 for none. */
    SidecarProcess(Path config, ServerSocketChannel socket, int managementPort) throws Exception {
        this(config, socket, managementPort, false, List.of());
    }

    SidecarProcess(Path config, ServerSocketChannel socket, int managementPort, boolean ignoringHup,
            List<String> launcher)
            throws Exception {
        this(config, socket, managementPort, ignoringHup, launcher, List.of());
    }

    /** {@code ignoringHup}: SIGHUP is ignored at the start; {@code launcher}: a command prefix, may be empty. */
    SidecarProcess(Path config, ServerSocketChannel socket, int managementPort, boolean ignoringHup,
            List<String> launcher,
            List<String> options) throws Exception {
        this(config, socket, managementPort, ignoringHup, launcher, options, DEFAULT_HEAP_MB);
    }

    /** With its own listening socket, no management address and a heap of this size. */
    SidecarProcess(Path config, int heapMb) throws Exception {
        this(config, null, 0, false, List.of(), List.of(), heapMb);
    }

    private SidecarProcess(Path config, ServerSocketChannel socket, int managementPort, boolean ignoringHup,
            List<String> launcher, List<String> options, int heapMb) throws Exception {
        this.managementPort = managementPort;
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java")
                .toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + heapMb + "m",
                "-cp", System.getProperty("java.class.path"),
                "dapplequay.cli.Main", "serve", "--config", config.toString()));
        command.addAll(options);
        command.addAll(0, launcher);
        if (ignoringHup) {
            command.addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
        if (managementPort != 0) {
            builder.environment().put("EDGE_MANAGEMENT", "127.0.0.1:" + managementPort);
        }
        if (socket != null) {
            builder.environment().put("EDGE_SOCKET_FD", "0");
            builder.redirectInput(redirectFrom(socket));
        }
        process = builder.start();
        Thread reader = new Thread(() -> new BufferedReader(new InputStreamReader(process.getErrorStream(),
                StandardCharsets.UTF_8)).lines().forEach(log::add));
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Returns a free port, each only once. It lies below the ephemeral range: an ephemeral port may be given to another
     * listener or connection before the process binds it, and a call to it would then hang.
     */
    static synchronized int freePort() {
        while (true) {
            int port = LOWEST_PORT + RANDOM.nextInt(HIGHEST_PORT - LOWEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (HANDED_OUT_PORTS.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // The port is in use; tries another one.
            }
        }
    }

    static ServerSocketChannel platformSocket() throws IOException {
        return ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    }

    /** Redirects from the channel's descriptor, by the class that the JDK itself uses to connect a pipeline. */
    private static ProcessBuilder.Redirect redirectFrom(ServerSocketChannel socket) throws Exception {
        Constructor<?> constructor = Class.forName("java.lang.ProcessBuilder$RedirectPipeImpl")
                .getDeclaredConstructor();
        constructor.setAccessible(true);
        Object redirect = constructor.newInstance();
        Method descriptor = redirect.getClass().getDeclaredMethod("getFd");
        descriptor.setAccessible(true);
        Field descriptorNumber = FileDescriptor.class.getDeclaredField("fd");
        descriptorNumber.setAccessible(true);
        Method channelDescriptor = Class.forName("sun.nio.ch.SelChImpl").getDeclaredMethod("getFDVal");
        channelDescriptor.setAccessible(true);
        descriptorNumber.setInt(descriptor.invoke(redirect), (Integer) channelDescriptor.invoke(socket));
        return (ProcessBuilder.Redirect) redirect;
    }

    /** Returns the status of a call to the management address, or -1 if the connection is refused or reset. */
    int managementStatus(String line) throws IOException {
        try {
            return Integer.parseInt(managementResponse(line).split(" ")[1]);
        } catch (SocketException e) {
            return -1;
        }
    }

    /** Returns the whole response of the management address, head and body. */
    String managementResponse(String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), managementPort)) {
            socket.setSoTimeout((int) TIMEOUT_MS);
            socket.getOutputStream().write((line + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    SidecarProcess awaitReady() throws Exception {
        await("ready", () -> isRunning() && managementStatus("GET /-/ready") == 200);
        return this;
    }

    /** Waits for a log line that contains the text; fails if the process exits. */
    void awaitLog(String part) throws Exception {
        await("a line with " + part, () -> log.stream().anyMatch(line -> line.contains(part)) || !isRunning());
    }

    /** Returns what was logged of the request with this X-Call-Id, without leading zeros; needs {@code --log FINE}. */
    List<String> logOfRequest(String callId) {
        Pattern received = Pattern.compile(" request " + callId + " is (\\d+)$");
        return log.stream().map(received::matcher).filter(Matcher::find).map(match -> match.group(1))
                .flatMap(id -> log.stream().filter(line -> line.matches(
                        ".* (request \\S+ is " + id + "|wrote " + id + " to .*|client of " + id + " .*|attempt .* " + id
                        + ")")))
                .toList();
    }

    /** True if the last attempt for the request was written so late, or if its log does not show when. */
    static boolean isWrittenAfter(Instant latest, List<String> logOfRequest) {
        List<Instant> written = logOfRequest.stream().filter(line -> line.contains(" wrote "))
                .map(line -> Instant.parse(line.substring(0, line.indexOf(' ')))).toList();
        return written.isEmpty() || written.get(written.size() - 1).isAfter(latest);
    }

    private boolean isRunning() {
        if (!process.isAlive()) {
            throw new AssertionError("process exited: " + log);
        }
        return true;
    }

    /** Waits until the condition holds; fails after a minute, naming {@code what} was awaited. */
    static void await(String what, Callable<Boolean> condition) throws Exception {
        long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.call()) {
            if (System.currentTimeMillis() > deadlineMs) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            Thread.sleep(10);
        }
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
