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
 * A simulated fleet: balancers that share nothing, hosts that work through a queue and are slower while they are cold,
 * clients that retry. It compares what each cold host is sent with what the settings allow.
 */
final class ColdFleet {
    /** The cost of a handshake, in calls of mean work; each send is counted with one. */
    private static final double HANDSHAKE_CALLS = 0.02;
    /** Speed of every second host of a zone; at 1 a call of mean work takes {@code workUs}. */
    private static final double FAST_SPEED = 1.8;
    /** Speed of the other hosts. */
    private static final double SLOW_SPEED = 0.9;
    private static final long REPORT_INTERVAL_US = 1_000_000;
    private static final long NETWORK_US = 200;
    private static final int MAX_IN_FLIGHT = 250;
    static final long START_US = 1_000_000_000L;

    double workUs = 110_000;
    long aimUs = 600_000;
    long deadlineUs = 2_000_000;
    ColdStart cold = new ColdStart(0.31, 8_800_000, 3, 3_000_000);
    int balancers = 20;
    int hosts = 20;
    int zones = 2;
    /** Share of the instances that are in zone 0. */
    double zone0Share = 0.5;
    /** Offered load as a share of what all hosts can serve when warm. */
    double loadShare = 1.3;
    /** Weight of the traffic of the first instance; that of another one is 1.3 on average. */
    int firstInstanceTraffic = 8;
    /** The full load begins this long after the news of the cold hosts, a twentieth of it before; -1: at once. */
    long burstAfterNewsUs = -1;
    /** Among the hosts that start cold, as many as this share of all hosts have half the mean speed. */
    double halfSpeedShare;
    /** True if hosts report their requests in flight with their answers. */
    boolean reportsLoad = true;
    /** Share of the answers of warm hosts that are errors, after the news. */
    double warmErrorShare;
    /** Share of the answers of cold hosts that are errors. */
    double coldErrorShare;

    final class Host {
        final String name;
        final int zone;
        double speed;
        /** 0: long ago. */
        long startedUs;
        boolean silent;
        private long freeAt;
        private int inFlight;
        private LoadReport report = new LoadReport(0, 0);
        private long reportedAt;
        final Deque<Long> arrivals = new ArrayDeque<>();
        /** The most calls in any window, as a share of the bound for chance. */
        double worstBoundRatio;
        /** The calls in the first window after the news, as a share of the budget. */
        double usedBudgetShare;

        Host(int number) {
            zone = number % zones;
            name = "h" + number;
            speed = number / zones % 2 == 0 ? FAST_SPEED : SLOW_SPEED;
        }

        double warmth(long at) {
            double age = startedUs == 0 ? 1 : (double) Math.max(0, at - startedUs) / cold.warmUpUs();
            return Math.min(1, cold.from() + (1 - cold.from()) * age);
        }

        /** Returns how many calls of mean work the settings allow in the window that ends now. */
        double budget(long at) {
            return cold.tipMultiple() * warmth(at - cold.tipAfterUs() / 2) * cold.tipAfterUs() * speed / workUs;
        }

        /** Takes a call; returns when its answer comes, Long.MAX_VALUE: never. */
        long handleCall(boolean isCounted) {
            if (isCounted) {
                arrivals.add(now);
                while (arrivals.peek() <= now - cold.tipAfterUs()) {
                    arrivals.remove();
                }
                double allowedCalls = budget(now);
                worstBoundRatio = Math.max(worstBoundRatio,
                        arrivals.size() * (1 + HANDSHAKE_CALLS) / (allowedCalls + 2 * Math.sqrt(allowedCalls) + 2));
                if (now - newsAtUs <= cold.tipAfterUs()) {
                    usedBudgetShare = arrivals.size() / allowedCalls;
                }
            }
            if (silent) {
                return Long.MAX_VALUE;
            }
            if (inFlight >= MAX_IN_FLIGHT) {
                return now + NETWORK_US;
            }
            inFlight++;
            double work = -Math.log(1 - random.nextDouble()) * workUs;
            freeAt = Math.max(now, freeAt) + (long) (work / speed / warmth(now));
            long ownStartUs = startedUs;
            at(freeAt, () -> inFlight -= ownStartUs == startedUs ? 1 : 0);
            return freeAt + NETWORK_US;
        }

