package dapplequay;

import dapplequay.BalancerApi.*;
import dapplequay.limits.ColdBudget;
import dapplequay.membership.PseudoRandom;
import dapplequay.membership.ZoneLoss;
import java.util.*;
import java.util.stream.IntStream;

/** The listed servers, and the few of them, in a fixed order, that this balancer sends to: its buddies. */
final class BuddySet {
    /** Buddies at first; the paper finds 10 to 15 enough at any fleet size, and each buddy may cost a connection. */
    private static final int BASE_SIZE = 12;
    /** The set grows to at most this many buddies for each request held by this balancer. */
    private static final int MAX_BUDDIES_PER_REQUEST = 3;
    /** The set grows only if more than this share of its load comes from this balancer. */
    private static final double MIN_OWN_LOAD_SHARE = 0.5;
    /** The set shrinks by one when its size has not changed for this long. */
    private static final long SHRINK_AFTER_US = 2_000_000;
    /** At least this many buddies are of other zones, so that an overloaded zone can spill. */
    private static final int MIN_FOREIGN = 6;
    /** Buddies kept in lost zones, to try one after the other whether they are back. */
    private static final int LOST_ZONE_BUDDIES = 2;
    /**
     * How much further down a key's order a server of another zone lies: by this factor, divided by the square of the
     * buddies' load per unit of weight.
     */
    private static final double FOREIGN_KEY_PENALTY = 0.7;
    /** The least load per unit of weight for which {@link #FOREIGN_KEY_PENALTY} is computed. */
    private static final double MIN_LOAD_PER_WEIGHT = 0.05;

    /** All listed servers by host, in the order in which they were first listed. */
    final Map<String, Server> servers = new LinkedHashMap<>();
    /** In order of preference. */
    List<Server> buddies = List.of();
    /** How many balancers have a given server in their sets, on average; each is assumed to do as this one does. */
    double balancersPerServer = 1;
    double shortestAimUs;
    /** Requests in flight per unit of weight at the answering server, as reported: running mean of all answers. */
    double meanInFlightPerWeight = 1;
    /** What answers take: running mean of all answers. */
    double meanAnswerUs;
    /** Answers in the means; the initial guess counts as one. */
    int answerCount = 1;
    /** Answer time of the class with the slowest answers; 0: none received. */
    double slowestAnswerUs;
    /** Share of the attempts at all servers that fail: running mean. */
    double failureShare;
    ColdBudget coldBudget;
    final SplittableRandom random;
    ZoneLoss zoneLoss;
    Settings settings;
    private int targetSize = BASE_SIZE;
    private long resizedAt;

    BuddySet(Settings settings, SplittableRandom random) {
        this.random = random;
        zoneLoss = new ZoneLoss(settings.zones().size(), 3 * FailureDetector.AVOID_US);
    }

    /**
     * Returns the mean time of an answer per request in flight and unit of weight (Little's law), us. Without a
     * reported count it is a guess, limited to what an answer takes, which is at least its work.
     */
    double paceUs() {
        boolean isGuess = answerCount == 1;
        return isGuess && slowestAnswerUs > 0 ? Math.min(meanAnswerUs, slowestAnswerUs)
                : meanAnswerUs / meanInFlightPerWeight;
    }

    void configure(Settings next) {
        settings = next;
        shortestAimUs = next.classes().stream().mapToLong(ServiceClass::aimUs).min().getAsLong();
        meanAnswerUs = meanAnswerUs == 0 ? AnswerTimes.GUESS_AIM_SHARE * shortestAimUs : meanAnswerUs;
        coldBudget = new ColdBudget(next.coldStart());
    }

    /** Takes over a list: the whole one, where what is not in it is removed, or else only the entries that changed. */
    void updateList(long now, boolean whole, List<FleetEntry> entries) {
        if (whole) {
            servers.values().forEach(s -> s.ready = s.draining = false);
        }
        boolean changed = whole;
        for (FleetEntry entry : entries) {
            changed |= updateServer(now, entry);
        }
        if (changed) {
            rebuild(now);
            servers.values().removeIf(s -> !s.ready && s.ownInFlight == 0 && !s.draining);
        }
    }

    /** Returns true if the entry may change the buddies. */
    private boolean updateServer(long now, FleetEntry entry) {
        if (entry.state() == HostState.REMOVED && !servers.containsKey(entry.host())) {
            return false;
        }
        Server server = servers.computeIfAbsent(entry.host(), host -> new Server(host, settings.position(), this));
        boolean ready = entry.state() == HostState.READY;
        double weight = Math.max(0.05, entry.weight());
        // An entry with an older start knows less than what attempts have shown since.
        boolean restarted = entry.startedUs() > server.startedUs;
        boolean changed = server.ready != ready || server.weight != weight || restarted;
        server.ready = ready;
        server.draining = entry.state() == HostState.DRAINING;
        if (entry.zone() >= 0) {
            server.zone = entry.zone();
            server.cell = entry.cell();
            server.weight = weight;
            server.startedUs = Math.max(server.startedUs, entry.startedUs());
        }
        if (ready && restarted) {
            server.processRestarted(now);
            zoneLoss.processStarted(server.zone);
        }
        return changed;
    }

