package dapplequay;

import dapplequay.BalancerApi.ColdStart;
import dapplequay.BalancerApi.Discovery;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.Group;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.Limits;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalancerApi.Prices;
import dapplequay.BalancerApi.Request;
import dapplequay.BalancerApi.Semantics;
import dapplequay.BalancerApi.ServiceClass;
import dapplequay.BalancerApi.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fleet in passed-in time: instances of the module that share nothing, hosts that work through a queue and are slower
 * while they are cold, clients that come again. It counts what every cold host is sent against what the settings allow.
 */
final class ColdFleet {
    /** What each send costs beside its work, in calls: a handshake at the most. */
    private static final double HANDSHAKE = 0.02;
    private static final double QUICK = 1.8;
    private static final double SLOW = 0.9;
    private static final long REPORT_US = 1_000_000;
    private static final long NET_US = 200;
    private static final int QUEUE = 250;
    static final long T0 = 1_000_000_000L;

    double workUs = 110_000;
    long aimUs = 600_000;
    long deadlineUs = 2_000_000;
    ColdStart cold = new ColdStart(0.31, 8_800_000, 3, 3_000_000);
    int balancers = 20;
    int hosts = 20;
    int zones = 2;
    double homeShare = 0.5;                // of the instances that are in zone 0
    double load = 1.3;                     // of what all hosts can do when warm
    int favoured = 8;                      // so many times the others' traffic goes to the first instance
    long burstAtUs = -1;                   // after the news: before it there is a twentieth of the load
    double halfSpeed;                      // of those that start cold, this share of all hosts has half the mean speed
    boolean tellsCount = true;             // what a host holds, with its answers
    double warmErrors;                     // share of answers of the warm hosts that are errors, after the news
    double coldErrors;

    final class Host {
        final String name;
        final int zone;
        double speed;
        long startedUs;                    // 0: long ago
        boolean silent;
        private long freeAt;
        private int holds;
        private LoadReport report = new LoadReport(0, 0);
        private long reportedAt;
        final Deque<Long> got = new ArrayDeque<>();
        double worst;                      // of what it got in any window, against its bound
        double used;                       // in the first window after the news, against its budget

        Host(int number) {
            zone = number % zones;
            name = "h" + number;
            speed = number / zones % 2 == 0 ? QUICK : SLOW;
        }

        double warmth(long at) {
            double age = startedUs == 0 ? 1 : (double) Math.max(0, at - startedUs) / cold.warmUpUs();
            return Math.min(1, cold.from() + (1 - cold.from()) * age);
        }

        /** Calls of mean work that the settings allow it in the window that ends now. */
        double budget(long at) {
            return cold.tipMultiple() * warmth(at - cold.tipAfterUs() / 2) * cold.tipAfterUs() * speed / workUs;
        }

        /** Takes a call; when its answer is there, or never. */
        long take(boolean counts) {
            if (counts) {
                got.add(now);
                while (got.peek() <= now - cold.tipAfterUs()) {
                    got.remove();
                }
                double n = budget(now);
                worst = Math.max(worst, got.size() * (1 + HANDSHAKE) / (n + 2 * Math.sqrt(n) + 2));
                if (now - newsAt <= cold.tipAfterUs()) {
                    used = got.size() / n;
                }
            }
            if (silent) {
                return Long.MAX_VALUE;
            }
            if (holds >= QUEUE) {
                return now + NET_US;
            }
            holds++;
            double work = -Math.log(1 - random.nextDouble()) * workUs;
            freeAt = Math.max(now, freeAt) + (long) (work / speed / warmth(now));
            long life = startedUs;
            at(freeAt, () -> holds -= life == startedUs ? 1 : 0);
            return freeAt + NET_US;
        }

        LoadReport report() {
            if (now - reportedAt > REPORT_US) {
                reportedAt = now;
                double told = tellsCount ? holds : Double.NaN;
                report = new LoadReport(told, told);
            }
            return report;
        }
    }

