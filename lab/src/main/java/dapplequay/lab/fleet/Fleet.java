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

/** A fleet on real loopback sockets: its hosts, its discovery, and the faults that are played on them. */
public final class Fleet implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Fleet.class.getName());
    private static final int MOST_LOOPS = 3;

    private final FleetSpec spec;
    private final FleetLog log;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<HostServer> hosts = new ArrayList<>();
    private final EventLoop listLoop = new EventLoop("discovery");
    private final Discovery discovery;
    private boolean closed;

    /** Starts all of it; every host is warm. Its draws depend on the seed alone. */
    public Fleet(FleetSpec spec, long seed) throws IOException {
        this.spec = spec;
        log = new FleetLog(spec.hosts().size());
        int count = Math.max(1, Math.min(MOST_LOOPS, Runtime.getRuntime().availableProcessors() / 2));
        for (int i = 0; i < count; i++) {
            loops.add(new EventLoop("hosts-" + i));
        }
        discovery = new Discovery(spec, listLoop, log);
        long now = EventLoop.nowUs();
        for (int i = 0; i < spec.hosts().size(); i++) {
            HostServer host = new HostServer(spec, i, address(i), loops.get(i % count), log,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000_003 + i));
            int at = i;
            loops.get(i % count).postAndWait(() -> start(host, now));
            hosts.add(host);
            listLoop.postAndWait(() -> discovery.publish(entry(at, host, "SERVING", 0)));
        }
    }

    /** Each host has an address of its own: a connection that goes to the wrong one is no coincidence. */
    private static InetAddress address(int place) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 88, (byte) (place / 250), (byte) (1 + place % 250)});
    }

    private static void start(HostServer host, long nowUs) {
        try {
            host.start(nowUs);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ListState.Entry entry(int place, HostServer host, String state, long bootMs) {
        FleetSpec.Host is = spec.hosts().get(place);
        return new ListState.Entry(host.uid(), host.endpoints(), spec.zones().get(is.zone()), is.kind(), is.pod(),
                state, is.spec().cores(), bootMs);
    }

    public FleetSpec spec() {
        return spec;
    }

    public FleetLog log() {
        return log;
    }

    /** Where this view asks for the list. */
    public String discoveryAt(int view) {
        return discovery.address(view);
    }

    /** The list of this moment in discovery's form, as this view sees it. */
    public String known(int view) {
        String[] text = new String[1];
        listLoop.postAndWait(() -> text[0] = discovery.known(view));
        return text[0];
    }

    /** Addresses of all hosts, as callers of this zone reach them. */
    public List<String> endpoints(int zone) {
        return hosts.stream().map(host -> host.endpoints().get(zone)).toList();
    }

    /** Plays the faults; {@code startUs} is the time from which the script counts. */
    public void play(FaultScript script, long startUs) {
        for (FaultScript.Step step : script.steps()) {
            long at = startUs + step.atUs();
            if (step.hosts().isEmpty()) {
                listLoop.post(() -> listLoop.schedule(at, () -> listFault(step)));
            }
            for (int place : step.hosts()) {
                EventLoop loop = loops.get(place % loops.size());
                loop.post(() -> loop.schedule(at, () -> hostFault(place, step)));
            }
        }
    }

    private void listFault(FaultScript.Step step) {
        try {
            discovery.fault(step.fault(), step.begins());
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "fault not played: " + step.fault().kind().word(), e);
        }
    }

    private void hostFault(int place, FaultScript.Step step) {
        HostServer host = hosts.get(place);
        long now = EventLoop.nowUs();
        ListState.Entry before = entry(place, host, "DELETED", 0);
        try {
            if (step.begins()) {
                host.begin(step.fault(), now);
            } else {
                host.end(step.fault(), now);
            }
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "fault not played: " + step.fault().kind().word(), e);
        }
        tell(place, host, before, step, now / 1000);
    }

    /** What of a fault the list shows: it knows only whether a process runs, and whether it drains. */
    private void tell(int place, HostServer host, ListState.Entry before, FaultScript.Step step, long nowMs) {
        switch (step.fault().kind()) {
            case DRAIN -> list(entry(place, host, step.begins() ? "DRAINING" : "SERVING", 0));
            case REPLACE -> {
                if (step.begins()) {
                    list(before.as("DRAINING"));
                } else {
                    list(before);
                    list(entry(place, host, "SERVING", nowMs));
                }
            }
            case STOP -> list(step.begins() ? before : entry(place, host, "SERVING", nowMs));
            case RESTART -> {
                if (step.begins()) {
                    list(entry(place, host, "SERVING", nowMs));
                }
            }
            case SILENT -> {
                if (!step.begins()) {
                    list(entry(place, host, "SERVING", nowMs));
                }
            }
            default -> { }
        }
    }

    private void list(ListState.Entry entry) {
        listLoop.post(() -> discovery.change(entry));
    }

    /** Ends all of it; what it saw stays in its log. A second call does nothing. */
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
