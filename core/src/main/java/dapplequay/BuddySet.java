package dapplequay;

import dapplequay.BalancerApi.*;
import dapplequay.limits.ColdBudget;
import dapplequay.membership.PseudoRandom;
import dapplequay.membership.ZoneLoss;
import java.util.*;
import java.util.stream.IntStream;

/** The servers that are listed, and the few of them, in a fixed order, that this balancer sends to. */
final class BuddySet {
    /** Buddies; the paper finds 10 to 15 enough at any fleet size, and each buddy may cost a connection. */
    private static final int SIZE = 12;
    // Past TH_v everywhere by this share of its own doing a set grows, to so many a request held; shrinks after this.
    private static final int PER_HELD = 3;
    private static final double OWN_SHARE = 0.5;
    private static final long SHRINK_US = 2_000_000;
    /** Buddies of other zones at least, so that an overloaded zone can spill. */
    private static final int FOREIGN = 6;
    /** Buddies kept in lost zones: to try, one after the other, whether they are back. */
    private static final int LOST = 2;
    // In a key's order another zone's lie further away by this, over the square of what is held for each worked on.
    private static final double FOREIGN_LEAN = 0.7;
    private static final double LEAST_BUSY = 0.05;

    final Map<String, Server> servers = new LinkedHashMap<>();    // all that are listed, in the order met
    List<Server> buddies = List.of();
    double senders = 1;           // how many have a server in their sets: what each does now and then, so many do
    double leastAim;
    double held = 1;              // of all answered sends, as per server
    double took;
    int answers = 1;              // the guess at the start counts as one
    double slowestAnswer;         // what answers take in the class that takes longest, us; 0: there was none
    double failures;              // share of sends that fail, at all servers: running mean
    ColdBudget cold;
    final SplittableRandom random;
    ZoneLoss zoneLoss;
    Settings settings;
    private int size = SIZE;
    private long resizedAt;

    BuddySet(Settings settings, SplittableRandom random) {
        this.random = random;
        zoneLoss = new ZoneLoss(settings.zones().size(), 3 * FailureDetector.SHUN_US);
    }

    /**
     * Time per request held and unit of size (Little's law), us. Where no count is told it is a guess, but no more than
     * an answer takes: that is at least its work.
     */
    double pace() {
        boolean isGuess = answers == 1;
        return isGuess && slowestAnswer > 0 ? Math.min(took, slowestAnswer) : took / held;
    }

    void use(Settings next) {
        settings = next;
        leastAim = next.classes().stream().mapToLong(ServiceClass::aimUs).min().getAsLong();
        took = took == 0 ? AnswerTimes.GUESS_SHARE * leastAim : took;
        cold = new ColdBudget(next.coldStart());
    }

    /** A list, or its changes where it is not {@code whole}: a whole one leaves out what is gone. */
    void listed(long now, boolean whole, List<FleetEntry> entries) {
        if (whole) {
            servers.values().forEach(s -> s.ready = s.draining = false);
        }
        boolean changed = whole;
        for (FleetEntry e : entries) {
            changed |= note(now, e);
        }
        if (changed) {
            form(now);
            servers.values().removeIf(s -> !s.ready && s.own == 0 && !s.draining);
        }
    }

    private boolean note(long now, FleetEntry e) {
        if (e.state() == HostState.REMOVED && !servers.containsKey(e.host())) {
            return false;
        }
        Server s = servers.computeIfAbsent(e.host(), host -> new Server(host, settings.position(), this));
        boolean ready = e.state() == HostState.READY;
        double entrySize = Math.max(0.05, e.weight());
        boolean later = e.startedUs() > s.startedUs;    // an older line knows less than what was met there
        boolean changed = s.ready != ready || s.size != entrySize || later;
        s.ready = ready;
        s.draining = e.state() == HostState.DRAINING;
        if (e.zone() >= 0) {
            s.zone = e.zone();
            s.cell = e.cell();
            s.size = entrySize;
            s.startedUs = Math.max(s.startedUs, e.startedUs());
        }
        if (ready && later) {
            s.restarted(now);
            zoneLoss.started(s.zone);
        }
        return changed;
    }