    /** Fills the set from the ready servers; called when the list, a zone's loss or the set's size changes. */
    void rebuild(long now) {
        List<Server> ready = servers.values().stream().filter(s -> s.ready).toList();
        if (ready.stream().allMatch(s -> zoneLoss.isLost(s.zone))) {
            // With all zones lost there is no other to use: none counts as lost.
            zoneLoss = new ZoneLoss(settings.zones().size(), 3 * FailureDetector.AVOID_US);
        }
        Comparator<Server> permuted = Comparator.comparingDouble((Server s) -> s.orderKey / s.weight)
                .thenComparing(s -> s.host);
        int home = homeZone();
        List<Server> local = ready.stream().filter(s -> s.zone == home).sorted(permuted).toList();
        List<Server> foreign = new ArrayList<>(ready.stream().filter(s -> s.zone != home)
                .sorted(Comparator.comparing((Server s) -> zoneLoss.isLost(s.zone)).thenComparing(permuted)).toList());
        int reachable = (int) foreign.stream().filter(s -> !zoneLoss.isLost(s.zone)).count();
        Server head = chooseHead(local.isEmpty() ? foreign : local);
        foreign.subList(Math.min(foreign.size(), reachable + LOST_ZONE_BUDDIES), foreign.size()).clear();
        buddies = new ArrayList<>(head == null ? List.of() : List.of(head));
        fill(buddies, local, targetSize - Math.min(foreign.size(), MIN_FOREIGN));
        fill(buddies, foreign, targetSize);
        balancersPerServer = Math.max(1, (double) settings.balancers() * buddies.size() / Math.max(1, ready.size()));
    }

    /** Adds servers to {@code set}, in order and each once, up to {@code size} in all. */
    private static void fill(List<Server> set, List<Server> from, int size) {
        from.stream().filter(s -> !set.contains(s)).limit(Math.max(0, size - set.size())).toList().forEach(set::add);
    }

    /** Returns the balancer's own zone, or while that is lost the next zone with ready servers that is not. */
    private int homeZone() {
        int zones = settings.zones().size();
        return IntStream.range(0, zones).map(i -> (settings.zone() + i) % zones).filter(z -> !zoneLoss.isLost(z)
                && servers.values().stream().anyMatch(s -> s.ready && s.zone == z)).findFirst().orElse(settings.zone());
    }

    /** Spreads the heads of all balancers over a hash ring where each server has an arc as long as its weight. */
    private Server chooseHead(List<Server> candidates) {
        List<Server> ring = new ArrayList<>(candidates);
        ring.sort(Comparator.comparingLong((Server s) -> s.hash).thenComparing(s -> s.host));
        double point = PseudoRandom.evenlySpread(settings.position()) * ring.stream().mapToDouble(s -> s.weight).sum();
        Server head = null;
        for (int i = 0; i < ring.size() && point >= 0; i++) {
            head = ring.get(i);
            point -= head.weight;
        }
        return head;
    }

    /** Adds the next ready server in order, if there is one and the set is too small for this balancer's load. */
    void grow(long now, int requestsHeld) {
        // A new buddy must answer before the next is added: if this process is late, connections would delay it more.
        if (buddies.size() == targetSize && targetSize < MAX_BUDDIES_PER_REQUEST * requestsHeld
                && buddies.stream().noneMatch(s -> s.ownInFlight > 0 && s.lastAnswerAt == 0)
                && buddies.stream().filter(s -> !Double.isNaN(s.reportedInFlight))
                        .mapToDouble(s -> s.ownInFlight - MIN_OWN_LOAD_SHARE * s.estimatedInFlight(now)).sum() > 0) {
            resize(now, targetSize + 1);
        }
    }

    void shrink(long now) {
        if (targetSize > BASE_SIZE && now - resizedAt > SHRINK_AFTER_US) {
            resize(now, targetSize - 1);
        }
    }

    private void resize(long now, int size) {
        targetSize = size;
        resizedAt = now;
        rebuild(now);
    }

    /**
     * Returns the buddies in the order in which they are tried for a key. Where servers keep warm state for keys, all
     * balancers of a zone prefer the same server for a key, by weighted rendezvous hashing (highest random weight;
     * Thaler, Ravishankar 1998): a server that joins or leaves moves only its own keys.
     *
     * @param keyText the request's key; null if it has none
     */
    List<Server> orderForKey(long now, String keyText) {
        if (!settings.warmKeys() || keyText == null) {
            return buddies;
        }
        long key = PseudoRandom.mixBits(keyText.hashCode());
        double loadPerWeight = Math.max(MIN_LOAD_PER_WEIGHT,
                buddies.stream().mapToDouble(s -> s.estimatedInFlight(now)).sum()
                / buddies.stream().mapToDouble(s -> s.weight).sum());
        buddies.forEach(s -> s.keyRank = PseudoRandom.exponential(key ^ s.hash) / s.weight
                * (s.zone == settings.zone() ? 1 : 1 + FOREIGN_KEY_PENALTY / (loadPerWeight * loadPerWeight)));
        return buddies.stream().sorted(Comparator.comparingDouble((Server s) -> s.keyRank)
                .thenComparing(s -> s.host)).toList();
    }
}
