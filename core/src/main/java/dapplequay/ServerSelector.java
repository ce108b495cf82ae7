package dapplequay;

import dapplequay.BalancerApi.Semantics;
import dapplequay.BalancerApi.Settings;
import java.util.List;

/** Selects the server for a request, or none: the paper's rule, and the departures from it. */
final class ServerSelector {
    /** Where servers keep warm state for keys, one has room up to this multiple of the mean load figure. */
    private static final double KEYED_ROOM_MULTIPLE = 1.1;
    /** A request of more than this share of its worth may go to an overloaded server without a recent report. */
    private static final double MIN_RECHECK_WORTH = 0.5;

    private final BuddySet set;
    /** True if requests of some class may be repeated. */
    private boolean someRepeatable;

    ServerSelector(BuddySet set) {
        this.set = set;
    }

    void configure(Settings next) {
        someRepeatable = next.classes().stream().anyMatch(c -> c.semantics() != Semantics.FRAGILE);
    }

    /**
     * Returns the server that the request is sent to now; null if it has to be answered instead.
     *
     * @param requestsHeld the requests without a final answer at this balancer
     */
    Server select(long now, PendingRequest pending, int requestsHeld) {
        for (Server server : set.buddies) {
            if (set.zoneLoss.isLost(server.zone) && isUsable(now, pending, server)) {
                return server;        // an occasional request, to find out whether the zone is back
            }
        }
        List<Server> order = set.orderForKey(now, pending.request.key());
        double limitUs = Server.TH_V * set.paceUs() * pending.worthShare;
        Server head = null;
        Server leastLoaded = null;
        Server longestSilent = null;
        for (Server server : order) {
            if (!isUsable(now, pending, server) || head != null && !isWorthDiverting(now, pending, server, head)) {
                continue;
            }
            double figureUs = server.loadFigureUs(now);
            if (figureUs <= limitUs && (head == null || now >= server.shareFlagSetAt)) {
                return server;
            }
            head = head == null ? server : head;
            leastLoaded = leastLoaded == null || figureUs < leastLoaded.loadFigureUs(now) ? server : leastLoaded;
            if (server.ownInFlight == 0
                    && now - Math.max(server.silentSince(), server.lastReportAt) > pending.serviceClass.aimUs()
                    && pending.worthShare > MIN_RECHECK_WORTH
                    && (longestSilent == null || server.silentSince() < longestSilent.silentSince())) {
                longestSilent = server;
            }
        }
        if (head == null) {           // each is avoided, suspected or cold: the first that rules and budget allow
            return set.buddies.stream().filter(s -> pending.maySendTo(now, s, set.settings.limits())
                    && !pending.attempts.contains(s)
                    && (s.warmth(now) >= 1 || s.hasColdTurn(now, true))).findFirst().orElse(null);
        }
        if (order != set.buddies) {
            List<Server> usable = order.stream().filter(s -> isUsable(now, pending, s)).toList();
            double roomUs = KEYED_ROOM_MULTIPLE
                    * usable.stream().mapToDouble(s -> s.loadFigureUs(now)).average().orElse(0);
            leastLoaded = usable.stream().filter(s -> s.loadFigureUs(now) <= roomUs).findFirst().orElse(leastLoaded);
        }
        // All are past TH_v. The head would be swamped by all balancers that share it, so the least loaded takes the
        // request, or in the order for a key the first with room: balancers with the same key and knowledge would all
        // find the same least loaded one. Without room, refusing early beats failing late, if refusing is possible; but
        // the server silent for longest gets the request, or all balancers might avoid it for good.
        set.grow(now, requestsHeld);
        return leastLoaded.hasRoom(now, pending.worthShare) || !pending.isRefusable() ? leastLoaded : longestSilent;
    }

    /** True if the server is in the head's zone or the own one, or saves more of the aim than crossing zones costs. */
    private boolean isWorthDiverting(long now, PendingRequest pending, Server server, Server head) {
        return server.zone == head.zone || server.zone == set.settings.zone()
                || Math.min(1, head.loadFigureUs(now) / pending.serviceClass.aimUs())
                        - server.loadFigureUs(now) / pending.serviceClass.aimUs()
                > set.settings.prices().crossZone();
    }

    /**
     * True if the rules and all that is known of the server permit an attempt. A suspected server gets one request at a
     * time, and only such that can be repeated, if there are any.
     */
    boolean isUsable(long now, PendingRequest pending, Server server) {
        return pending.maySendTo(now, server, set.settings.limits()) && !pending.attempts.contains(server)
                && now >= server.avoidedUntil
                && (!set.zoneLoss.isLost(server.zone)
                        || set.zoneLoss.mayTry(now, server.zone) && pending.attempts.isEmpty())
                && !(server.suspected && (server.ownInFlight > 0
                        || someRepeatable && pending.serviceClass.semantics() == Semantics.FRAGILE))
                && (server.warmth(now) >= 1 || pending.attempts.isEmpty() && server.hasColdTurn(now, false));
    }
}