    /** Fills the set from the ready servers, when the list, a zone's loss or the set's size changes. */
    void form(long now) {
        List<Server> ready = servers.values().stream().filter(s -> s.ready).toList();
        if (ready.stream().allMatch(s -> zoneLoss.isLost(s.zone))) {
            zoneLoss = new ZoneLoss(settings.zones().size(), 3 * FailureDetector.SHUN_US);  // there is no other to turn to
        }
        Comparator<Server> permuted = Comparator.comparingDouble((Server s) -> s.orderKey / s.size)
                .thenComparing(s -> s.host);
        int home = homeZone();
        List<Server> local = ready.stream().filter(s -> s.zone == home).sorted(permuted).toList();
        List<Server> foreign = new ArrayList<>(ready.stream().filter(s -> s.zone != home)
                .sorted(Comparator.comparing((Server s) -> zoneLoss.isLost(s.zone)).thenComparing(permuted)).toList());
        int reachable = (int) foreign.stream().filter(s -> !zoneLoss.isLost(s.zone)).count();
        Server head = headOf(local.isEmpty() ? foreign : local);
        foreign.subList(Math.min(foreign.size(), reachable + LOST), foreign.size()).clear();
        buddies = new ArrayList<>(head == null ? List.of() : List.of(head));
        fill(buddies, local, size - Math.min(foreign.size(), FOREIGN));
        fill(buddies, foreign, size);
        senders = Math.max(1, (double) settings.balancers() * buddies.size() / Math.max(1, ready.size()));
    }

    private static void fill(List<Server> set, List<Server> from, int upTo) {
        from.stream().filter(s -> !set.contains(s)).limit(Math.max(0, upTo - set.size())).toList().forEach(set::add);
    }

    /** The own zone; while that is lost, the next one with ready servers that is not. */
    private int homeZone() {
        int zones = settings.zones().size();
        return IntStream.range(0, zones).map(i -> (settings.zone() + i) % zones).filter(z -> !zoneLoss.isLost(z)
                && servers.values().stream().anyMatch(s -> s.ready && s.zone == z)).findFirst().orElse(settings.zone());
    }

    /** Rotation by balancer number, on a ring where each server has an arc as long as its weight. */
    private Server headOf(List<Server> ring) {
        List<Server> order = new ArrayList<>(ring);
        order.sort(Comparator.comparingLong((Server s) -> s.hash).thenComparing(s -> s.host));
        double point = PseudoRandom.evenlySpread(settings.position()) * order.stream().mapToDouble(s -> s.size).sum();
        Server at = null;
        for (int i = 0; i < order.size() && point >= 0; i++) {
            at = order.get(i);
            point -= at.size;
        }
        return at;
    }

    /** Takes the next ready server in order into the set, where one is left and the set is not wide enough. */
    void grow(long now, int requestsHeld) {
        // Each answers before the next: where this process itself is late, new connections would make it later.
        if (buddies.size() == size && size < PER_HELD * requestsHeld
                && buddies.stream().noneMatch(s -> s.own > 0 && s.answeredAt == 0)
                && buddies.stream().filter(s -> !Double.isNaN(s.reported))
                        .mapToDouble(s -> s.own - OWN_SHARE * s.held(now)).sum() > 0) {
            resize(now, size + 1);
        }
    }

    void shrink(long now) {
        if (size > SIZE && now - resizedAt > SHRINK_US) {
            resize(now, size - 1);
        }
    }

    private void resize(long now, int next) {
        size = next;
        resizedAt = now;
        form(now);
    }

    /**
     * The buddies, from the one whose turn it is. Where servers remember keys the key decides, so that all of a zone
     * turn to the same one. Highest random weight (Thaler, Ravishankar 1998): who comes or goes moves its own keys.
     */
    List<Server> orderFor(long now, String text) {
        if (!settings.warmKeys() || text == null) {
            return buddies;
        }
        long key = PseudoRandom.mixBits(text.hashCode());
        double busy = Math.max(LEAST_BUSY, buddies.stream().mapToDouble(s -> s.held(now)).sum()
                / buddies.stream().mapToDouble(s -> s.size).sum());
        buddies.forEach(s -> s.keyPlace = PseudoRandom.exponential(key ^ s.hash) / s.size
                * (s.zone == settings.zone() ? 1 : 1 + FOREIGN_LEAN / (busy * busy)));
        return buddies.stream().sorted(Comparator.comparingDouble((Server s) -> s.keyPlace)
                .thenComparing(s -> s.host)).toList();
    }
}
