// Interface: BalancerApi.java (the events that come in, the actions that go out, the values of both).
package dapplequay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Every decision of one balancer: buddy-set load sharing after Shin and Chang. A small buddy set in a fixed
 * order; the head takes a send unless that takes it past TH_v; then the first buddy in order whose share flag
 * is set; else the head. One instance serves one client process, shares nothing, and is not thread-safe.
 * Rules are kept in two places: only {@link #send} sends, and only {@link #answer} answers.
 */
public final class Balance implements BalancerApi {
    // ---- settings; a load figure is the time, us, that a request sent now is thought to take ----
    // The aim, us, that the times below were fitted to: where the shortest aim is shorter, work, reports and
    // troubles pass faster too, and these times, unshrunk, would pass servers over for far too long.
    private static final double FITTED_AIM_US = 600_000;
    /** Buddies; the paper finds 10 to 15 enough at any fleet size, and each buddy may cost a connection. */
    private static final int SET_SIZE = 12;
    /** Buddies of other zones at least, where there are other zones, so that an overloaded zone can spill. */
    private static final int FOREIGN_BUDDIES = 6;
    /** Thresholds as shares of the aim: past TH_v in this sense, long-tailed work begins to miss it. */
    private static final double AIM_TH_U = 0.1;
    private static final double AIM_TH_F = 0.14;
    private static final double AIM_TH_V = 0.18;
    // A send is refused whose figure is past a share of its aim: this over the share of recent answers that
    // came too late, within the bounds below. Figures are old and servers turn away what they cannot hold, so
    // while next to nothing is late the figure alone is no reason to refuse; where much is, queues are too
    // long everywhere.
    private static final double ADMIT_LOSS = 0.12;
    private static final double ADMIT_MIN = 0.7;
    private static final double ADMIT_MAX = 3;
    /** Weight of the newest answer in the share that came too late: about the last half dozen. */
    private static final double LATE_GAIN = 0.15;
    /** What an answer past its aim counts in it: the queue was too long, or only the request heavy. */
    private static final double LATE_ANSWER = 0.5;
    // Balancers spread their thresholds between these multiples, by number: with one threshold for all, those
    // that share a server see the same late figure and turn away, and back, together.
    private static final double SPREAD_LOW = 0.7;
    private static final double SPREAD_HIGH = 1.3;
    /** What a report tells fades with this time constant, us, towards what its zone's buddies mostly held, */
    private static final double FADE_US = 8_000_000;
    /** which fades towards nothing with this one, us: a queue nobody feeds is worked off. */
    private static final double ZONE_FADE_US = 3_000_000;
    // Time constant, us, of the mean of what a server is told to hold for others: each report is old and far
    // from the mean. By time and not by count, as a server that is sent little would keep a bad name.
    private static final double OTHERS_US = 3_000_000;
    /** A request of a greater share of its worth may ask a server anew that nothing would be sent to. */
    private static final double ASKING_WORTH = 0.5;
    /** A cleared flag is set again after this, us: one diverted send then tells how the server is. */
    private static final long FLAG_TIMER_US = 2_000_000;
    /** The same for a buddy new to the set: soon, as its first figures come only with a send. */
    private static final long NEW_FLAG_US = 300_000;
    // A refusal or time-out brings no report, so it stands for one: a figure of this share of the aim, for so
    // long, us, doubled for each further one (an answer takes one back) up to so many times; the flag timer
    // likewise.
    private static final double HOLD_SHARE = 1.2;
    private static final long HOLD_US = 300_000;
    /** The same after a time-out, which costs far more to repeat than a refusal. */
    private static final long TIMEOUT_HOLD_US = 1_000_000;
    private static final int LOST = 3;
    private static final int HOLD_DOUBLINGS = 3;
    // A failing server is passed over for so long, us, doubled at each further failure up to the second.
    private static final long SHUN_FIRST_US = 1_000_000;
    private static final long SHUN_MAX_US = 8_000_000;
    // Whether a server fails more than the others is weighed as odds, in logarithms: where it stands when
    // nothing speaks against it, what a failure adds at most and what an answer takes away. A failing one
    // fails a third of its requests or more; where all fail now and then, one failure is no reason.
    private static final double DOUBT_NONE = -3.5;
    private static final double DOUBT_ADD = 3;
    private static final double DOUBT_TAKE = 0.9;
    private static final double FAILING_SHARE = 0.6;
    /** Weight of the newest outcome in the share that fails at sound servers, and the least it counts. */
    private static final double COMMON_GAIN = 0.01;
    private static final double COMMON_MIN = 0.002;
    // A trial's leg is out for this share of the aim, where another server may take the request after it: one
    // at a server that has vanished is then still served in time.
    private static final double TRIAL_SHARE = 0.5;
    // A server is silent once legs are out and none has been answered for this share of the aim (twice that
    // with one leg) and so many times as long as its answers are usually apart; it is tried again after this,
    // us. Such a machine may be back at any moment, and gone again: what is out there is lost.
    private static final double SILENT_SHARE = 0.5;
    private static final double SILENT_GAPS = 5;
    private static final long SILENT_US = 300_000;
    /** How often that is looked at, as a share of the aim. */
    private static final double WATCH_SHARE = 0.1;
    private static final long WATCH_TOKEN = 2;
    /** A trial ends by itself after this, us: where nothing repeatable comes by, it would never end. */
    private static final long TRIAL_US = 10_000_000;
    /** From this share of the aim on, a figure loses more than an exponential answer time would. */
    private static final double SURE_SHARE = 0.5;
    /** Weight of the newest request in the running means of worth and aim: about the last thirty. */
    private static final double MIX_GAIN = 0.03;
    /** Weight of the newest request in the mix of tenants: about the last sixteen. */
    private static final double TENANT_GAIN = 0.06;
    /** A tenant so many times further into its share than the rest sends beyond it: theirs is rarely full. */
    private static final double OVER_SHARE = 1.4;
    /** Weight of the newest answer in a server's pace, and the set's pace as that many answers beside it. */
    private static final double PACE_GAIN = 0.15;
    private static final double PACE_PRIOR = 0.5;
    // A server's own pace fades with this, us, where no answer renews it: one slow answer, as at a cold start
    // of this very process, would else keep sends away, and with them the answers that could mend it.
    private static final double PACE_FADE_US = 8_000_000;
    /** Share of the cold budget that is used: the rest is for chance, handshakes and ill-spread heads. */
    private static final double COLD_MARGIN = 0.4;
    /** Bounds on what a cost hint may make of a request, in requests of the mean: hints can be rough. */
    private static final double MIN_LOAD = 0.3;
    private static final double MAX_LOAD = 4;
    /** A report of more requests held than this is broken. */
    private static final double MAX_HELD = 10_000;
    /** A shorter time than this, us, is not worth an attempt: a network turn and the shortest work. */
    private static final long MIN_ATTEMPT_US = 2_000;
    /** Share of ask_within over which the balancers spread their first question: leaves room for failures. */
    private static final double ASK_SPREAD = 0.5;
    /** First pause after a failed question to discovery, us; doubles up to the spread. */
    private static final long ASK_BACKOFF_US = 1_000_000;
    /** At least this long between two log lines, us. */
    private static final long LOG_GAP_US = 1_000_000;
    private static final double GOLDEN = 0.6180339887498949;
    private static final long ASK_TOKEN = 1;

    /** What is known of one server. */
    private static final class Server {
        final String host;
        int zone;
        int cell;
        boolean ready;
        boolean draining;
        double weight;
        long startedUs;
        double size = 1;          // registered weight over the fleet's mean
        double orderKey;          // place in this balancer's permutation
        boolean buddy;
        int own;                  // own attempts out
        long answeredAt;          // the last answer of any kind
        double gap;               // usual time between answers while legs are out, us, running mean
        long silentSince;         // while any is out: the last outcome, or the send that ended its idleness
        double reported = Double.NaN;
        double others;            // held for others, as told, running mean
        long reportAt;
        double heldSeen;          // requests held a unit of size as told with answers, running mean
        double took;              // what those answers took, us, running mean
        long pacedAt;             // the last of them
        boolean flag;
        long flagSetAt;           // the timer: from then on the flag counts as set
        long holdUntil;
        int strikes;
        long shunUntil;
        boolean trial;            // failed, and not yet proved sound again
        double doubt = DOUBT_NONE;
        int badRun;               // refusals and time-outs, less the answers since
        double coldCredit;

        Server(String host) {
            this.host = host;
        }
    }

    /** A request taken and not yet answered. */
    private static final class Held {
        final Request request;
        final ServiceClass type;
        final long usefulUntil;   // an answer after this is worth nothing
        final double load;        // its work, in requests of the mean: 1 without a cost hint
        final double worthShare;  // of its class's worth: less than 1 for a try that can only be late
        final List<Server> attempts = new ArrayList<>(2);
        int out;
        Server firstMayHaveRun;
        long firstMayHaveRunAt;
        long sentAt;
        int cut;                  // attempts of which the last was given up as its server is silent

        Held(Request request, ServiceClass type, long usefulUntil, double load, double worthShare) {
            this.request = request;
            this.type = type;
            this.usefulUntil = usefulUntil;
            this.load = load;
            this.worthShare = worthShare;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new HashMap<>();   // looked up only, never walked
    final List<Server> listed = new ArrayList<>();                 // the same servers, in the order met
    private List<Server> buddies = List.of();
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final long[] longestLeft;                              // per class: the try that clients grant
    private final boolean someRepeatable;
    private final double haste;                                    // what the fitted times are multiplied by
    private final double spread;                                   // own multiple of the thresholds
    private final double[] lateShare;                              // of recent answers, by zone
    private final double[] fullShare;                              // of recent attempts turned away, by zone
    private final double[] zoneHeld;                               // usually held a unit of size, by zone
    private final long[] zoneAt;
    private final long[] triedAt;
    private final double[] zoneScratch = new double[SET_SIZE];
    private final double[] tenantMix;                              // share of each in recent requests
    private double meanHint;
    private double meanAim;
    private double meanWorth;
    private double setHeld = 1;                                    // of all answered sends, as per server
    private double setTook;
    private int answers = 1;                                       // the guess at the start counts as one
    private double commonFailures;
    private boolean watching;
    private boolean following;
    private int askFailures;
    private long nextLogAt;

    /** Throws IllegalArgumentException, naming the setting, where one makes no sense. */
    public Balance(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        check(settings.balancers() >= 1, "balancers");
        check(settings.position() >= 0, "position");
        check(settings.zone() >= 0 && settings.zone() < settings.zones().size(), "zone");
        check(!settings.classes().isEmpty(), "classes");
        check(settings.limits().sendCap() >= 1, "sendCap");
        check(settings.coldStart().from() >= 0 && settings.coldStart().warmUpUs() >= 0, "coldStart");
        boolean repeatable = false;
        long shortest = Long.MAX_VALUE;
        for (ServiceClass c : settings.classes()) {
            check(c.aimUs() > 0, "aimUs of " + c.name());
            check(c.deadlineUs() > 0, "deadlineUs of " + c.name());
            repeatable |= c.semantics() != Semantics.FRAGILE;
            shortest = Math.min(shortest, c.aimUs());
        }
        someRepeatable = repeatable;
        haste = Math.min(1, shortest / FITTED_AIM_US);
        // A guess, until answers tell: with none all figures are 0, and the head gets all of the first burst.
        setTook = AIM_TH_U * shortest;
        spread = SPREAD_LOW + (SPREAD_HIGH - SPREAD_LOW) * unit(mix(settings.position() + 1L));
        lateShare = new double[settings.zones().size()];
        fullShare = new double[settings.zones().size()];
        zoneHeld = new double[settings.zones().size()];
        triedAt = new long[settings.zones().size()];
        zoneAt = new long[settings.zones().size()];
        tenantMix = settings.tenants().stream().mapToDouble(Tenant::share).toArray();
        longestLeft = new long[settings.classes().size()];
    }

    private long hasty(long fitted) {
        return Math.max(1, (long) (fitted * haste));
    }

    private static void check(boolean good, String setting) {
        if (!good) {
            throw new IllegalArgumentException("illegal setting: " + setting);
        }
    }

    // ---- the server list ----

    @Override
    public void fleet(long now, ListKind kind, List<FleetEntry> entries) {
        if (kind == ListKind.FAILED) {
            following = false;
            long spread = askSpread();
            long pause = Math.min(ASK_BACKOFF_US << Math.min(askFailures++, 10), Math.max(1, spread));
            actions.timer(pause / 2 + random.nextLong(pause / 2 + 1), ASK_TOKEN);
            return;
        }
        if (kind == ListKind.RESTORED) {
            if (settings.discovery().onRequest()) {
                // All instances start together and discovery does not grow with them: ask one after another.
                actions.timer(1 + (long) (askSpread() * fraction(settings.position())), ASK_TOKEN);
            }
        } else {
            following = true;
            askFailures = 0;
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

    private long askSpread() {
        return (long) (settings.discovery().askWithinUs() * ASK_SPREAD);
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
        if (ready && e.startedUs() > s.startedUs) {
            restart(now, s);          // what was known is about a process that is gone
        }
        s.ready = ready;
        s.draining = e.state() == HostState.DRAINING;
        if (e.zone() >= 0) {
            s.zone = e.zone();
            s.cell = e.cell();
            s.weight = e.weight();
            s.startedUs = e.startedUs();
        }
        return changed;
    }

    private void restart(long now, Server s) {
        s.reported = Double.NaN;
        s.strikes = 0;
        s.shunUntil = 0;
        s.trial = false;
        s.doubt = DOUBT_NONE;
        s.badRun = 0;
        s.holdUntil = 0;
        s.coldCredit = 0;
        clearFlag(now, s);
    }

    /** Fills the buddy set from the ready servers. Runs when the list changes, never for a request. */
    private void formSet(long now) {
        double total = 0;
        List<Server> local = new ArrayList<>();
        List<Server> foreign = new ArrayList<>();
        for (Server s : listed) {
            if (s.ready) {
                total += Math.max(0, s.weight);
                (s.zone == settings.zone() ? local : foreign).add(s);
            }
        }
        int ready = local.size() + foreign.size();
        for (Server s : listed) {
            s.size = total > 0 ? Math.max(0.05, s.weight * ready / total) : 1;
            if (Double.isNaN(s.orderKey)) {
                // The paper permutes orders so that those who share a head do not share a second choice too.
                long own = s.host.hashCode() * 31L + settings.position() * 0x9E3779B97F4AL;
                s.orderKey = -Math.log(unit(mix(own)));
            }
        }
        Comparator<Server> permuted = Comparator.comparingDouble((Server s) -> s.orderKey / s.size)
                .thenComparing((Server s) -> s.host);
        Server head = headOf(local.isEmpty() ? foreign : local);
        local.sort(permuted);
        foreign.sort(permuted);
        int kept = Math.max(SET_SIZE - foreign.size(), SET_SIZE - FOREIGN_BUDDIES);
        List<Server> set = new ArrayList<>(SET_SIZE);
        if (head != null) {
            set.add(head);
        }
        for (List<Server> from : List.of(local, foreign)) {
            int room = from == local ? kept : SET_SIZE;
            for (Server s : from) {
                if (s != head && set.size() < room) {
                    set.add(s);
                }
            }
        }
        for (Server s : set) {
            if (!s.buddy) {
                s.flag = false;       // a new buddy starts clear
                s.flagSetAt = now + hasty(NEW_FLAG_US) / 2 + random.nextLong(hasty(NEW_FLAG_US));
            }
        }
        buddies.forEach(s -> s.buddy = false);
        set.forEach(s -> s.buddy = true);
        buddies = set;
    }

    /** Rotation by balancer number, on a ring on which each server holds an arc as long as its weight. */
    private Server headOf(List<Server> ring) {
        List<Server> order = new ArrayList<>(ring);
        order.sort(Comparator.comparingLong((Server s) -> mix(s.host.hashCode())).thenComparing(s -> s.host));
        double arc = order.stream().mapToDouble(s -> s.size).sum();
        double point = fraction(settings.position()) * arc;
        for (Server s : order) {
            point -= s.size;
            if (point < 0) {
                return s;
            }
        }
        return order.isEmpty() ? null : order.get(order.size() - 1);
    }

    /** Golden-ratio steps spread any run of balancer numbers evenly, and each zone's share of them too. */
    private static double fraction(int position) {
        double f = position * GOLDEN;
        return f - Math.floor(f);
    }

    private static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
        x = (x ^ (x >>> 27)) * 0x94D049BB133111EBL;
        return x ^ (x >>> 31);
    }

    private static double unit(long bits) {
        return ((bits >>> 11) + 0.5) / (1L << 53);
    }

    // ---- requests ----

    @Override
    public void request(long now, Request r) {
        ServiceClass type = settings.classes().get(r.serviceClass());
        // A try with less time than clients grant is a later one: the time before it is gone from the aim.
        long elapsed = r.leftUs() < longestLeft[r.serviceClass()] * 0.98 ? type.deadlineUs() - r.leftUs() : 0;
        longestLeft[r.serviceClass()] = Math.max(longestLeft[r.serviceClass()], r.leftUs());
        long useful = r.leftUs();
        if (type.lateWorth() <= 0) {
            long aim = type.aimUs() + (long) (type.aimStretch() * r.costHintUs());
            useful = Math.min(useful, aim - elapsed);
        }
        meanAim += (meanAim == 0 ? 1 : MIX_GAIN) * (type.aimUs() - meanAim);
        meanWorth += (meanWorth == 0 ? 1 : MIX_GAIN) * (type.importance() - meanWorth);
        double worthShare = (elapsed >= type.aimUs() ? type.lateWorth() : 1) * tenantWorth(r.tenant());
        double load = 1;
        if (r.costHintUs() > 0) {
            meanHint += (meanHint == 0 ? 1 : MIX_GAIN) * (r.costHintUs() - meanHint);
            load = Math.max(MIN_LOAD, Math.min(MAX_LOAD, r.costHintUs() / meanHint));
        }
        Held h = new Held(r, type, now + useful, load, worthShare);
        held.put(r.id(), h);
        proceed(now, h);
    }

    // What a request of this tenant is worth on average, as part of its class's worth. Usage across all
    // balancers is unknown, but a burst shows in the mix at each: the tenant is deeper into its share.
    private double tenantWorth(int tenant) {
        if (tenant < 0 || tenantMix.length < 2) {
            return 1;
        }
        for (int t = 0; t < tenantMix.length; t++) {
            tenantMix[t] += TENANT_GAIN * ((t == tenant ? 1 : 0) - tenantMix[t]);
        }
        double share = settings.tenants().get(tenant).share();
        double rest = Math.max(0.01, 1 - tenantMix[tenant]) / Math.max(0.01, 1 - share);
        double into = tenantMix[tenant] / Math.max(0.01, share) / rest;
        double within = Math.min(1, OVER_SHARE / into);
        return within + (1 - within) * settings.overShareWorth();
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
        double limit = spread * AIM_TH_V * h.type.aimUs() * h.worthShare;
        Server head = null;
        Server least = null;
        Server unasked = null;
        double leastFigure = 0;
        for (int i = 0; i < buddies.size(); i++) {
            Server s = buddies.get(i);
            if (!usable(now, h, s, i == 0) || head != null && !worthDiverting(now, h, s, head)) {
                continue;
            }
            double figure = figure(now, s, h.load);
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
            if (s.own == 0 && now - Math.max(s.silentSince, s.reportAt) > h.type.aimUs() && now >= s.holdUntil
                    && (unasked == null || s.silentSince < unasked.silentSince)) {
                unasked = s;
            }
        }
        if (head == null) {
            return lastResort(now, h);
        }
        // Past TH_v everywhere the head would take it, and heads that many share would be swamped: the least
        // figure takes it; where even that is late, nobody does: better refused early than failed late.
        // One that nothing was sent to for an aim, and nothing heard of, is asked first: figures that keep
        // all sends away from everywhere would never be corrected, and the refusals never end.
        return inTime(now, h, least) ? least : h.worthShare > ASKING_WORTH ? unasked : null;
    }

    private boolean inTime(long now, Held h, Server s) {
        int z = s.zone;
        double late = lateShare[z] * fresh(now, triedAt[z]);
        double share = Math.max(ADMIT_MIN, Math.min(ADMIT_MAX, ADMIT_LOSS / Math.max(0.01, late)));
        // A try that can only be late is often the heavy request that timed out before: it needs an idle one.
        return figure(now, s, h.load) <= share * h.worthShare * h.type.aimUs();
    }

    /** Acts when every buddy is failing, on trial or cold: the first in order that the rules allow. */
    private Server lastResort(long now, Held h) {
        return buddies.stream().filter(s -> maySend(now, h, s) && !h.attempts.contains(s)
                && (coldShare(now, s) >= 1 || s.own == 0)).findFirst().orElse(null);
    }

    /** Crossing zones has a price: a diversion crosses only if that saves more worth than it costs. */
    private boolean worthDiverting(long now, Held h, Server s, Server head) {
        if (s.zone == head.zone || s.zone == settings.zone()) {
            return true;
        }
        // A head that would not get the send at all saves nothing.
        double lossAtHead = inTime(now, h, head) ? lossGuess(figure(now, head, h.load) / h.type.aimUs()) : 1;
        double saved = lossAtHead - lossGuess(figure(now, s, h.load) / h.type.aimUs());
        // Each attempt that crosses is paid for; where most are turned away, it takes several to be served.
        saved *= 1 - fullShare[s.zone] * fresh(now, triedAt[s.zone]);
        return saved * h.type.importance() * h.worthShare > settings.prices().crossZone() * meanWorth;
    }

    /** Chance that a send with this figure misses its aim: exponential answer times, and queues that grow. */
    private static double lossGuess(double shareOfAim) {
        return Math.min(1, Math.max(Math.exp(-1 / shareOfAim), shareOfAim - SURE_SHARE));
    }

    private boolean usable(long now, Held h, Server s, boolean first) {
        if (!maySend(now, h, s) || h.attempts.contains(s) || now < s.shunUntil) {
            return false;
        }
        boolean risky = someRepeatable && h.type.semantics() == Semantics.FRAGILE;
        if (s.trial && now < s.shunUntil + hasty(TRIAL_US) && (s.own > 0 || risky)) {
            return false;             // a suspect is tried by what can be repeated, one at a time
        }
        double share = coldShare(now, s);
        if (share >= 1) {
            return true;
        }
        // A cold server gets no diversions and no further attempts, and of its own heads' sends a rising
        // share.
        if (!first || !h.attempts.isEmpty()) {
            return false;
        }
        s.coldCredit = Math.min(1 + share, s.coldCredit + share);
        if (s.coldCredit < 1 || s.own > 0) {
            return false;
        }
        s.coldCredit -= 1;
        return true;
    }

    // The share of its heads' ordinary sends that a server may get: all balancers use the same, from its age.
    private double coldShare(long now, Server s) {
        ColdStart cold = settings.coldStart();
        if (s.startedUs <= 0 || now - s.startedUs >= cold.warmUpUs()) {
            return 1;
        }
        double warmth = cold.from() + (1 - cold.from()) * Math.max(0, now - s.startedUs) / cold.warmUpUs();
        return Math.min(1, COLD_MARGIN * cold.tipMultiple() * warmth);
    }

    /** Requests held, as last reported, with own sends and answers since added and taken off. */
    private double held(long now, Server s) {
        int z = s.zone;
        double usual = zoneHeld[z] * s.size * fresh(now, zoneAt[z]);
        if (Double.isNaN(s.reported)) {
            return Math.max(usual, s.own);
        }
        double fresh = Math.exp((s.reportAt - now) / (FADE_US * haste));
        return fresh * s.others + (1 - fresh) * Math.max(0, usual - s.own) + s.own;
    }

    /** The lower median of what a zone's buddies told of late: one loaded head must not condemn its zone. */
    private void noteZone(long now, int zone) {
        int known = 0;
        for (Server s : buddies) {
            if (s.zone == zone && !Double.isNaN(s.reported) && now - s.reportAt < ZONE_FADE_US * haste) {
                zoneScratch[known++] = s.reported / s.size;
            }
        }
        Arrays.sort(zoneScratch, 0, known);
        zoneHeld[zone] = known < 2 ? 0 : zoneScratch[(known - 1) / 2];
        zoneAt[zone] = now;
    }

    /** How much of what was learnt of a zone at that time still counts. */
    private double fresh(long now, long learntAt) {
        return Math.exp((learntAt - now) / (ZONE_FADE_US * haste));
    }

    private void told(long now, Server s, double requests) {
        boolean first = Double.isNaN(s.reported);
        s.reported = requests;
        double others = Math.max(0, requests - s.own - 1);
        double gain = first ? 1 : 1 - Math.exp((s.reportAt - now) / (OTHERS_US * haste));
        s.others += gain * (others - s.others);
        s.reportAt = now;
        noteZone(now, s.zone);
    }

    // The paper's cumulative execution time: what the server holds, with {@code more}, times the pace it
    // shows.
    private double figure(long now, Server s, double more) {
        double time = (held(now, s) + more) / s.size * pace(now, s);
        if (s.own > 0) {
            // No outcome for so long while own requests are out: a hanging server sends no report to say so.
            time = Math.max(time, now - s.silentSince);
        }
        return now < s.holdUntil ? Math.max(time, HOLD_SHARE * meanAim) : time;
    }

    // Time per request held and unit of size (Little's law), leaning on the whole set where little was sent.
    private double pace(long now, Server s) {
        double own = Math.exp((s.pacedAt - now) / (PACE_FADE_US * haste));
        return (own * s.took + PACE_PRIOR * setTook) / (own * s.heldSeen + PACE_PRIOR * setHeld);
    }

    // Only from answers that tell what was held: a time-out with an unknown queue would make any server slow.
    private void notePace(long now, Server s, double heldPerSize, double took) {
        s.pacedAt = now;
        s.heldSeen += PACE_GAIN * (heldPerSize - s.heldSeen);
        s.took += PACE_GAIN * (took - s.took);
        double gain = Math.max(PACE_GAIN / 2, 1.0 / ++answers);
        setHeld += gain * (heldPerSize - setHeld);
        setTook += gain * (took - setTook);
    }

    private void clearFlag(long now, Server s) {
        s.flag = false;
        long timer = hasty(FLAG_TIMER_US << Math.min(s.badRun, HOLD_DOUBLINGS));
        s.flagSetAt = now + timer / 2 + random.nextLong(timer);
    }

    // ---- the rules: the one place that sends, the one that answers ----

    /** Rules 2 and 3, and the site's limits on attempts. */
    private boolean maySend(long now, Held h, Server s) {
        if (!s.ready || h.attempts.size() >= settings.limits().sendCap()
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
        long timeout = h.usefulUntil - now;
        if (s.trial && buddies.stream().anyMatch(o -> o != s && !o.trial && maySend(now, h, o))) {
            timeout = Math.min(timeout, (long) (TRIAL_SHARE * h.type.aimUs()));
        }
        actions.send(h.request.id(), s.host, Math.max(MIN_ATTEMPT_US, timeout));
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
        if (s != null) {
            s.own = Math.max(0, s.own - 1);
            // No answer at all since the leg began: the machine is gone, which tells nothing of queues.
            boolean silent = outcome == Outcome.TIMEOUT && s.answeredAt <= now - tookUs
                    && (s.own > 0 || s.trial);
            if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REFUSED) {
                s.gap += PACE_GAIN * (now - s.silentSince - s.gap);
                s.answeredAt = now;
            }
            s.silentSince = now;
            // Far longer than what the server shows with others: this leg or its connection was lost.
            boolean queued = outcome == Outcome.TIMEOUT && !silent && tookUs < LOST * figure(now, s, 1);
            judge(now, s, outcome, silent, queued);
            noteReport(now, s, report);
            triedAt[s.zone] = now;
            fullShare[s.zone] += LATE_GAIN * ((outcome == Outcome.REFUSED ? 1 : 0) - fullShare[s.zone]);
            if (outcome == Outcome.OK || queued) {
                Held timed = held.get(id);
                long aim = timed == null ? Long.MAX_VALUE : timed.type.aimUs();
                noteTime(now, s, outcome == Outcome.OK, tookUs, aim, report);
            }
        }
        Held h = held.get(id);
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

    /** What an answer, or the lack of one, says of the server's pace and of its zone. */
    private void noteTime(long now, Server s, boolean answered, long tookUs, long aim, LoadReport report) {
        double late = !answered ? 1 : tookUs > aim ? LATE_ANSWER : 0;
        lateShare[s.zone] += LATE_GAIN * (late - lateShare[s.zone]);
        if (!answered) {
            told(now, s, Math.min(MAX_HELD, HOLD_SHARE * meanAim / Math.max(1, pace(now, s)) * s.size));
        } else if (report != null && s.reportAt == now) {
            notePace(now, s, Math.max(1, s.reported) / s.size, tookUs);
        }
    }

    /** Failure diversion: what an outcome says about the server's health and its flag. */
    private void judge(long now, Server s, Outcome outcome, boolean silent, boolean queued) {
        switch (outcome) {
            case OK -> {
                s.badRun = Math.max(0, s.badRun - 1);
                noteCommon(0);
                s.doubt = Math.max(DOUBT_NONE, s.doubt - DOUBT_TAKE);
                if (s.trial && s.doubt < -2 * DOUBT_TAKE) {
                    s.trial = false;
                    s.strikes = 0;
                    log(now, "sound again: " + s.host);
                }
            }
            case REFUSED -> {
                // Room may come with the next answer.
                s.holdUntil = Math.max(s.holdUntil, now + hasty(HOLD_US));
                clearFlag(now, s);
            }
            case TIMEOUT -> {
                if (!queued) {
                    if (silent) {
                        sparedAsSilent(now, s);
                    }
                    return;
                }
                s.holdUntil = now + hasty(TIMEOUT_HOLD_US << Math.min(s.badRun, HOLD_DOUBLINGS));
                s.badRun++;
                clearFlag(now, s);
            }
            case ERROR, RESET, CONNECT_FAILED -> {
                double odds = FAILING_SHARE / Math.max(COMMON_MIN, commonFailures);
                s.doubt += Math.min(DOUBT_ADD, Math.max(0, Math.log(odds)));
                noteCommon(1);
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

    /** What fails everywhere says nothing of one server. */
    private void noteCommon(int failed) {
        commonFailures += COMMON_GAIN * (failed - commonFailures);
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
        for (Server s : listed) {
            double share = s.own > 1 ? SILENT_SHARE : 2 * SILENT_SHARE;
            double patience = Math.max(share * meanAim, SILENT_GAPS * Math.max(s.gap, setTook));
            if (s.own == 0 || now < s.shunUntil || now - s.silentSince < patience) {
                continue;
            }
            sparedAsSilent(now, s);
            for (Held h : held.values()) {
                if (h.out == 1 && h.cut < h.attempts.size() && h.attempts.get(h.attempts.size() - 1) == s
                        && buddies.stream().anyMatch(o -> !o.trial && usable(now, h, o, false))) {
                    h.cut = h.attempts.size();
                    actions.cancel(h.request.id(), h.cut - 1);
                }
            }
        }
        watching = !held.isEmpty();
        watchOn(watching);
    }

    private void watchOn(boolean wanted) {
        if (wanted) {
            watching = true;
            actions.timer(Math.max(1, (long) (WATCH_SHARE * meanAim)), WATCH_TOKEN);
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
        double figure = requests / s.size * pace(now, s);
        if (figure > spread * AIM_TH_F * meanAim) {
            clearFlag(now, s);
        } else if (figure <= spread * AIM_TH_U * meanAim && !s.trial && now >= s.holdUntil) {
            s.flag = true;
        }
    }

    @Override
    public void gone(long now, long id) {
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
        Server s = servers.get(host);
        if (s != null) {
            noteReport(now, s, report);
        }
    }

    private void log(long now, String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + LOG_GAP_US;
            actions.log(line);
        }
    }
}
