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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;

/** The program as a child process, with or without a socket that the platform holds for it. */
final class Program implements AutoCloseable {
    private static final long PATIENCE_MS = 60_000;

    final Process process;
    final List<String> log = new CopyOnWriteArrayList<>();
    private final int management;

    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 32_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    /** {@code socket}: its descriptor 0, or null; {@code management}: a port that is free, or 0 for none. */
    Program(Path config, ServerSocketChannel socket, int management) throws Exception {
        this(config, socket, management, false, List.of());
    }

    Program(Path config, ServerSocketChannel socket, int management, boolean ignoringHup, List<String> launcher)
            throws Exception {
        this(config, socket, management, ignoringHup, launcher, List.of());
    }

    /** {@code ignoringHup}: as a shell starts it that ignores SIGHUP; {@code launcher}: what starts it in turn. */
    Program(Path config, ServerSocketChannel socket, int management, boolean ignoringHup, List<String> launcher,
            List<String> options) throws Exception {
        this.management = management;
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                "dapplequay.cli.Main", "serve", "--config", config.toString()));
        command.addAll(options);
        command.addAll(0, launcher);
        if (ignoringHup) {
            command.addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
        if (management != 0) {
            builder.environment().put("EDGE_MANAGEMENT", "127.0.0.1:" + management);
        }
        if (socket != null) {
            builder.environment().put("EDGE_SOCKET_FD", "0");
            builder.redirectInput(inherited(socket));
        }
        process = builder.start();
        Thread reader = new Thread(() -> new BufferedReader(new InputStreamReader(process.getErrorStream(),
                StandardCharsets.UTF_8)).lines().forEach(log::add));
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * A port that nobody listens at, handed out once. It lies below those that the system gives to whoever asks for any:
     * one of these may go to another listener or connection before the program has it, and a call to it then hangs.
     */
    static synchronized int freePort() {
        while (true) {
            int port = LOWEST_PORT + RANDOM.nextInt(HIGHEST_PORT - LOWEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (GIVEN.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // Taken: another one is tried.
            }
        }
    }

    static ServerSocketChannel platformSocket() throws IOException {
        return ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    }

    /** What the JDK uses itself to connect the processes of a pipeline: a redirection from any descriptor. */
    private static ProcessBuilder.Redirect inherited(ServerSocketChannel socket) throws Exception {
        Constructor<?> made = Class.forName("java.lang.ProcessBuilder$RedirectPipeImpl").getDeclaredConstructor();
        made.setAccessible(true);
        Object redirect = made.newInstance();
        Method descriptor = redirect.getClass().getDeclaredMethod("getFd");
        descriptor.setAccessible(true);
        Field number = FileDescriptor.class.getDeclaredField("fd");
        number.setAccessible(true);
        Method own = Class.forName("sun.nio.ch.SelChImpl").getDeclaredMethod("getFDVal");
        own.setAccessible(true);
        number.setInt(descriptor.invoke(redirect), (Integer) own.invoke(socket));
        return (ProcessBuilder.Redirect) redirect;
    }

    /** The status of one call at the management address; -1 where nobody answers, or ends before it has. */
    int call(String line) throws IOException {
        try {
            return Integer.parseInt(ask(line).split(" ")[1]);
        } catch (SocketException e) {
            return -1;
        }
    }

    /** All of its answer. */
    String ask(String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), management)) {
            socket.setSoTimeout((int) PATIENCE_MS);
            socket.getOutputStream().write((line + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    Program awaitReady() throws Exception {
        await("ready", () -> isRunning() && call("GET /-/ready") == 200);
        return this;
    }

    /** Waits for a log line with this in it. */
    void awaitLog(String part) throws Exception {
        await("a line with " + part, () -> log.stream().anyMatch(line -> line.contains(part)) || !isRunning());
    }

    private boolean isRunning() {
        if (!process.isAlive()) {
            throw new AssertionError("ended: " + log);
        }
        return true;
    }

    /** Waits for the condition, and fails where it does not come. */
    static void await(String what, Callable<Boolean> condition) throws Exception {
        long until = System.currentTimeMillis() + PATIENCE_MS;
        while (!condition.call()) {
            if (System.currentTimeMillis() > until) {
                throw new AssertionError("never came: " + what);
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
