package dapplequay.lab.fleet;

import dapplequay.lab.text.TomlFile;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A fault, as described by a {@code [[fault]]} table. Times are microseconds; the start counts from that of the load.
 *
 * @param hosts  indexes of the affected hosts; if empty, they are drawn by {@code share} and {@code zone}
 * @param share  share of the hosts that are affected
 * @param zone   index of the zone to which the fault is limited, or -1
 * @param amount strength, whose unit depends on the {@link Kind}
 * @param shareOfRequests share of the requests that are affected, for kinds that affect single requests
 */
public record FaultSpec(Kind kind, long startUs, long durationUs, List<Integer> hosts, double share, int zone,
                        double amount, double shareOfRequests) {
    /** Kinds of faults. The argument is the default of {@code amount}, whose meaning the comment of a kind gives. */
    public enum Kind {
        /** The host stops responding; at the end it restarts cold and resets its old connections. */
        SILENT(0),
        /** Requests fail fast; amount: share of requests that fail. */
        ERRORS(0.6),
        /** Load reports are delayed; amount: seconds. */
        LATE_REPORTS(2),
        /** A share of the requests needs more work; amount: factor on the work. */
        HEAVY(10),
        /** The host is slower; amount: factor on the time that work takes. */
        SLOW(2),
        /** New connections are refused; open connections are not affected. */
        REFUSE(0),
        /** New connections hang during connect; open connections are not affected. */
        HANG(0),
        /** A share of the requests is reset after it was received and before any work. */
        RESET_BEFORE(0),
        /** A share of the responses is interrupted by a reset. */
        RESET_WITHIN(0),
        /** A share of the responses is followed by a reset. */
        RESET_AFTER(0),
        /** For a share of the requests the connection stops responding for good; the host stays healthy. */
        SILENT_CONNECTION(0),
        /** A share of the responses is truncated by an orderly close. */
        CUT(0),
        /** A share of the responses is not HTTP. */
        GARBLED(0),
        /** A share of the responses has a body of more than 64 KiB. */
        OVERLONG(0),
        /** A share of the responses is followed by unsolicited bytes. */
        UNASKED(0),
        /** The host drains, and the list says so; at the end it serves again. */
        DRAIN(0),
        /** The host drains; at the end a host with another uid replaces it, cold, at the same address. */
        REPLACE(0),
        /** The host's process stops; at the end of the fault it starts again, cold. */
        STOP(0),
        /** The host's process is killed and restarts at once, cold. */
        RESTART(0),
        /** The list does not change while the fault lasts. */
        LIST_STALE(0),
        /** The list is empty. */
        LIST_EMPTY(0),
        /** The list names a host in an unknown zone. */
        LIST_ODD_ZONE(0),
        /** Discovery needs longer for each call; amount: factor on the time. */
        LIST_SLOW(50),
        /** Discovery is down: open calls are reset and new ones are refused. */
        LIST_DOWN(0);

        private final double defaultAmount;

        Kind(double defaultAmount) {
            this.defaultAmount = defaultAmount;
        }

        /** Returns the kind's name in files: the constant's name in lower case. */
        public String configName() {
            return name().toLowerCase(Locale.ROOT);
        }

        boolean affectsDiscovery() {
            return name().startsWith("LIST_");
        }
    }

    static final List<String> KIND_NAMES = kindNames();

    private static List<String> kindNames() {
        List<String> kindNames = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            kindNames.add(kind.configName());
        }
        return List.copyOf(kindNames);
    }

    /** Reads a {@code [[fault]]} table. */
    public static FaultSpec read(TomlFile.Table table, FleetSpec fleet) {
        Kind kind = Kind.valueOf(table.oneOf("kind", "", KIND_NAMES).toUpperCase(Locale.ROOT));
        List<Integer> hosts = new ArrayList<>();
        for (double host : table.numbers("hosts", List.of())) {
            if (host != Math.rint(host) || host < 0 || host >= fleet.hosts().size()) {
                throw table.error("hosts", "must hold places of hosts, 0 to " + (fleet.hosts().size() - 1));
            }
            hosts.add((int) host);
        }
        String zone = table.string("zone", "");
        int zoneIndex = fleet.zones().indexOf(zone);
        if (!zone.isEmpty() && zoneIndex < 0) {
            throw table.error("zone", "is none of the fleet's zones: " + zone);
        }
        return new FaultSpec(kind, table.durationUs("at"), table.durationUs("for", 5_000_000), List.copyOf(hosts),
                table.number("share", 1, 0, 1), zoneIndex, table.number("amount", kind.defaultAmount, 0, 1e6),
                table.number("requests", 1, 0, 1));
    }
}
