package dapplequay.net;

import dapplequay.discovery.ServerRegistry.Result;
import dapplequay.discovery.ServerStatus;
import dapplequay.discovery.Transition;
import dapplequay.management.DiscoveryMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Formats changes of the servers' status for the log and counts them in the metrics. */
final class TransitionLog {
    /** Limit of servers that are named for each kind of change; the others are only counted. */
    private static final int MAX_NAMED_SERVERS = 8;

    private TransitionLog() { }

    /** Returns one line: the changes, grouped by the status before and after and by cause, and their source. */
    static String format(Result outcome, String source) {
        Map<String, List<String>> uids = new TreeMap<>();
        for (Transition transition : outcome.transitions()) {
            String kind = transition.from() + " -> " + transition.to() + " (" + transition.cause() + ")";
            uids.computeIfAbsent(kind, k -> new ArrayList<>()).add(transition.uid());
        }
        StringBuilder line = new StringBuilder("servers by ").append(source);
        uids.forEach((kind, names) -> {
            line.append("; ").append(kind).append(": ")
                    .append(String.join(" ", names.subList(0, Math.min(MAX_NAMED_SERVERS, names.size()))));
            if (names.size() > MAX_NAMED_SERVERS) {
                line.append(" and ").append(names.size() - MAX_NAMED_SERVERS).append(" more");
            }
        });
        return line.toString();
    }

    static void addMetrics(Result outcome, DiscoveryMetrics metrics) {
        for (Transition transition : outcome.transitions()) {
            metrics.countTransition(transition.to().name().toLowerCase(Locale.ROOT));
            if (transition.from() == ServerStatus.UNCONFIRMED) {
                metrics.recordUnconfirmed(transition.previousDurationUs());
            }
        }
        outcome.rotationExits().forEach(server -> metrics.recordLastSend(server.lastSendAfterNewsUs()));
    }
}
