package dapplequay;

import dapplequay.BalancerApi.Semantics;
import dapplequay.BalancerApi.Settings;
import java.util.List;

/** Which server takes a request, or that none does: the mechanism's rule, and what departs from it. */
final class ServerSelector {
    /** With keys that servers remember, one whose figure is so many times the set's mean at most has room. */
    private static final double ROOM = 1.1;
    /** A request of a greater share of its worth may ask a server anew that nothing would be sent to. */
    private static final double ASKING_WORTH = 0.5;

    private final BuddySet set;
    private boolean someRepeatable;

    ServerSelector(BuddySet set) {
        this.set = set;
    }

    void use(Settings next) {
        someRepeatable = next.classes().stream().anyMatch(c -> c.semantics() != Semantics.FRAGILE);
    }

    /** Where the request goes now, one of so many held; null: it has to be answered. */
    Server select(long now, PendingRequest h, int requestsHeld) {
        for (Server s : set.buddies) {
            if (set.zoneLoss.isLost(s.zone) && usable(now, h, s)) {
                return s;             // now and then, else nobody would learn that its zone is back
            }
        }
        List<Server> order = set.orderFor(now, h.request.key());
        double limit = Server.TH_V * set.pace() * h.worthShare;
        Server head = null;
        Server least = null;
        Server unasked = null;
        for (Server s : order) {
            if (!usable(now, h, s) || head != null && !worthDiverting(now, h, s, head)) {
                continue;
            }
            double figure = s.figure(now);
            if (figure <= limit && (head == null || now >= s.flagSetAt)) {
                return s;
            }
            head = head == null ? s : head;
            least = least == null || figure < least.figure(now) ? s : least;
            if (s.own == 0 && now - Math.max(s.silentSince(), s.reportAt) > h.type.aimUs()
                    && h.worthShare > ASKING_WORTH
                    && (unasked == null || s.silentSince() < unasked.silentSince())) {
                unasked = s;
            }
        }
        if (head == null) {           // each is failing, on trial or cold: the first that rules and budget allow
            return set.buddies.stream().filter(s -> h.mayGo(now, s, set.settings.limits()) && !h.attempts.contains(s)
                    && (s.warmth(now) >= 1 || s.hasTurn(now, true))).findFirst().orElse(null);
        }
        if (order != set.buddies) {
            List<Server> open = order.stream().filter(s -> usable(now, h, s)).toList();
            double room = ROOM * open.stream().mapToDouble(s -> s.figure(now)).average().orElse(0);
            least = open.stream().filter(s -> s.figure(now) <= room).findFirst().orElse(least);
        }
        // Past TH_v everywhere a head that many share would be swamped: the least figure takes it, or the first in the
        // key's order that has room, as all who know the same would find the same least one. Better refused early than
        // failed late, where it may be refused at all; but one long unheard of is asked, or all may keep away for good.
        set.grow(now, requestsHeld);
        return least.hasRoom(now, h.worthShare) || !h.isRefusable() ? least : unasked;
    }

    /** Crossing zones has a price: a diversion crosses only if it saves that share of the aim. */
    private boolean worthDiverting(long now, PendingRequest h, Server s, Server head) {
        return s.zone == head.zone || s.zone == set.settings.zone()
                || Math.min(1, head.figure(now) / h.type.aimUs()) - s.figure(now) / h.type.aimUs()
                > set.settings.prices().crossZone();
    }

    /** By the rules and for all that is known of it; a suspect is tried by what can be repeated, one at a time. */
    boolean usable(long now, PendingRequest h, Server s) {
        return h.mayGo(now, s, set.settings.limits()) && !h.attempts.contains(s) && now >= s.shunUntil
                && (!set.zoneLoss.isLost(s.zone) || set.zoneLoss.mayTry(now, s.zone) && h.attempts.isEmpty())
                && !(s.trial && (s.own > 0 || someRepeatable && h.type.semantics() == Semantics.FRAGILE))
                && (s.warmth(now) >= 1 || h.attempts.isEmpty() && s.hasTurn(now, false));
    }
}
