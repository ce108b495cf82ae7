package dapplequay.lab.fleet;

import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.rng.simple.RandomSource;

/** An emulated fleet on loopback sockets: hosts, discovery service, and the faults scheduled for them. */
public final class Fleet implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Fleet.class.getName());
    private static final int MAX_LOOPS = 3;

    private final FleetSpec spec;
    private final FleetLog log;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<HostServer> hosts = new ArrayList<>();
    private final EventLoop listLoop = new EventLoop("discovery");
    private final Discovery discovery;
    private boolean closed;

    /** Starts discovery and all hosts, each warmed up. Random draws depend only on the seed. */
    public Fleet(FleetSpec spec, long seed) throws IOException {
        this.spec = spec;
        log = new FleetLog(spec.hosts().size());
        int count = Math.max(1, Math.min(MAX_LOOPS, Runtime.getRuntime().availableProcessors() / 2));
        for (int i = 0; i < count; i++) {
            loops.add(new EventLoop("hosts-" + i));
        }
        discovery = new Discovery(spec, listLoop, log);
        long now = EventLoop.nowUs();
        for (int i = 0; i < spec.hosts().size(); i++) {
            HostServer host = new HostServer(spec, i, address(i), loops.get(i % count), log,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000_003 + i));
            int hostIndex = i;
            loops.get(i % count).postAndWait(() -> start(host, now));
            hosts.add(host);
            listLoop.postAndWait(() -> discovery.publish(entry(hostIndex, host, "SERVING", 0)));
        }
    }

    /** Each host gets its own address, so that a reused port can't lead a connection to the wrong host. */
    private static InetAddress address(int hostIndex) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 88, (byte) (hostIndex / 250), (byte) (1 + hostIndex % 250)});
    }

    private static void start(HostServer host, long nowUs) {
        try {
            host.start(nowUs);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ListState.Entry entry(int hostIndex, HostServer host, String state, long bootMs) {
        FleetSpec.Host hostSpec = spec.hosts().get(hostIndex);
        return new ListState.Entry(host.uid(), host.endpoints(), spec.zones().get(hostSpec.zone()), hostSpec.kind(),
                hostSpec.pod(), state, hostSpec.spec().cores(), bootMs);
    }

    public FleetSpec spec() {
        return spec;
    }

    public FleetLog log() {
        return log;
    }

    /** Returns the address at which this view calls discovery. */
    public String discoveryAt(int view) {
        return discovery.address(view);
    }

    /** Returns the current list in discovery's JSON format, as this view sees it. */
    public String listSnapshot(int view) {
        String[] text = new String[1];
        listLoop.postAndWait(() -> text[0] = discovery.listSnapshot(view));
        return text[0];
    }

    /** Returns the addresses at which callers in this zone reach the hosts, in host order. */
    public List<String> endpoints(int zone) {
        return hosts.stream().map(host -> host.endpoints().get(zone)).toList();
    }

    /** Schedules the faults of a script, whose times are relative to {@code startUs}. */
    public void scheduleFaults(FaultScript script, long startUs) {
        for (FaultScript.Step step : script.steps()) {
            long at = startUs + step.atUs();
            if (step.hosts().isEmpty()) {
                listLoop.post(() -> listLoop.schedule(at, () -> applyListFault(step)));
            }
            for (int hostIndex : step.hosts()) {
                EventLoop loop = loops.get(hostIndex % loops.size());
                loop.post(() -> loop.schedule(at, () -> applyHostFault(hostIndex, step)));
            }
        }
    }

    private void applyListFault(FaultScript.Step step) {
        try {
            discovery.applyFault(step.fault(), step.begins());
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "could not apply fault " + step.fault().kind().configName(), e);
        }
    }

    private void applyHostFault(int hostIndex, FaultScript.Step step) {
        HostServer host = hosts.get(hostIndex);
        long now = EventLoop.nowUs();
        ListState.Entry before = entry(hostIndex, host, "DELETED", 0);
        try {
            if (step.begins()) {
                host.beginFault(step.fault(), now);
            } else {
                host.endFault(step.fault(), now);
            }
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "could not apply fault " + step.fault().kind().configName(), e);
        }
        updateList(hostIndex, host, before, step, now / 1000);
    }

    /** Publishes a fault's effect on the list, which shows only whether a host runs and whether it drains. */
    private void updateList(int hostIndex, HostServer host, ListState.Entry before, FaultScript.Step step, long nowMs) {
        switch (step.fault().kind()) {
            case DRAIN -> postListChange(entry(hostIndex, host, step.begins() ? "DRAINING" : "SERVING", 0));
            case REPLACE -> {
                if (step.begins()) {
                    postListChange(before.withState("DRAINING"));
                } else {
                    postListChange(before);
                    postListChange(entry(hostIndex, host, "SERVING", nowMs));
                }
            }
            case STOP -> postListChange(step.begins() ? before : entry(hostIndex, host, "SERVING", nowMs));
            case RESTART -> {
                if (step.begins()) {
                    postListChange(entry(hostIndex, host, "SERVING", nowMs));
                }
            }
            case SILENT -> {
                if (!step.begins()) {
                    postListChange(entry(hostIndex, host, "SERVING", nowMs));
                }
            }
            default -> { }
        }
    }

    private void postListChange(ListState.Entry entry) {
        listLoop.post(() -> discovery.change(entry));
    }

    /** Stops discovery and all hosts; the log stays readable. A second call does nothing. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (int i = 0; i < hosts.size(); i++) {
            HostServer host = hosts.get(i);
            loops.get(i % loops.size()).postAndWait(host::close);
        }
        loops.forEach(EventLoop::close);
        listLoop.close();
    }
}