    /** One request of a client at an instance. */
    private final class Try {
        final int triesLeft;
        int attempts;
        boolean over;
        boolean out;
        String host;
        long sentAt;

        Try(int triesLeft) {
            this.triesLeft = triesLeft;
        }
    }

    final class Instance implements BalancerApi.Actions {
        private final Balance balance;
        private final Map<Long, Try> open = new HashMap<>();
        private boolean ended;

        Instance(int position, long seed) {
            int zone = zones == 1 || position < homeShare * balancers ? 0 : 1 + position % (zones - 1);
            List<String> names = new ArrayList<>();
            for (int z = 0; z < zones; z++) {
                names.add("zone" + z);
            }
            balance = new Balance(new Settings(position, balancers, zone, names,
                    List.of(new ServiceClass("order", aimUs, 0, deadlineUs, 0.25, 1, Semantics.RETRYABLE, Group.ALL,
                            4_000_000, false)), List.of(), 0, new Discovery(true, 10_000_000, 2_500_000),
                    new Limits(3, true, true, false, false, 2_000_000), cold, new Prices(0.03, 0.04, 0.05, 0.01, 0.02),
                    false), seed, this);
        }

        void end() {
            ended = true;
        }

        void list(ListKind kind, List<FleetEntry> entries) {
            balance.fleet(now, kind, entries);
        }

        void request(int triesLeft) {
            if (ended) {
                return;
            }
            long id = nextId++;
            asked++;
            open.put(id, new Try(triesLeft));
            balance.request(now, new Request(id, 0, -1, null, deadlineUs, 0, false));
        }

        @Override
        public void send(long id, String name, long timeoutUs, long beginBy) {
            Try t = open.get(id);
            Host host = all.get(name);
            int attempt = t.attempts++;
            t.host = name;
            t.out = true;
            t.sentAt = now;
            boolean full = host.holds >= QUEUE;
            // Only what is sent by those that know of the start: who does not can't do better.
            Server known = balance.set.servers.get(name);
            long answer = host.take(host.startedUs > 0 && host.warmth(now) < 1 && known.warmth(now) < 1);
            double errors = host.startedUs > 0 ? coldErrors : now >= newsAt ? warmErrors : 0;
            boolean error = errors > 0 && random.nextDouble() < errors;
            Outcome outcome = full ? Outcome.REFUSED : error ? Outcome.ERROR : Outcome.OK;
            long answerAt = error ? now + 10 * NET_US : answer;
            if (answerAt > now + timeoutUs) {
                at(now + timeoutUs, () -> ended(id, t, attempt, host, Outcome.TIMEOUT));
            } else {
                at(answerAt, () -> ended(id, t, attempt, host, outcome));
            }
        }

        private void ended(long id, Try t, int attempt, Host host, Outcome outcome) {
            if (ended || t.over || !t.out || attempt != t.attempts - 1) {
                return;
            }
            t.out = false;
            boolean served = outcome == Outcome.OK;
            t.over = served;
            if (served) {
                open.remove(id);
                ok++;
            }
            boolean heard = served || outcome == Outcome.REFUSED || outcome == Outcome.ERROR;
            balance.outcome(now, id, attempt, host.name, outcome, now - t.sentAt, served, heard ? host.report() : null);
        }

        @Override
        public void cancel(long id, int attempt) {
            Try t = open.get(id);
            at(now, () -> ended(id, t, attempt, all.get(t.host), Outcome.CANCELLED));
        }

        private void again(long id) {
            Try t = open.remove(id);
            t.over = true;
            if (t.triesLeft > 0) {
                at(now + 21_000 + random.nextLong(139_000), () -> request(t.triesLeft - 1));
            }
        }

        @Override
        public void refuse(long id, long pauseUs) {
            again(id);
        }

        @Override
        public void fail(long id) {
            again(id);
        }

