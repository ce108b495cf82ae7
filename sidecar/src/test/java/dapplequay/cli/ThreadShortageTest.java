package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import dapplequay.ClosesWhatItOpened;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Signals that arrive while idle clients use all threads that the process may have: the JVM starts a thread for each
 * signal. The limit is set on the threads of a user that runs nothing else, so the test has to run as root.
 */
@Timeout(180)
class ThreadShortageTest extends ClosesWhatItOpened {
    private static final int MAX_THREADS = 80;
    private static final int IDLE_CLIENTS = 150;
    private static final int ROUNDS = 8;
    /** How long after SIGHUP what discovery has at a new address counts, ms. */
    private static final long RELOADED_WITHIN_MS = 4_000;
    private static final int ENDED_BY_SIGTERM = 128 + 15;
    /** Runs a command as an unused user who may read the files of the user that runs the tests. */
    private static final List<String> AS_OTHER_USER = List.of("setpriv", "--reuid=61234",
            "--inh-caps=-all,+dac_override",
            "--ambient-caps=-all,+dac_override");

    @TempDir
    private Path folder;
    private Path config;
    private SidecarProcess program;
    private final int port = SidecarProcess.freePort();
    private final Set<Socket> idleClients = ConcurrentHashMap.newKeySet();

    @BeforeEach
    void startWithThreadLimit() throws Exception {
        assumeTrue("root".equals(System.getProperty("user.name")), "only root can start a process as another user");
        config = folder.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:7070", "127.0.0.1:" + port)
                .replace("127.0.0.1:8500", "127.0.0.1:1"));
        List<String> launcher = new ArrayList<>(AS_OTHER_USER);
        launcher.addAll(List.of("prlimit", "--nproc=" + MAX_THREADS));
        program = open(new SidecarProcess(config, null, SidecarProcess.freePort(), false, launcher));
        program.awaitReady();
    }

    /** Keeps idle clients connected in the background; returns once the process can't start a thread for one. */
    private void exhaustThreads() throws Exception {
        Thread filler = new Thread(() -> {
            while (program.process.isAlive()) {
                try {
                    idleClients.removeIf(Socket::isClosed);
                    for (int i = idleClients.size(); i < IDLE_CLIENTS; i++) {
                        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                        idleClients.add(socket);
                        closeWithPeer(socket);
                    }
                    Thread.sleep(5);
                } catch (IOException | InterruptedException e) {
                    // The process has exited, or accepts no connection at the moment.
                }
            }
        });
        filler.setDaemon(true);
        filler.start();
        program.awaitLog("native thread");
    }

    private static void closeWithPeer(Socket socket) {
        Thread reader = new Thread(() -> {
            try (socket) {
                while (socket.getInputStream().read() >= 0) { }
            } catch (IOException e) {
                // The connection was closed.
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    private long reloadCount() {
        return program.log.stream().filter(line -> line.contains("configuration read again")).count();
    }

    /** Guards against a lost reload: the JVM could not start a thread for SIGHUP. */
    @Test
    void configurationIsReloadedDuringAThreadShortage() throws Exception {
        exhaustThreads();
        String text = Files.readString(config);
        for (int round = 1; round <= ROUNDS; round++) {
            Files.writeString(config, text.replace("\"discovery\": \"127.0.0.1:1\"", "\"discovery\": \"127.0.0.1:"
                    + (1 + round) + "\""));
            long reloadsBefore = reloadCount();
            long signalledNs = System.nanoTime();
            program.signal("HUP");
            SidecarProcess.await("round " + round + " is read", () -> reloadCount() > reloadsBefore
                    || elapsedMs(signalledNs) > RELOADED_WITHIN_MS);
            assertThat(reloadCount()).as("round %s: %s", round, program.log).isGreaterThan(reloadsBefore);
        }
    }

    private static long elapsedMs(long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
    }

    /** Without a thread for SIGTERM the process would run until SIGKILL, which cuts off its clients. */
    @Test
    void theProcessExitsInOrderDuringAThreadShortage() throws Exception {
        exhaustThreads();
        program.signal("TERM");
        assertThat(program.process.waitFor(30, TimeUnit.SECONDS)).as("the process exits").isTrue();
        assertThat(program.process.exitValue()).isEqualTo(ENDED_BY_SIGTERM);
        SidecarProcess.await("the last log line", () ->
                program.log.stream().anyMatch(line -> line.endsWith("INFO ended")));
    }
}
