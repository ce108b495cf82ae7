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

/** Servers' changes of status as a log line and as figures. */
final class TransitionLog {
    /** So many servers are named for each kind of change; of the others, how many they are. */
    private static final int MOST_NAMED = 8;

    private TransitionLog() { }

    /** One line: what changed, grouped by the status before and after and by its cause, and what brought it. */
    static String text(Result outcome, String source) {
        Map<String, List<String>> uids = new TreeMap<>();
        for (Transition transition : outcome.transitions()) {
            String kind = transition.from() + " -> " + transition.to() + " (" + transition.cause() + ")";
            uids.computeIfAbsent(kind, k -> new ArrayList<>()).add(transition.uid());
        }
        StringBuilder line = new StringBuilder("servers by ").append(source);
        uids.forEach((kind, names) -> {
            line.append("; ").append(kind).append(": ")
                    .append(String.join(" ", names.subList(0, Math.min(MOST_NAMED, names.size()))));
            if (names.size() > MOST_NAMED) {
                line.append(" and ").append(names.size() - MOST_NAMED).append(" more");
            }
        });
        return line.toString();
    }

    static void count(Result outcome, DiscoveryMetrics figures) {
        for (Transition transition : outcome.transitions()) {
            figures.countTransition(transition.to().name().toLowerCase(Locale.ROOT));
            if (transition.from() == ServerStatus.UNCONFIRMED) {
                figures.recordUnconfirmed(transition.previousDurationUs());
            }
        }
        outcome.rotationExits().forEach(server -> figures.recordLastSend(server.lastSendAfterNewsUs()));
    }
}
