package dapplequay.lab.fleet;

import dapplequay.lab.model.HostSpec;
import dapplequay.lab.text.TomlFile;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A fleet as read from a file. Times are microseconds.
 *
 * @param hosts          every host, in order
 * @param zones          the names of the zones
 * @param zoneLatencyUs  one-way latency between two zones; 0 within a zone
 * @param views          number of callers that discovery tells apart, each with a discovery address of its own
 * @param viewZones      the zone of each view, as an index into {@code zones}
 * @param listDelayUs    delay until the list shows a change of the fleet
 * @param listCallUs     time that discovery needs for a call; it handles one at a time
 * @param listWaitUs     longest time in discovery's queue; calls that would wait longer get 503
 * @param workLeastUs    minimum work of a request that does not state its work
 * @param workMostUs     maximum work of such a request
 * @param idleUs         idle time after which hosts close a connection
 * @param plain          whether hosts accept requests without a call id
 * @param probes         whether hosts answer probes
 * @param pushed         whether lists are pushed to an agent beside each view: calls are then free, and the agent
 *                       defers its answers while discovery is down
 */
public record FleetSpec(List<Host> hosts, List<String> zones, long zoneLatencyUs, int views,
                        List<Integer> viewZones, long listDelayUs, long listCallUs, long listWaitUs,
                        long workLeastUs, long workMostUs, long idleUs, boolean plain, boolean probes,
                        boolean pushed) {
    /** One host: its name, zone, pod, kind and behaviour. */
    public record Host(String uid, int zone, int pod, String kind, HostSpec spec) { }

    /** Reads the table {@code [fleet]}; kinds of hosts are assigned by their shares, shuffled by the seed. */
    public static FleetSpec read(TomlFile.Table fleet, int views, long seed) {
        int count = fleet.integer("hosts", 9, 1, 2000);
        List<String> zones = fleet.strings("zones", List.of("north", "south"));
        if (zones.isEmpty()) {
            throw fleet.error("zones", "must name a zone");
        }
        int podSize = fleet.integer("pod_size", 3, 1, 2000);
        int viewCount = Math.max(1, fleet.integer("views", views, 0, 2000));
        List<Double> work = fleet.numbers("work_ms", List.of(77.0, 140.0));
        if (work.size() != 2 || !(work.get(0) > 0) || work.get(1) < work.get(0)) {
            throw fleet.error("work_ms", "must hold the least and the most work in ms");
        }
        List<HostSpec> specs = new ArrayList<>();
        List<String> kinds = new ArrayList<>();
        List<TomlFile.Table> tables = fleet.tables("kind");
        int assigned = 0;
        for (int k = 0; k < tables.size(); k++) {
            TomlFile.Table kind = tables.get(k);
            double share = kind.number("share", 1, 0, 1);
            int until = k == tables.size() - 1 ? count : Math.min(count, assigned + (int) Math.round(share * count));
            HostSpec spec = readHostSpec(kind);
            String name = kind.string("name");
            for (; assigned < until; assigned++) {
                specs.add(spec);
                kinds.add(name);
            }
        }
        HostSpec defaultSpec = readHostSpec(fleet.table("host"));
        while (specs.size() < count) {
            specs.add(defaultSpec);
            kinds.add("host");
        }
        shuffle(specs, kinds, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int zone = i % zones.size();
            int pod = i / zones.size() / podSize * zones.size() + zone;
            hosts.add(new Host(String.format(Locale.ROOT, "h-%03d", i), zone, pod, kinds.get(i), specs.get(i)));
        }
        List<Integer> viewZones = new ArrayList<>();
        for (int i = 0; i < viewCount; i++) {
            viewZones.add(i % zones.size());
        }
        return new FleetSpec(hosts, zones, fleet.durationUs("zone_latency", 0), viewCount, viewZones,
                fleet.durationUs("list_delay", 500_000), fleet.durationUs("list_call", 1_000),
                fleet.durationUs("list_wait", 2_000_000), Math.round(work.get(0) * 1e3),
                Math.round(work.get(1) * 1e3), fleet.durationUs("idle", 10_000_000), fleet.bool("plain", false),
                fleet.bool("probes", false), fleet.bool("pushed", false));
    }

    private static void shuffle(List<HostSpec> specs, List<String> kinds, UniformRandomProvider random) {
        for (int i = specs.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            java.util.Collections.swap(specs, i, j);
            java.util.Collections.swap(kinds, i, j);
        }
    }

    private static HostSpec readHostSpec(TomlFile.Table table) {
        return new HostSpec.Builder().cores(table.integer("cores", 1, 1, 256))
                .speed(table.number("speed", 1, 0.001, 1e6))
                .slots(table.integer("slots", 4, 1, 100_000)).room(table.integer("room", 30, 0, 1_000_000))
                .crowd(table.integer("crowd_from", 0, 0, 1_000_000), table.number("crowd_loss", 0.5, 0, 100))
                .cold(table.number("cold_from", 0.31, 0.01, 1), table.durationUs("warm_up", 8_800_000))
                .connections(table.integer("connections", 700, 1, 100_000), table.durationUs("handshake", 1_500))
                .probe(table.durationUs("probe", 400))
                .reports(Math.max(1_000, table.durationUs("report_every", 900_000)),
                        table.durationUs("report_delay", 0), table.number("report_noise", 0.05, 0, 1))
                .errors(table.number("errors", 0, 0, 1), table.durationUs("error_takes", 2_000))
                .stopsOnCancel(table.bool("stops_on_cancel", true))
                .tips(table.number("tip_multiple", 3, 0, 1000), table.durationUs("tip_after", 3_000_000))
                .chokes(new HostSpec.Choke(table.number("choke_at", 0, 0, 1e6), table.durationUs("choke_after",
                        2_000_000),
                        table.number("choke_slower", 2.5, 1, 1000), table.number("choke_below", 0.3, 0, 1),
                        table.durationUs("choke_rest", 3_000_000), table.durationUs("choke_most", 25_000_000)))
                .remembers(new HostSpec.Keys(table.number("key_gain", 0, 0, 1), table.durationUs("key_for", 6_000_000),
                        table.integer("keys", 150, 1, 1_000_000))).build();
    }
}
