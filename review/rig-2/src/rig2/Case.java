package rig2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the cases have in common: a temporary folder, the record, the fleet with its discovery, and the exit status: 0 if
 * the rule held, {@link #BROKEN} if it was broken, 2 if the case could not run. The JVM itself exits with 1 when it can't
 * start a class, so that status stands for no result here.
 */
abstract class Case {
    private static final long LIMIT_MS = 110_000;
    private static final int BROKEN = 10;
    private static final int NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root = Path.of("").toAbsolutePath();
    Path folder;
    Record record;
    final List<Upstream> servers = new ArrayList<>();
    Discovery discovery;

    /** Plays the case; returns what broke the rule, or null if it held. */
    abstract String play() throws Exception;

    /** Answers a request at one of the servers. */
    abstract boolean answer(Upstream server, Message request, long bodyBytes, java.net.Socket connection)
            throws Exception;

    /** Starts servers, of which three each form a group that discards repeats, and discovery. */
    void startFleet(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            servers.add(new Upstream("s-" + i, i / 3, record, this::answer));
        }
        discovery = new Discovery(record, servers);
    }

    SidecarProcess startSidecar() throws Exception {
        return SidecarProcess.start(root, folder, "n0", Settings.configuration(discovery.address(), discovery.known(),
                Settings.AIM_MS), discovery.address(), record);
    }

    static void run(Case played, String recordFile) {
        int status = NOT_RUN;
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
                System.out.println("the case took too long");
                Runtime.getRuntime().exit(NOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        limit.setDaemon(true);
        limit.start();
        try {
            played.folder = Files.createTempDirectory("rig2-");
            try (Record record = new Record(Path.of(recordFile))) {
                played.record = record;
                record.line("disruption: %s", TROUBLE ? "yes" : "no");
                String broken = played.play();
                record.line("%s", broken == null ? "the rule held" : "the rule was broken: " + broken);
                System.out.println(broken == null ? "held" : "broken: " + broken);
                status = broken == null ? 0 : BROKEN;
            }
        } catch (Throwable e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace(System.out);
        }
        delete(played.folder);
        Runtime.getRuntime().exit(status);
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("temporary files stay: " + e);
        }
    }
}