        LoadReport report() {
            if (now - reportedAt > REPORT_INTERVAL_US) {
                reportedAt = now;
                double told = reportsLoad ? inFlight : Double.NaN;
                report = new LoadReport(told, told);
            }
            return report;
        }
    }

    /** One request of a client at an instance. */
    private final class ClientRequest {
        final int retriesLeft;
        int attempts;
        boolean isOver;
        boolean attemptIsInFlight;
        String host;
        long sentAt;

        ClientRequest(int retriesLeft) {
            this.retriesLeft = retriesLeft;
        }
    }

    final class Instance implements BalancerApi.Actions {
        private final Balance module;
        private final Map<Long, ClientRequest> pendingRequests = new HashMap<>();
        private boolean ended;

        Instance(int position, long seed) {
            int zone = zones == 1 || position < zone0Share * balancers ? 0 : 1 + position % (zones - 1);
            List<String> names = new ArrayList<>();
            for (int z = 0; z < zones; z++) {
                names.add("zone" + z);
            }
            module = new Balance(new Settings(position, balancers, zone, names,
                    List.of(new ServiceClass("order", aimUs, 0, deadlineUs, 0.25, 1, Semantics.RETRYABLE, Group.ALL,
                            4_000_000, false)), List.of(), 0, new Discovery(true, 10_000_000, 2_500_000),
                    new Limits(3, true, true, false, false, 2_000_000), cold, new Prices(0.03, 0.04, 0.05, 0.01, 0.02),
                    false), seed, this);
        }

        void end() {
            ended = true;
        }

        void list(ListKind kind, List<FleetEntry> entries) {
            module.fleet(now, kind, entries);
        }

        void request(int retriesLeft) {
            if (ended) {
                return;
            }
            long id = nextId++;
            requestCount++;
            pendingRequests.put(id, new ClientRequest(retriesLeft));
            module.request(now, new Request(id, 0, -1, null, deadlineUs, 0, false));
        }

        @Override
        public void send(long id, String name, long timeoutUs, long beginBy) {
            ClientRequest clientRequest = pendingRequests.get(id);
            Host host = hostsByName.get(name);
            int attempt = clientRequest.attempts++;
            clientRequest.host = name;
            clientRequest.attemptIsInFlight = true;
            clientRequest.sentAt = now;
            boolean full = host.inFlight >= MAX_IN_FLIGHT;
            // Counts only sends of instances that know of the start: the others can't limit themselves.
            Server knownServer = module.set.servers.get(name);
            long answer = host.handleCall(host.startedUs > 0 && host.warmth(now) < 1 && knownServer.warmth(now) < 1);
            double errors = host.startedUs > 0 ? coldErrorShare : now >= newsAtUs ? warmErrorShare : 0;
            boolean error = errors > 0 && random.nextDouble() < errors;
            Outcome outcome = full ? Outcome.REFUSED : error ? Outcome.ERROR : Outcome.OK;
            long answerAt = error ? now + 10 * NETWORK_US : answer;
            if (answerAt > now + timeoutUs) {
                at(now + timeoutUs, () -> ended(id, clientRequest, attempt, host, Outcome.TIMEOUT));
            } else {
                at(answerAt, () -> ended(id, clientRequest, attempt, host, outcome));
            }
        }

        private void ended(long id, ClientRequest clientRequest, int attempt, Host host, Outcome outcome) {
            if (ended || clientRequest.isOver || !clientRequest.attemptIsInFlight
                    || attempt != clientRequest.attempts - 1) {
                return;
            }
            clientRequest.attemptIsInFlight = false;
            boolean served = outcome == Outcome.OK;
            clientRequest.isOver = served;
            if (served) {
                pendingRequests.remove(id);
                servedCount++;
            }
            boolean hasReport = served || outcome == Outcome.REFUSED || outcome == Outcome.ERROR;
            module.outcome(now, id, attempt, host.name, outcome, now - clientRequest.sentAt, served,
                    hasReport ? host.report() : null);
        }

        @Override
        public void cancel(long id, int attempt) {
            ClientRequest clientRequest = pendingRequests.get(id);
            at(now, () -> ended(id, clientRequest, attempt, hostsByName.get(clientRequest.host), Outcome.CANCELLED));
        }

