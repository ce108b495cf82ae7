// Interface: BalancerApi.java (the events that come in, the actions that go out, the values of both).
package dapplequay;

import dapplequay.limits.ColdBudget;
import dapplequay.membership.AskPace;
import dapplequay.membership.Scatter;
import dapplequay.membership.ZoneLoss;
import dapplequay.worth.TenantMix;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Every decision of one balancer: buddy-set load sharing after Shin and Chang. A small buddy set in a fixed
 * order; the head takes a send unless that takes it past TH_v; then the first buddy in order whose share flag
 * is set; else the head. One instance serves one client process, shares nothing, and is not thread-safe.
 * Rules are kept in two places: only {@link #send} sends, and only {@link #answer} answers.
 */
public final class Balance implements BalancerApi {
    // ---- settings; a load figure is the time, us, that a request sent now is thought to take ----
    // The aim, us, that the times below were fitted to: with a shorter one, work, reports and troubles pass faster.
    private static final double FITTED_AIM_US = 600_000;
    /** Buddies; the paper finds 10 to 15 enough at any fleet size, and each buddy may cost a connection. */
    private static final int SET_SIZE = 12;
    // A set that is past TH_v everywhere, by this share or more of its own doing, is too small for its traffic: the
    // next in order joins it, up to so many buddies a request held, and leaves after this, us, without need.
    private static final int SET_PER_HELD = 3;
    private static final double OWN_SHARE = 0.5;
    private static final long SHRINK_US = 2_000_000;
    /** Buddies of other zones at least, where there are other zones, so that an overloaded zone can spill. */
    private static final int FOREIGN_BUDDIES = 6;
    // Thresholds in times that the set takes for a request with nobody before it: the same for all classes, as they
    // wait in the same queue. Past TH_v a send would begin to wait.
    private static final double TH_U = 1;
    private static final double TH_F = 1.3;
    private static final double TH_V = 1.5;
    /** The first guess at what an answer takes, as a share of its class's aim. */
    private static final double GUESS_SHARE = 0.1;
    // Nobody is sent more than takes, at the set's pace, this share of the shortest aim: all classes wait in one queue,
    // and a server that has held far more than it works on for a second or two slows down, for long.
    private static final double QUEUE_SHARE = 0.6;
    /** The share of that room that is there for a request worth nothing: the rest is kept for better ones. */
    private static final double LITTLE_WORTH = 0.5;
    /** With keys that servers remember, one whose figure is so many times the set's mean at most has room. */
    private static final double ROOM = 1.1;
    // Crossing zones has a price, and what a remembered key saves counts where cores are short: in a key's order a
    // server of another zone lies further away by this, over the square of what the set holds for each it works on.
    private static final double FOREIGN_LEAN = 0.7;
    private static final double LEAST_BUSY = 0.05;
    /** What a report tells fades with this time constant, us: a queue nobody feeds is worked off. */
    private static final double FADE_US = 8_000_000;
    // Time constant of the mean of what a server holds for others, in times that its reports usually stay the same, and
    // the longest, us: one sent little would keep a bad name by count.
    private static final double OTHERS_REFRESHES = 2;
    private static final double OTHERS_US = 3_000_000;
    private static final double REFRESH_US = 1_000_000;
    /** A request of a greater share of its worth may ask a server anew that nothing would be sent to. */
    private static final double ASKING_WORTH = 0.5;
    /** A cleared flag is set again after this, us: one diverted send then tells how the server is. */
    private static final long FLAG_TIMER_US = 2_000_000;
    // A failing server is passed over for so long, us, doubled at each further failure up to the second; a lost
    // zone is tried as often.
    private static final long SHUN_FIRST_US = 1_000_000;
    private static final long SHUN_MAX_US = 8_000_000;
    // Whether a server fails is weighed as odds, in logarithms: where it stands when nothing speaks against it, what a
    // failure adds and what an answer takes away. A failing one fails a third or more, a sound one a fiftieth or less.
    private static final double DOUBT_NONE = -3.5;
    private static final double DOUBT_ADD = 3;
    private static final double DOUBT_TAKE = 0.9;
    /** A connect that failed after a greater share of the aim than this may be this process's own lateness. */
    private static final double LATE_SHARE = 0.5;
    // A server is silent once its legs have together been waited for, since it was last heard of, so many times as long
    // as answers to their classes usually take: work is long-tailed. It is tried again after this, us.
    private static final double SILENT_TIMES = 16;
    private static final long SILENT_US = 300_000;
    /** How often that is looked at, as a share of the aim. */
    private static final double WATCH_SHARE = 0.1;
    private static final long WATCH_TOKEN = 2;
    /** Buddies kept in lost zones: to try, one after the other, whether they are back. */
    private static final int LOST_BUDDIES = 2;
    /** Weight of the newest answer in what its class takes, */
    private static final double CLASS_GAIN = 0.03;
    /** in a server's pace, and the set's pace as that many answers beside it. */
    private static final double PACE_GAIN = 0.15;
    private static final double PACE_PRIOR = 0.5;
    /** A report of more requests held than this is broken. */
    private static final double MAX_HELD = 10_000;
    /** A shorter time than this, us, is not worth an attempt: a network turn and the shortest work. */
    private static final long MIN_ATTEMPT_US = 2_000;
    /** At least this long between two log lines, us. */
    private static final long LOG_GAP_US = 1_000_000;
    private static final long ASK_TOKEN = 1;

    /** What is known of one server. */
    private static final class Server {
        final String host;
        final long hash;
        int zone;
        int cell;
        boolean ready;
        boolean draining;
        double weight;
        long startedUs;
        double size = 1;          // registered weight: how many requests it works on at once
        double orderKey;          // place in this balancer's permutation
        double keyPlace;          // and in that of the key in hand
        boolean buddy;
        int own;                  // own attempts out
        long answeredAt;          // the last answer of any kind
        double awaited;           // by the legs that are out, in times that their answers usually take
        long silentSince;         // while any is out: the last outcome, or the send that ended its idleness
        double reported = Double.NaN;
        double others;            // held for others, as told, running mean
        long reportAt;
        long changedAt;           // the last report that told another figure
        double refresh = REFRESH_US;  // usual time between two such, us, running mean
        double heldSeen;          // requests held a unit of size as told with answers, running mean
        double took;              // what those answers took, us, running mean
        boolean flag;
        long flagSetAt;           // the timer: from then on the flag counts as set
        int strikes;
        long shunUntil;
        boolean trial;            // failed, and not yet proved sound again
        double doubt = DOUBT_NONE;
        long coldUntil;           // while cold: nothing more before

        Server(String host) {
            this.host = host;
            hash = Scatter.mix(host.hashCode());
        }
    }

    /** What an answer to a class's requests usually takes, us: a running mean. */
    private static final class Usual {
        double took;

        Usual(double guess) {
            took = guess;
        }
    }

    /** A request taken and not yet answered. */
    private static final class Held {
        final Request request;
        final ServiceClass type;
        final Usual usual;
        long usefulUntil;         // an answer after this is worth nothing
        int sendCap;              // attempts that it may have
        boolean uploading;        // its body is still coming: no attempt of it runs yet
        final double worthShare;  // of its class's worth: less than 1 for a try that can only be late
        final List<Server> attempts = new ArrayList<>(2);
        int out;
        Server firstMayHaveRun;
        long firstMayHaveRunAt;
        long sentAt;
        int cut;                  // attempts of which the last was given up as its server is silent

        Held(Request request, ServiceClass type, Usual usual, long usefulUntil, double worthShare, int sendCap) {
            this.request = request;
            this.type = type;
            this.usual = usual;
            this.usefulUntil = usefulUntil;
            this.worthShare = worthShare;
            this.sendCap = sendCap;
        }
    }

    private Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new HashMap<>();   // looked up only, never walked
    final List<Server> listed = new ArrayList<>();                 // the same servers, in the order met
    private List<Server> buddies = List.of();
    private int setSize = SET_SIZE;
    private long grownAt;
    private Server lastJoined;
    private double senders = 1;   // how many have a server in their sets: what each does now and then, so many do
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final Map<String, Long> longestLeft = new HashMap<>(); // per class: the try that clients grant
    private boolean someRepeatable;
    private double haste;                                          // what the fitted times are multiplied by
    private final ZoneLoss zoneLoss;
    private AskPace askPace;
    private ColdBudget cold;
    private TenantMix tenants;
    private double setHeld = 1;                                    // of all answered sends, as per server
    private double setTook;
    private final Map<String, Usual> usual = new HashMap<>();      // by class, looked up only
    private double leastAim;
    private int answers = 1;                                       // the guess at the start counts as one
    private boolean watching;
    private boolean following;
    private long nextLogAt;

    /** IllegalArgumentException, naming the setting, where one makes no sense. */
    public Balance(Settings settings, long seed, Actions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
        use(settings);
        zoneLoss = new ZoneLoss(settings.zones().size(), hasty(SHUN_FIRST_US));
    }

    private void use(Settings next) {
        next.check(settings);
        settings = next;
        someRepeatable = next.classes().stream().anyMatch(c -> c.semantics() != Semantics.FRAGILE);
        leastAim = next.classes().stream().mapToLong(ServiceClass::aimUs).min().getAsLong();
        haste = Math.min(1, leastAim / FITTED_AIM_US);
        setTook = setTook == 0 ? GUESS_SHARE * leastAim : setTook;
        next.classes().forEach(c -> usual.putIfAbsent(c.name(), new Usual(GUESS_SHARE * c.aimUs())));
        cold = new ColdBudget(next.coldStart());
        askPace = new AskPace(next.discovery(), Scatter.fraction(next.position()), random);
        tenants = new TenantMix(next.tenants(), next.overShareWorth());
    }

    /** What is known of servers stays, and requests under way keep what they came with. */
    @Override
    public void retune(long now, Settings next) {
        use(next);
        formSet(now);
    }

    private long hasty(long fitted) {
        return Math.max(1, (long) (fitted * haste));
    }

    // ---- the server list ----

    @Override
    public void fleet(long now, ListKind kind, List<FleetEntry> entries) {
        if (kind == ListKind.FAILED) {
            following = false;
            actions.timer(askPace.failedUs(), ASK_TOKEN);
            return;
        }
        if (kind == ListKind.RESTORED) {
            if (settings.discovery().onRequest()) {
                // All instances start together and discovery does not grow with them: ask one after another.
                actions.timer(askPace.firstUs(), ASK_TOKEN);
            }
        } else {
            following = true;
            askPace.answered();
        }
        boolean changed = kind != ListKind.DELTA;
        if (changed) {
            for (Server s : listed) {
                s.ready = s.draining = false;      // a full list leaves out what is gone
            }
        }
        for (FleetEntry e : entries) {
            changed |= note(now, e);
        }
        if (changed) {
            formSet(now);
            // New servers come under new ids for good: what is gone must not stay in memory.
            listed.removeIf(s -> !s.ready && s.own == 0 && !s.draining && servers.remove(s.host) != null);
        }
    }

    private boolean note(long now, FleetEntry e) {
        Server s = servers.get(e.host());
        if (s == null) {
            if (e.state() == HostState.REMOVED) {
                return false;
            }
            s = new Server(e.host());
            servers.put(e.host(), s);
            listed.add(s);
            s.orderKey = Double.NaN;
        }
        boolean ready = e.state() == HostState.READY;
        boolean changed = s.ready != ready || s.weight != e.weight() || s.startedUs != e.startedUs();
        boolean anew = ready && e.startedUs() > s.startedUs;
        s.ready = ready;
        s.draining = e.state() == HostState.DRAINING;
        if (e.zone() >= 0) {
            s.zone = e.zone();
            s.cell = e.cell();
            s.weight = e.weight();
            s.startedUs = e.startedUs();
        }
        if (anew) {
            restart(now, s);          // what was known is about a process that is gone
        }
        return changed;
    }

    private void restart(long now, Server s) {
        s.reported = Double.NaN;
        s.strikes = 0;
        s.shunUntil = 0;
        s.coldUntil = now + random.nextLong(coldPause(now, s));
        s.trial = false;
        s.doubt = DOUBT_NONE;
        zoneLoss.started(s.zone);
        clearFlag(now, s);
    }

    /** Fills the buddy set from the ready servers, when the list, a zone's loss or the set's size changes. */
    private void formSet(long now) {
        List<Server> local = new ArrayList<>();
        List<Server> foreign = new ArrayList<>();
        int home = homeZone();
        listed.stream().filter(s -> s.ready).forEach(s -> (s.zone == home ? local : foreign).add(s));
        double least = listed.stream().filter(s -> s.ready && s.weight > 0).mapToDouble(s -> s.weight).min().orElse(1);
        int ready = local.size() + foreign.size();
        for (Server s : listed) {
            s.size = Math.max(0.05, s.weight / Math.min(1, least));
            if (Double.isNaN(s.orderKey)) {
                // The paper permutes orders so that those who share a head do not share a second choice too.
                long own = s.host.hashCode() * 31L + settings.position() * 0x9E3779B97F4AL;
                s.orderKey = Scatter.draw(own);
            }
        }
        Comparator<Server> permuted = Comparator.comparingDouble((Server s) -> s.orderKey / s.size)
                .thenComparing((Server s) -> s.host);
        Server head = headOf(local.isEmpty() ? foreign : local);
        local.sort(permuted);
        foreign.sort(Comparator.comparing((Server s) -> zoneLoss.isLost(s.zone)).thenComparing(permuted));
        int reachable = (int) foreign.stream().filter(s -> !zoneLoss.isLost(s.zone)).count();
        foreign.subList(Math.min(foreign.size(), reachable + LOST_BUDDIES), foreign.size()).clear();
        int kept = setSize - Math.min(foreign.size(), FOREIGN_BUDDIES);
        List<Server> set = new ArrayList<>(setSize);
        if (head != null) {
            set.add(head);
        }
        for (List<Server> from : List.of(local, foreign)) {
            int room = from == local ? kept : setSize;
            for (Server s : from) {
                if (s != head && set.size() < room) {
                    set.add(s);
                }
            }
        }
        for (Server s : set) {
            if (!s.buddy) {           // a new buddy starts clear
                clearFlag(now, s);
                // Else each of many who met it just now would begin with a send at once.
                s.coldUntil = Math.max(s.coldUntil, now + random.nextLong(coldPause(now, s)));
            }
        }
        buddies.forEach(s -> s.buddy = false);
        set.forEach(s -> s.buddy = true);
        buddies = set;
        senders = Math.max(1, (double) settings.balancers() * set.size() / Math.max(1, ready));
    }

    /** The own zone; while that is lost, the next one with ready servers that is not. */
    private int homeZone() {
        int zones = settings.zones().size();
        return IntStream.range(0, zones).map(i -> (settings.zone() + i) % zones).filter(z -> !zoneLoss.isLost(z)
                && listed.stream().anyMatch(s -> s.ready && s.zone == z)).findFirst().orElse(settings.zone());
    }

    /** Takes the next ready server in order into the set; null where none is left or the set is wide enough. */
    private Server takeIn(long now) {
        // Each answers before the next: where this process itself is late, new connections would make it later.
        if (lastJoined != null && lastJoined.own > 0 && lastJoined.answeredAt < grownAt
                || buddies.size() < setSize || setSize >= SET_PER_HELD * held.size()) {
            return null;
        }
        // Of those heard of: what the others hold for other balancers is not known, and no reason to take in more.
        List<Server> known = buddies.stream().filter(s -> !Double.isNaN(s.reported)).toList();
        if (known.stream().mapToDouble(s -> s.own - OWN_SHARE * held(now, s)).sum() <= 0) {
            return null;
        }
        List<Server> before = buddies;
        setSize++;
        grownAt = now;
        formSet(now);
        lastJoined = buddies.stream().filter(s -> !before.contains(s)).findFirst().orElse(null);
        return lastJoined;
    }

    /** Rotation by balancer number, on a ring on which each server holds an arc as long as its weight. */
    private Server headOf(List<Server> ring) {
        List<Server> order = new ArrayList<>(ring);
        order.sort(Comparator.comparingLong((Server s) -> s.hash).thenComparing(s -> s.host));
        double arc = order.stream().mapToDouble(s -> s.size).sum();
        double point = Scatter.fraction(settings.position()) * arc;
        Server at = null;
        for (int i = 0; i < order.size() && point >= 0; i++) {
            at = order.get(i);
            point -= at.size;
        }
        return at;
    }

    // ---- requests ----

    @Override
    public void request(long now, Request r) {
        ServiceClass type = settings.classes().get(r.serviceClass());
        // A try with less time than clients grant is a later one: the time before it is gone from the aim.
        long longest = longestLeft.merge(type.name(), r.leftUs(), Math::max);
        long elapsed = r.leftUs() < longest * 0.98 ? Math.max(0, type.deadlineUs() - r.leftUs()) : 0;
        long useful = r.leftUs();
        if (type.lateWorth() <= 0) {
            long aim = type.aimUs() + (long) (type.aimStretch() * r.costHintUs());
            useful = Math.min(useful, aim - elapsed);
        }
        double worthShare = (elapsed >= type.aimUs() ? type.lateWorth() : 1) * tenants.worth(r.tenant());
        Held h = new Held(r, type, usual.get(type.name()), now + useful, worthShare, settings.limits().sendCap());
        held.put(r.id(), h);
        proceed(now, h);
    }

    /** Sends the request on if anything may take it, and answers it otherwise. */
    private void proceed(long now, Held h) {
        Server s = h.usefulUntil - now < MIN_ATTEMPT_US ? null : pick(now, h);
        if (s == null || !send(now, h, s)) {
            answer(now, h);
        }
    }

    /** The mechanism's rule, and what departs from it where it would send into a queue that is too long. */
    private Server pick(long now, Held h) {
        double limit = TH_V * setPace() * h.worthShare;
        List<Server> order = orderFor(now, h);
        for (Server s : buddies) {
            if (zoneLoss.isLost(s.zone) && usable(now, h, s)) {
                return s;             // now and then, else nobody would learn that its zone is back
            }
        }
        Server head = null;
        Server least = null;
        Server unasked = null;
        double leastFigure = 0;
        for (Server s : order) {
            if (!usable(now, h, s) || head != null && !worthDiverting(now, h, s, head)) {
                continue;
            }
            double figure = figure(now, s);
            if (figure <= limit && (head == null || (s.flag || now >= s.flagSetAt))) {
                return s;
            }
            if (head == null) {
                head = s;
            }
            if (least == null || figure < leastFigure) {
                least = s;
                leastFigure = figure;
            }
            if (s.own == 0 && now - Math.max(s.silentSince, s.reportAt) > h.type.aimUs()
                    && (unasked == null || s.silentSince < unasked.silentSince)) {
                unasked = s;
            }
        }
        if (head == null) {
            return lastResort(now, h);
        }
        Server joined = h.attempts.isEmpty() ? takeIn(now) : null;
        if (joined != null && usable(now, h, joined) && figure(now, joined) < leastFigure) {
            least = joined;
        }
        if (order != buddies) {
            List<Server> open = order.stream().filter(s -> usable(now, h, s)).toList();
            double room = ROOM * open.stream().mapToDouble(s -> figure(now, s)).average().orElse(0);
            least = open.stream().filter(s -> figure(now, s) <= room).findFirst().orElse(least);
        }
        // Past TH_v everywhere the head would take it, and heads that many share would be swamped: the least
        // figure takes it; where even that is late, nobody does: better refused early than failed late.
        // Where keys are remembered it is the first in the key's order that has room, as balancers who share what they
        // know would all find the same least figure.
        // One not asked and not heard of for so long is asked first: figures that keep all sends away from everywhere
        // would never be corrected, and the refusals never end.
        return hasRoom(now, least, h.worthShare) ? least : h.worthShare > ASKING_WORTH ? unasked : null;
    }

    /**
     * The buddies, from the one whose turn it is. Where servers work less on keys that they met lately, that is the
     * key's doing and not the balancer's, so that all balancers of a zone turn to the same server with the same key,
     * and those of another zone often; what a server has no room for is diverted as ever. Highest random weight
     * (Thaler, Ravishankar 1998): a server that comes or goes moves its own keys alone.
     */
    private List<Server> orderFor(long now, Held h) {
        if (!settings.warmKeys() || h.request.key() == null) {
            return buddies;
        }
        long key = Scatter.mix(h.request.key().hashCode());
        double busy = Math.max(LEAST_BUSY, buddies.stream().mapToDouble(s -> held(now, s)).sum()
                / buddies.stream().mapToDouble(s -> s.size).sum());
        double lean = 1 + FOREIGN_LEAN / (busy * busy);
        buddies.forEach(s -> s.keyPlace = Scatter.draw(key ^ s.hash) / s.size
                * (s.zone == settings.zone() ? 1 : lean));
        List<Server> order = new ArrayList<>(buddies);
        order.sort(Comparator.comparingDouble((Server s) -> s.keyPlace).thenComparing(s -> s.host));
        return order;
    }

    private boolean hasRoom(long now, Server s, double worthShare) {
        return held(now, s) + 1 <= room(s) * (LITTLE_WORTH + (1 - LITTLE_WORTH) * worthShare);
    }

    /** The most that a server may hold, for all. */
    private double room(Server s) {
        return QUEUE_SHARE * leastAim / setPace() * s.size;
    }

    /** Acts when every buddy is failing, on trial or cold: the first in order that the rules allow. */
    private Server lastResort(long now, Held h) {
        return buddies.stream().filter(s -> maySend(now, h, s) && !h.attempts.contains(s)
                && (cold.warmth(now, s.startedUs) >= 1 || s.own == 0)).findFirst().orElse(null);
    }

    /** Crossing zones has a price: a diversion crosses only if that saves more worth than it costs. */
    private boolean worthDiverting(long now, Held h, Server s, Server head) {
        if (s.zone == head.zone || s.zone == settings.zone()) {
            return true;
        }
        // A head that would not get the send at all saves nothing.
        double lossAtHead = hasRoom(now, head, h.worthShare) ? Math.min(1, figure(now, head) / h.type.aimUs())
                : 1;
        double saved = lossAtHead - Math.min(1, figure(now, s) / h.type.aimUs());
        return saved * h.type.importance() * h.worthShare > settings.prices().crossZone();
    }

    private boolean usable(long now, Held h, Server s) {
        if (!maySend(now, h, s) || h.attempts.contains(s) || now < s.shunUntil
                || zoneLoss.isLost(s.zone) && (!zoneLoss.mayTry(now, s.zone) || !h.attempts.isEmpty())) {
            return false;
        }
        boolean risky = someRepeatable && h.type.semantics() == Semantics.FRAGILE;
        if (s.trial && (s.own > 0 || risky)) {
            return false;             // a suspect is tried by what can be repeated, one at a time
        }
        return cold.warmth(now, s.startedUs) >= 1 || h.attempts.isEmpty() && s.own == 0 && now >= s.coldUntil;
    }

    /** Requests held, as last reported, with own sends and answers since added and taken off. */
    private double held(long now, Server s) {
        return Math.exp((s.reportAt - now) / (FADE_US * haste)) * s.others + s.own;
    }

    private void told(long now, Server s, double requests) {
        boolean first = Double.isNaN(s.reported);
        if (requests != s.reported) {
            s.refresh += first ? 0 : PACE_GAIN * (now - s.changedAt - s.refresh);
            s.changedAt = now;
        }
        s.reported = requests;
        double others = Math.max(0, requests - s.own - 1);
        double fade = Math.min(OTHERS_US * haste, OTHERS_REFRESHES * s.refresh);
        double gain = first ? 1 : 1 - Math.exp((s.reportAt - now) / fade);
        s.others += gain * (others - s.others);
        s.reportAt = now;
    }

    // The paper's cumulative execution time: what the server would hold, times the pace it shows.
    private double figure(long now, Server s) {
        double time = (held(now, s) + 1) / s.size * pace(s) / cold.warmth(now, s.startedUs);
        if (s.own > 0) {
            // No outcome for so long while own requests are out: a hanging server sends no report to say so.
            time = Math.max(time, now - s.silentSince);
        }
        return time;
    }

    // Time per request held and unit of size (Little's law), leaning on the whole set where little was sent.
    private double pace(Server s) {
        return (s.took + PACE_PRIOR * setTook) / (s.heldSeen + PACE_PRIOR * setHeld);
    }

    /** The same over the whole set. */
    private double setPace() {
        return setTook / setHeld;
    }

    private void notePace(Server s, double heldPerSize, double took) {
        s.heldSeen += PACE_GAIN * (heldPerSize - s.heldSeen);
        s.took += PACE_GAIN * (took - s.took);
        double gain = Math.max(PACE_GAIN / 2, 1.0 / ++answers);
        setHeld += gain * (heldPerSize - setHeld);
        setTook += gain * (took - setTook);
    }

    /** Between two sends of this balancer to a server that is cold, us; 1 where it is warm. */
    private long coldPause(long now, Server s) {
        double warmth = cold.warmth(now, s.startedUs);
        return warmth >= 1 ? 1 : 1 + cold.pauseUs(pace(s) / s.size, senders, warmth);
    }

    private void clearFlag(long now, Server s) {
        s.flag = false;
        long timer = hasty(FLAG_TIMER_US);
        s.flagSetAt = now + timer / 2 + random.nextLong(timer);
    }

    // ---- the rules: the one place that sends, the one that answers ----

    /** Rules 2 and 3, and the site's limits on attempts. */
    private boolean maySend(long now, Held h, Server s) {
        if (!s.ready || h.attempts.size() >= h.sendCap
                || h.out > 0 && !settings.limits().secondCopies()) {
            return false;
        }
        Server ran = h.firstMayHaveRun;
        if (ran == null) {
            return true;
        }
        return switch (h.type.semantics()) {
            case RETRYABLE -> true;
            case FRAGILE -> false;
            case DEDUP -> now - h.firstMayHaveRunAt < h.type.windowUs() && switch (h.type.group()) {
                case ALL -> true;
                case ZONE -> s.zone == ran.zone;
                case CELL -> s.zone == ran.zone && s.cell == ran.cell;
            };
        };
    }

    private boolean send(long now, Held h, Server s) {
        if (!maySend(now, h, s) || h.out > 0 && h.type.semantics() == Semantics.FRAGILE) {
            return false;
        }
        h.attempts.add(s);
        h.out++;
        h.sentAt = now;
        if (h.firstMayHaveRun == null) {
            h.firstMayHaveRun = s;    // out counts as may have run, until its outcome proves that it did not
            h.firstMayHaveRunAt = now;
        }
        s.silentSince = s.own++ == 0 ? now : s.silentSince;
        zoneLoss.sent(now, s.zone);
        s.coldUntil = now + coldPause(now, s);
        actions.send(h.request.id(), s.host, Math.max(MIN_ATTEMPT_US, h.usefulUntil - now));
        watchOn(!watching && settings.limits().mayCancel());
        return true;
    }

    /** The one final answer. Refused where the client may safely try again, failed otherwise. */
    private void answer(long now, Held h) {
        held.remove(h.request.id());
        boolean refusable = h.firstMayHaveRun == null || h.type.semantics() == Semantics.RETRYABLE
                || h.type.semantics() == Semantics.DEDUP && h.type.group() == Group.ALL;
        if (refusable) {
            // Short of the aim: a client that came back after its deadline would not be served at all.
            actions.refuse(h.request.id(), Math.min(settings.limits().maxRetryAfterUs(), h.type.aimUs() / 2));
        } else {
            actions.fail(h.request.id());
        }
    }

    // ---- what comes back ----

    @Override
    public void streamStarted(long now, long id, int attempt) {
        held.remove(id);              // the attempt is the client's now; nothing more is owed
    }

    @Override
    public void outcome(long now, long id, int attempt, String host, Outcome outcome, long tookUs,
                        boolean closed, LoadReport report) {
        Server s = servers.get(host);
        Held h = held.get(id);
        if (s != null) {
            s.own = Math.max(0, s.own - (h != null && h.uploading ? 0 : 1));
            // No answer at all since the leg began: the machine is gone, which tells nothing of queues.
            boolean silent = outcome == Outcome.TIMEOUT && s.answeredAt <= now - tookUs
                    && (s.own > 0 || s.trial);
            if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REFUSED) {
                s.answeredAt = now;
            }
            s.silentSince = now;
            boolean nobody = silent || outcome == Outcome.CONNECT_FAILED && tookUs < LATE_SHARE * leastAim;
            boolean met = outcome != Outcome.CONNECT_FAILED && outcome != Outcome.TIMEOUT;
            if ((nobody || met) && zoneLoss.ended(s.zone, nobody)) {
                // What is back has started anew, long before the list says so.
                listed.stream().filter(o -> o.zone == s.zone && !zoneLoss.isLost(s.zone))
                        .forEach(o -> o.startedUs = now);
                log(now, "zone " + (zoneLoss.isLost(s.zone) ? "lost: " : "back: ") + settings.zones().get(s.zone));
                formSet(now);
            }
            judge(now, s, outcome, silent);
            noteReport(now, s, report);
            if (outcome == Outcome.OK && h != null) {
                h.usual.took += CLASS_GAIN * (tookUs - h.usual.took);
            }
            if (outcome == Outcome.OK && report != null && s.reportAt == now) {
                notePace(s, Math.max(1, s.reported / s.size), tookUs);
            }
        }
        if (h == null) {
            return;
        }
        h.out--;
        if (closed) {
            held.remove(id);
            return;
        }
        if (outcome.neverRan && h.firstMayHaveRun == s && h.out == 0 && h.firstMayHaveRunAt == h.sentAt) {
            h.firstMayHaveRun = null;
        }
        if (h.out > 0) {
            return;
        }
        proceed(now, h);
    }

    /** Failure diversion: what an outcome says about the server's health and its flag. */
    private void judge(long now, Server s, Outcome outcome, boolean silent) {
        switch (outcome) {
            case OK -> {
                s.doubt = Math.max(DOUBT_NONE, s.doubt - DOUBT_TAKE);
                if (s.trial && s.doubt < -2 * DOUBT_TAKE) {
                    s.trial = false;
                    s.strikes = 0;
                    log(now, "sound again: " + s.host);
                }
            }
            case REFUSED -> {
                clearFlag(now, s);
                s.others = Math.max(s.others, room(s));       // until it says otherwise, or that has faded
                s.reportAt = now;
            }
            case TIMEOUT -> {
                clearFlag(now, s);
                if (silent) {
                    sparedAsSilent(now, s);
                }
            }
            case ERROR, RESET, CONNECT_FAILED -> {
                s.doubt += DOUBT_ADD;
                if (s.doubt >= 0) {
                    clearFlag(now, s);
                    shun(now, s, outcome.name());
                }
            }
            default -> { }
        }
    }

    /** A server that fails fast has a short queue and would look idle: its answers count, not its figure. */
    private void shun(long now, Server s, String why) {
        if (!s.trial && 2 * buddies.stream().filter(o -> o.trial).count() >= buddies.size() - 1) {
            return;               // where half are suspects, the trouble is not with single servers
        }
        if (!s.trial) {
            log(now, "passed over for " + why + ": " + s.host);
        }
        s.shunUntil = now + hasty(Math.min(SHUN_MAX_US, SHUN_FIRST_US << Math.min(s.strikes, 10)));
        s.strikes++;
        s.trial = true;
        s.doubt = 0;
    }

    private void sparedAsSilent(long now, Server s) {
        double doubt = s.trial ? s.doubt : -1.5 * DOUBT_TAKE;    // that much is gone with one answer
        shun(now, s, "silence");
        s.shunUntil = s.trial ? now + hasty(SILENT_US) : s.shunUntil;
        s.strikes = Math.max(0, s.strikes - 1);
        s.doubt = doubt;
    }

    /** Gives up the legs at servers that have fallen silent, where others may still serve the requests. */
    private void watchLegs(long now) {
        listed.forEach(s -> s.awaited = 0);
        for (Held h : held.values()) {
            if (h.out > 0 && !h.uploading) {
                Server s = h.attempts.get(h.attempts.size() - 1);
                s.awaited += (now - Math.max(h.sentAt, s.silentSince)) / h.usual.took;
            }
        }
        for (Server s : listed) {
            if (now < s.shunUntil || s.awaited < SILENT_TIMES) {
                continue;
            }
            sparedAsSilent(now, s);
            for (Held h : held.values()) {
                if (h.out == 1 && !h.uploading && h.cut < h.attempts.size()
                        && h.attempts.get(h.attempts.size() - 1) == s
                        && buddies.stream().anyMatch(o -> !o.trial && usable(now, h, o))) {
                    h.cut = h.attempts.size();
                    actions.cancel(h.request.id(), h.cut - 1);
                }
            }
        }
        if (setSize > SET_SIZE && now - grownAt > SHRINK_US * haste) {
            setSize--;
            grownAt = now;
            formSet(now);
        }
        watching = !held.isEmpty();
        watchOn(watching);
    }

    private void watchOn(boolean wanted) {
        if (wanted) {
            watching = true;
            actions.timer(Math.max(1, (long) (WATCH_SHARE * leastAim)), WATCH_TOKEN);
        }
    }

    private void noteReport(long now, Server s, LoadReport report) {
        if (report == null) {
            return;
        }
        double requests = !Double.isNaN(report.inFlight()) ? report.inFlight() : report.queue();
        if (!(requests >= 0 && requests <= MAX_HELD)) {
            return;                   // also NaN: one broken report must not upset the running means for good
        }
        told(now, s, requests);
        double figure = requests / s.size * pace(s) / setPace();
        if (figure > TH_F) {
            clearFlag(now, s);
        } else if (figure <= TH_U && !s.trial) {
            s.flag = true;
        }
    }

    @Override
    public int passedOver() {
        return (int) listed.stream().filter(s -> s.draining || s.ready && (s.trial || zoneLoss.isLost(s.zone))).count();
    }

    @Override
    public void body(long now, long id, BodyStage stage) {
        Held h = held.get(id);
        if (h == null || h.attempts.isEmpty()) {
            return;
        }
        Server s = h.attempts.get(h.attempts.size() - 1);
        if (stage == BodyStage.PASSED_ON) {
            h.sendCap = h.attempts.size();
        } else if (stage == BodyStage.COMING) {
            h.uploading = true;
            s.own--;
        } else if (h.uploading) {
            h.uploading = false;
            h.usefulUntil = now + h.request.leftUs();
            s.silentSince = s.own++ == 0 ? now : s.silentSince;
        }
    }

    @Override
    public void gone(long now, long id) {
        body(now, id, BodyStage.WHOLE);      // the end of its attempt, still to come, counts as any other
        held.remove(id);
    }

    @Override
    public void timer(long now, long token) {
        if (token == WATCH_TOKEN) {
            watchLegs(now);
        } else if (token == ASK_TOKEN && !following) {
            actions.watchFleet(true);
        }
    }

    @Override
    public void probed(long now, String host, Outcome outcome, long tookUs, LoadReport report) {
        listed.stream().filter(s -> s.host.equals(host)).forEach(s -> noteReport(now, s, report));
    }

    private void log(long now, String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + LOG_GAP_US;
            actions.log(line);
        }
    }
}
