package dapplequay.lab.experiment;

import dapplequay.lab.fleet.Fleet;
import dapplequay.lab.load.Profile;
import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Starts the sidecars of a run as child processes, monitors them, restarts them in waves and stops them. */
final class Sidecars implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Sidecars.class.getName());
    private static final long READY_TIMEOUT_US = 60_000_000;
    private static final long STOP_TIMEOUT_MS = 6_000;
    private static final int POLL_MS = 50;

    private final ExperimentSpec spec;
    private final Profile load;
    private final Variant variant;
    private final Fleet fleet;
    private final Path root;
    private final Path folder;
    private final long seed;
    private final String command;
    private final Lifetimes lifetimes = new Lifetimes();
    private final List<Child> children = new ArrayList<>();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(8, task -> {
        Thread thread = new Thread(task, "sidecars");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Future<?>> waves = new ArrayList<>();
    private volatile boolean ending;

    private final class Child {
        final int index;
        final InetSocketAddress listen;
        Process process;
        Lifetimes.Lifetime lifetime;
        int starts;

        Child(int index, InetSocketAddress listen) {
            this.index = index;
            this.listen = listen;
        }
    }

    /** Starts all sidecars and waits until they are ready. {@code folder} gets their configurations and logs. */
    Sidecars(ExperimentSpec spec, Profile load, Variant variant, Fleet fleet, Path root, Path folder, long seed)
            throws IOException, InterruptedException {
        this.spec = spec;
        this.load = load;
        this.variant = variant;
        this.fleet = fleet;
        this.root = root;
        this.folder = Files.createDirectories(folder);
        this.seed = seed;
        command = variant.command() != null ? variant.command() : deployCommand(root);
        for (int i = 0; i < spec.sidecars().count(); i++) {
            children.add(new Child(i, freeAddress(i)));
        }
        for (Child child : children) {
            start(child);
        }
        for (Child child : children) {
            awaitReady(child);
        }
        scheduler.scheduleWithFixedDelay(this::watch, 250, 250, TimeUnit.MILLISECONDS);
    }

    /** Returns a port that was free when checked, on a loopback address that only this sidecar uses. */
    private static InetSocketAddress freeAddress(int index) throws IOException {
        InetAddress address = InetAddress.getByAddress(
                new byte[] {127, 99, (byte) (index / 250), (byte) (1 + index % 250)});
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }

    Lifetimes lifetimes() {
        return lifetimes;
    }

    List<InetSocketAddress> addresses() {
        return children.stream().map(child -> child.listen).toList();
    }

    /** Schedules the steps of the waves, whose times are relative to {@code startUs}. */
    void scheduleSignals(List<Wave.Step> steps, long startUs) {
        for (Wave.Step step : steps) {
            long wait = Math.max(0, startUs + step.atUs() - EventLoop.nowUs());
            waves.add(scheduler.schedule(() -> execute(step), wait, TimeUnit.MICROSECONDS));
        }
    }

    /** Waits until all steps are done and the sidecars are up again, also for waves that outlast the load. */
    void awaitWaves() throws InterruptedException {
        for (Future<?> wave : waves) {
            try {
                wave.get(READY_TIMEOUT_US, TimeUnit.MICROSECONDS);
            } catch (ExecutionException | TimeoutException e) {
                LOG.log(Level.SEVERE, "could not complete a step of a wave", e);
            }
        }
    }

    private void execute(Wave.Step step) {
        Child child = children.get(step.sidecar());
        try {
            if (step.signal().equals("HUP")) {
                signal(child.process, "HUP");
                return;
            }
            Process process;
            synchronized (child) {
                process = child.process;
                child.lifetime.signalledUs = EventLoop.nowUs();
                child.lifetime.end = step.signal().equals("KILL") ? Lifetimes.End.KILLED : Lifetimes.End.GRACEFUL;
            }
            if (step.signal().equals("KILL")) {
                process.destroyForcibly().waitFor();
            } else {
                signal(process, "TERM");
                if (!process.waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                    process.destroyForcibly().waitFor();
                    child.lifetime.end = Lifetimes.End.KILLED;
                }
            }
            child.lifetime.endUs = EventLoop.nowUs();
            Thread.sleep(step.downUs() / 1000);
            if (!ending) {
                start(child);
                awaitReady(child);
            }
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "could not complete a step of a wave", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void signal(Process process, String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

    private void start(Child child) throws IOException {
        Path config = folder.resolve("n" + child.index + ".json");
        String listen = child.listen.getAddress().getHostAddress() + ":" + child.listen.getPort();
        Files.writeString(config, SidecarConfig.json(spec, load, child.index, listen,
                fleet.discoveryAt(child.index), seed * 7919 + child.index * 101L + child.starts,
                fleet.listSnapshot(child.index)));
        StringBuilder line = new StringBuilder("ulimit -n ").append(spec.sidecars().sockets()).append("; ")
                .append(command);
        variant.flags().forEach(flag -> line.append(' ').append(flag));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", line.toString()).directory(root.toFile());
        builder.environment().put("EDGE_NAME", "n" + child.index);
        builder.environment().put("EDGE_LISTEN", listen);
        builder.environment().put("EDGE_DISCOVERY", fleet.discoveryAt(child.index));
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("n" + child.index + ".log").toFile()));
        synchronized (child) {
            child.starts++;
            child.lifetime = lifetimes.begin(child.index, EventLoop.nowUs());
            child.process = builder.start();
        }
    }

    /** Returns the command of the run line in deploy/balancer.toml. */
    static String deployCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    private void awaitReady(Child child) throws IOException, InterruptedException {
        long until = EventLoop.nowUs() + READY_TIMEOUT_US;
        while (!isHealthy(child.listen)) {
            if (ending) {
                return;
            }
            if (!child.process.isAlive() || EventLoop.nowUs() > until) {
                throw new IOException("sidecar n" + child.index + " did not get ready; its log is "
                        + folder.resolve("n" + child.index + ".log"));
            }
            Thread.sleep(POLL_MS);
        }
        child.lifetime.readyUs = EventLoop.nowUs();
        child.lifetime.startCpuUs = cpuUs(child.process);
    }

    private static boolean isHealthy(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1000);
            socket.setSoTimeout(2000);
            OutputStream out = socket.getOutputStream();
            out.write("GET /healthz HTTP/1.1\r\nHost: health\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            byte[] start = socket.getInputStream().readNBytes(12);
            return new String(start, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Records the CPU time and memory of each process, and detects crashes. */
    private void watch() {
        for (Child child : children) {
            synchronized (child) {
                Lifetimes.Lifetime lifetime = child.lifetime;
                if (!child.process.isAlive()) {
                    if (lifetime.end == Lifetimes.End.NONE && !ending) {
                        lifetime.end = Lifetimes.End.CRASHED;
                        lifetime.endUs = EventLoop.nowUs();
                        LOG.log(Level.WARNING, "sidecar n{0} exited unexpectedly", child.index);
                    }
                    continue;
                }
                lifetime.cpuUs = cpuUs(child.process);
                lifetime.peakMemoryKb = Math.max(lifetime.peakMemoryKb, residentKb(child.process.pid()));
            }
        }
    }

    private static long cpuUs(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1000;
    }

    /** Returns the kernel's high-water mark of resident memory (VmHWM) in kB; 0 if unavailable. */
    private static long residentKb(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            LOG.log(Level.FINEST, "process has exited", e);
        }
        return 0;
    }

    /** Stops all sidecars with SIGTERM, and kills those that don't exit within STOP_TIMEOUT_MS. */
    @Override
    public void close() {
        ending = true;
        watch();
        scheduler.shutdownNow();
        for (Child child : children) {
            if (child.process != null) {
                child.process.destroy();
            }
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MS);
        for (Child child : children) {
            try {
                if (child.process != null
                        && !child.process.waitFor(Math.max(1, until - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                    child.process.destroyForcibly();
                }
            } catch (InterruptedException e) {
                child.process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
    }
}
