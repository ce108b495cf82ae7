package rig2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The sidecar as a separate process, started with the command of the deploy file from the root of the repository. */
final class SidecarProcess implements AutoCloseable {
    private static final long READY_WITHIN_MS = 20_000;

    final int port;
    private final Process process;
    private final Record record;

    private SidecarProcess(Process process, int port, Record record) {
        this.process = process;
        this.port = port;
        this.record = record;
    }

    /**
     * Starts a sidecar with a configuration, and waits until it takes clients. {@code discovery} is the address in
     * EDGE_DISCOVERY, as in the configuration.
     */
    static SidecarProcess start(Path root, Path folder, String name, String configuration, String discovery,
            Record record) throws Exception {
        int port = freePort();
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, configuration);
        Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
        builder.directory(root.toFile());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("EDGE_DISCOVERY", discovery);
        builder.environment().put("TMPDIR", temporary.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        SidecarProcess sidecar = new SidecarProcess(builder.start(), port, record);
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar.process::destroyForcibly));
        sidecar.awaitReady(log);
        return sidecar;
    }

    private static String runCommand(Path root) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/balancer.toml"), StandardCharsets.UTF_8);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return run.group(1);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void awaitReady(File log) throws Exception {
        long untilMs = System.currentTimeMillis() + READY_WITHIN_MS;
        while (System.currentTimeMillis() < untilMs && process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(Message.ascii("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
                if (Message.readHead(socket.getInputStream()).status() == 200) {
                    record.line("sidecar is ready, process %d", process.pid());
                    return;
                }
            } catch (IOException e) {
                // Not ready yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("the sidecar did not become ready: " + Files.readString(log.toPath()));
    }

    /** Sends SIGTERM, as the platform does at a planned restart. */
    void terminate() {
        record.line("platform sends SIGTERM");
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        record.line("platform sends SIGKILL");
        process.destroyForcibly();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the exit; false if the process still runs. */
    boolean awaitExit(long ms) throws InterruptedException {
        boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
        if (ended) {
            record.line("sidecar has ended, status %d", process.exitValue());
        }
        return ended;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
