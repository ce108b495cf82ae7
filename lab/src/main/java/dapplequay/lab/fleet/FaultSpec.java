package dapplequay.lab.fleet;

import dapplequay.lab.text.Doc;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One fault of a file's {@code [[fault]]}. Times are microseconds from the start of the load.
 *
 * @param hosts  places of the hosts that are hit; empty: drawn by {@code share}, in {@code zone} if one is named
 * @param share  share of the hosts that are hit
 * @param zone   place of the zone that alone is hit, or -1
 * @param amount how strong it is: what that means is said by {@link Kind}
 */
public record FaultSpec(Kind kind, long startUs, long durationUs, List<Integer> hosts, double share, int zone,
                        double amount, double shareOfRequests) {
    /** What goes wrong. {@code amount} is named with each kind that has one, with its ordinary value. */
    public enum Kind {
        /** The machine says nothing any more, and comes back cold, with its old connections reset. */
        SILENT(0),
        /** Requests fail quickly; amount: their share. */
        ERRORS(0.6),
        /** Load reports show later; amount: seconds. */
        LATE_REPORTS(2),
        /** A part of the requests costs more; amount: times the work. */
        HEAVY(10),
        /** Everything takes longer; amount: times. */
        SLOW(2),
        /** New connections are refused; open ones go on. */
        REFUSE(0),
        /** New connections never come up; open ones go on. */
        HANG(0),
        /** A part of the requests meets a reset once it has come, before any work. */
        RESET_BEFORE(0),
        /** A part of the answers is cut in the middle by a reset. */
        RESET_WITHIN(0),
        /** A part of the answers is followed by a reset. */
        RESET_AFTER(0),
        /** A part of the requests makes its connection fall silent for good, on a host that is sound. */
        SILENT_CONNECTION(0),
        /** A part of the answers ends in order before it is whole. */
        CUT(0),
        /** A part of the answers is no HTTP. */
        GARBLED(0),
        /** A part of the answers has a body of more than 64 KiB. */
        OVERLONG(0),
        /** A part of the answers is followed by bytes that nobody asked for. */
        UNASKED(0),
        /** The host wants nothing new and the list says so; at the end it serves again. */
        DRAIN(0),
        /** The host drains, ends, and another with a name of its own starts cold at its address. */
        REPLACE(0),
        /** The process ends; when the fault is over it starts again, cold. */
        STOP(0),
        /** The host is killed and starts again at once, cold. */
        RESTART(0),
        /** The list shows no change as long as this lasts. */
        LIST_STALE(0),
        /** The list is empty. */
        LIST_EMPTY(0),
        /** The list names a host in a zone that nobody knows. */
        LIST_ODD_ZONE(0),
        /** Discovery takes longer over each call; amount: times. */
        LIST_SLOW(50),
        /** Discovery is down: calls are reset, and nobody listens. */
        LIST_DOWN(0);

        private final double defaultAmount;

        Kind(double defaultAmount) {
            this.defaultAmount = defaultAmount;
        }

        /** As files name it. */
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

    /** Reads one table {@code [[fault]]}. */
    public static FaultSpec read(Doc.Table table, FleetSpec fleet) {
        Kind kind = Kind.valueOf(table.word("kind", "", KIND_NAMES).toUpperCase(Locale.ROOT));
        List<Integer> hosts = new ArrayList<>();
        for (double host : table.numbers("hosts", List.of())) {
            if (host != Math.rint(host) || host < 0 || host >= fleet.hosts().size()) {
                throw table.bad("hosts", "must hold places of hosts, 0 to " + (fleet.hosts().size() - 1));
            }
            hosts.add((int) host);
        }
        String zone = table.text("zone", "");
        int zoneIndex = fleet.zones().indexOf(zone);
        if (!zone.isEmpty() && zoneIndex < 0) {
            throw table.bad("zone", "is none of the fleet's zones: " + zone);
        }
        return new FaultSpec(kind, table.duration("at"), table.duration("for", 5_000_000), List.copyOf(hosts),
                table.real("share", 1, 0, 1), zoneIndex, table.real("amount", kind.defaultAmount, 0, 1e6),
                table.real("requests", 1, 0, 1));
    }
}