        @Override
        public void setTimer(long afterUs, long token) {
            at(now + afterUs, () -> {
                if (!ended) {
                    balance.timerFired(now, token);
                }
            });
        }

        @Override
        public void watchFleet(boolean on) { }

        @Override
        public void fetchFleet() { }

        @Override
        public void probe(String host) {
            throw new IllegalStateException("none is expected");
        }

        @Override
        public void closeIdle(String host) { }

        @Override
        public void sendToPeer(int position, byte[] note) { }

        @Override
        public void log(String line) { }
    }

    private record Event(long at, long order, Runnable what) { }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long order;
    private final SplittableRandom random;
    private long nextId;
    private final long seed;
    long now = T0;
    long newsAt = Long.MAX_VALUE;
    int asked;
    int ok;
    final Map<String, Host> all = new LinkedHashMap<>();
    final List<Instance> instances = new ArrayList<>();

    ColdFleet(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /** Builds what the fields say; every instance has all hosts in its list. */
    ColdFleet begin() {
        for (int i = 0; i < hosts; i++) {
            Host host = new Host(i);
            all.put(host.name, host);
        }
        restartInstances();
        double rate = load * all.values().stream().mapToDouble(h -> h.speed).sum() / workUs;
        double[] weights = new double[balancers];
        double sum = 0;
        for (int i = 0; i < balancers; i++) {
            weights[i] = i == 0 ? favoured : 0.3 - Math.log(1 - random.nextDouble());
            sum += weights[i];
        }
        for (int i = 0; i < balancers; i++) {
            traffic(i, rate * weights[i] / sum);
        }
        return this;
    }

    private void traffic(int instance, double rate) {
        boolean waits = burstAtUs >= 0 && now < newsAt + burstAtUs;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / (waits ? rate / 20 : rate));
        long burst = newsAt == Long.MAX_VALUE ? Long.MAX_VALUE : newsAt + burstAtUs;
        if (waits && now + gap > burst) {
            at(burst, () -> traffic(instance, rate));
            return;
        }
        at(now + gap, () -> {
            instances.get(instance).request(1);
            traffic(instance, rate);
        });
    }

    /** New processes, each with the list as it is. */
    void restartInstances() {
        instances.forEach(Instance::end);
        instances.clear();
        for (int i = 0; i < balancers; i++) {
            instances.add(new Instance(i, seed * 1_000 + i + order));
        }
        instances.forEach(i -> i.list(ListKind.RESTORED, all.values().stream().map(this::entry).toList()));
    }

    FleetEntry entry(Host h) {
        return new FleetEntry(h.name, h.zone, 0, HostState.READY, 1, h.startedUs);
    }

    void tell(List<Host> changed) {
        instances.forEach(i -> i.list(ListKind.DELTA, changed.stream().map(this::entry).toList()));
    }

    /** They start anew now; until they are told of, nobody knows. */
    void startCold(List<Host> some) {
        for (Host h : some) {
            h.startedUs = now;
            h.freeAt = now;
            h.holds = 0;
            h.silent = false;
            boolean slow = halfSpeed > 0 && some.indexOf(h) < Math.max(1, (int) (hosts * halfSpeed));
            h.speed = slow ? (QUICK + SLOW) / 4 : h.speed;
        }
    }

    /** The most that any host got in any window, against its bound. */
    double worst() {
        return all.values().stream().mapToDouble(h -> h.worst).max().orElse(0);
    }

    /** What the cold hosts got in the first window after the news, as a share of their budget. */
    double used() {
        return all.values().stream().filter(h -> h.startedUs > 0).mapToDouble(h -> h.used).average().orElse(0);
    }

    void at(long when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    void runUntil(long when) {
        while (!events.isEmpty() && events.peek().at() <= when) {
            Event next = events.remove();
            now = next.at();
            next.what().run();
        }
        now = when;
    }
}