        private void retry(long id) {
            ClientRequest clientRequest = pendingRequests.remove(id);
            clientRequest.isOver = true;
            if (clientRequest.retriesLeft > 0) {
                at(now + 21_000 + random.nextLong(139_000), () -> request(clientRequest.retriesLeft - 1));
            }
        }

        @Override
        public void refuse(long id, long pauseUs) {
            retry(id);
        }

        @Override
        public void fail(long id) {
            retry(id);
        }

        @Override
        public void setTimer(long afterUs, long token) {
            at(now + afterUs, () -> {
                if (!ended) {
                    module.timerFired(now, token);
                }
            });
        }

        @Override
        public void watchFleet(boolean on) { }

        @Override
        public void fetchFleet() { }

        @Override
        public void probe(String host) {
            throw new IllegalStateException("no probe is expected");
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
    long now = START_US;
    long newsAtUs = Long.MAX_VALUE;
    int requestCount;
    int servedCount;
    final Map<String, Host> hostsByName = new LinkedHashMap<>();
    final List<Instance> instances = new ArrayList<>();

    ColdFleet(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /** Creates hosts and instances by the fields; each instance has all hosts in its list. */
    ColdFleet begin() {
        for (int i = 0; i < hosts; i++) {
            Host host = new Host(i);
            hostsByName.put(host.name, host);
        }
        restartInstances();
        double rate = loadShare * hostsByName.values().stream().mapToDouble(h -> h.speed).sum() / workUs;
        double[] weights = new double[balancers];
        double sum = 0;
        for (int i = 0; i < balancers; i++) {
            weights[i] = i == 0 ? firstInstanceTraffic : 0.3 - Math.log(1 - random.nextDouble());
            sum += weights[i];
        }
        for (int i = 0; i < balancers; i++) {
            traffic(i, rate * weights[i] / sum);
        }
        return this;
    }

    private void traffic(int instance, double rate) {
        boolean waits = burstAfterNewsUs >= 0 && now < newsAtUs + burstAfterNewsUs;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / (waits ? rate / 20 : rate));
        long burst = newsAtUs == Long.MAX_VALUE ? Long.MAX_VALUE : newsAtUs + burstAfterNewsUs;
        if (waits && now + gap > burst) {
            at(burst, () -> traffic(instance, rate));
            return;
        }
        at(now + gap, () -> {
            instances.get(instance).request(1);
            traffic(instance, rate);
        });
    }

    /** Replaces all instances by new ones that begin with the present list. */
    void restartInstances() {
        instances.forEach(Instance::end);
        instances.clear();
        for (int i = 0; i < balancers; i++) {
            instances.add(new Instance(i, seed * 1_000 + i + order));
        }
        instances.forEach(i -> i.list(ListKind.RESTORED, hostsByName.values().stream().map(this::entry).toList()));
    }

    FleetEntry entry(Host h) {
        return new FleetEntry(h.name, h.zone, 0, HostState.READY, 1, h.startedUs);
    }

    void listChanges(List<Host> changed) {
        instances.forEach(i -> i.list(ListKind.DELTA, changed.stream().map(this::entry).toList()));
    }

    /** Restarts these hosts now; instances don't know of it until they get the news. */
    void startCold(List<Host> some) {
        for (Host h : some) {
            h.startedUs = now;
            h.freeAt = now;
            h.inFlight = 0;
            h.silent = false;
            boolean slow = halfSpeedShare > 0 && some.indexOf(h) < Math.max(1, (int) (hosts * halfSpeedShare));
            h.speed = slow ? (FAST_SPEED + SLOW_SPEED) / 4 : h.speed;
        }
    }

    /** Returns the most calls of any host in any window, as a share of its bound. */
    double worstBoundRatio() {
        return hostsByName.values().stream().mapToDouble(h -> h.worstBoundRatio).max().orElse(0);
    }

    /** Returns the mean share of its budget that a cold host got in the first window after the news. */
    double usedBudgetShare() {
        return hostsByName.values().stream().filter(h -> h.startedUs > 0).mapToDouble(h -> h.usedBudgetShare).average()
                .orElse(0);
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
