import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Seven of ten sidecars are killed at once and start again, into the start of a release in which half of the upstreams
 * drain. Lists are pushed. Is anything sent to a draining upstream after the grace?
 */
public final class RestartInRelease {
    private static final int SIDECARS = 10;
    private static final int KILLED = 7;
    private static final int UPSTREAMS = 14;
    private static final int CLIENTS = 12;
    /** The drain's grace of the site, and the 50 ms by which each time limit grows on sockets. */
    private static final double GRACE = 0.4;
    private static final double SLACK = 0.05;

    private final Rig rig;
    private final Map<String, Instance> instanceByCallId = new ConcurrentHashMap<>();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean ended;
    /** When each agent was sent the drains. */
    private volatile double toldAt = Double.MAX_VALUE;

    /** A sidecar with its own agent and clients. */
    private static final class Instance {
        private String name;
        private int port;
        private Discovery agent;
        private Process process;
        private volatile double startedAt;
    }

    private RestartInRelease(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            status = new RestartInRelease(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static boolean drains(Upstream upstream) {
        return Integer.parseInt(upstream.uid.substring(2)) % 2 == 0;
    }

    private void begun(Upstream upstream, String id, double at) {
        Instance from = instanceByCallId.get(id);
        // What the agent has counts as told, but not before the process was started.
        double since = at - Math.max(toldAt, from.startedAt);
        if (drains(upstream) && toldAt < at) {
            boolean late = since > GRACE + SLACK;
            rig.note("draining upstream %s is sent %s by %s, %.3f s after this was told%s", upstream.uid, id, from.name,
                    since, late ? ": BROKEN" : "");
            if (late) {
                broken.incrementAndGet();
            }
        }
    }

    private int run() throws Exception {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new Upstream(rig, "s-" + i, 0, (upstream, id, body) -> {
                Rig.sleep(0.03);
                return id.getBytes(StandardCharsets.ISO_8859_1);
            }, this::begun));
        }
        String known = Site.list(41, upstreams, Site.QUOTE_ZONES, u -> "SERVING");
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            Instance instance = new Instance();
            instance.name = "n" + i;
            instance.port = Rig.freePort();
            instance.agent = new Discovery(rig, 41, known);
            instances.add(instance);
            start(instance, known);
        }
        for (Instance instance : instances) {
            if (!rig.awaitHealthy(instance.port, 30)) {
                rig.note("sidecar %s did not start", instance.name);
                return 2;
            }
        }
        List<Thread> clients = new ArrayList<>();
        for (Instance instance : instances) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Rig.start("client", () -> client(instance)));
            }
        }
        Rig.sleep(3);
        if (rig.trouble) {
            for (Instance instance : instances.subList(0, KILLED)) {
                instance.process.destroyForcibly();
            }
            for (Instance instance : instances.subList(0, KILLED)) {
                instance.process.waitFor();
                instance.startedAt = Double.MAX_VALUE;
            }
            rig.note("%d of %d sidecars were killed", KILLED, SIDECARS);
        }
        String release = Site.list(42, upstreams, Site.QUOTE_ZONES, u -> drains(u) ? "DRAINING" : "SERVING");
        toldAt = rig.seconds();
        for (Instance instance : instances) {
            instance.agent.setList(42, release);
        }
        rig.note("a release begins: the agents have been sent that half of %d upstreams drain", UPSTREAMS);
        Rig.sleep(1);
        if (rig.trouble) {
            for (Instance instance : instances.subList(0, KILLED)) {
                start(instance, known);
            }
        }
        Rig.sleep(5);
        ended = true;
        for (Thread client : clients) {
            client.join(3_000);
        }
        String result = "answered " + answered + ", sent to draining upstreams after the grace: " + broken;
        rig.note("%s", result);
        System.out.println(result);
        return broken.get() > 0 ? 1 : answered.get() < 100 ? 2 : 0;
    }

    /** {@code known}: the list as the sidecar last had it before it was killed. */
    private void start(Instance instance, String known) throws IOException {
        String config = Site.config(instance.name, instance.port, instance.agent.address(), known, Site.quotes(SIDECARS));
        instance.startedAt = rig.seconds();
        instance.process = rig.startSidecar(instance.name, config, instance.port, instance.agent.address());
    }

    /** Connects when it can, asks /healthz until that says 200, and then sends one request after the other. */
    private void client(Instance instance) {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Rig.LOOPBACK, instance.port), 500);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(2000);
                Http http = new Http(socket.getInputStream());
                socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
                Http.Head health = http.readHead(null);
                if (health == null) {
                    continue;
                }
                http.readBody(health, true);
                while (!ended && health.parts()[1].equals("200")) {
                    String id = rig.nextCallId();
                    instanceByCallId.put(id, instance);
                    socket.getOutputStream().write(("GET /rate-check?obj=u" + id
                            + " HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id
                            + "\r\nX-Caller: viajaseguro\r\nX-Budget-Ms: 500\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    Http.Head answer = http.readHead(null);
                    if (answer == null) {
                        break;
                    }
                    http.readBody(answer, true);
                    rig.note("client of %s got %s for %s", instance.name, answer.parts()[1], id);
                    answered.incrementAndGet();
                    Rig.sleep(0.4);
                }
            } catch (IOException e) {
                Rig.sleep(0.002);
            }
        }
    }
}
