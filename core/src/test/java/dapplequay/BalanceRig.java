package dapplequay;

import java.util.ArrayList;
import java.util.List;
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
import dapplequay.BalancerApi.Tenant;

/** A {@link Balance} on a fake clock that records its actions. */
final class BalanceRig implements BalancerApi.Actions {
    /** Index of the class of retryable requests. */
    static final int RETRYABLE = 0;
    /** Index of the class of requests that may not be repeated. */
    static final int FRAGILE = 1;
    /** Index of the class whose repeats all servers discard. */
    static final int DEDUP_ALL = 2;
    /** Index of the class whose repeats the servers of the same zone discard. */
    static final int DEDUP_ZONE = 3;
    /** Index of the class whose repeats the servers of the same cell discard. */
    static final int DEDUP_CELL = 4;
    static final long AIM_US = 400_000;
    /** The time left that a request has unless a test says otherwise. */
    static final long LEFT_US = 800_000;

    /**
     * One action. {@code host} is null for actions that name no host. {@code argument} is the timeout of a send, the
     * attempt of a cancel, the pause of a refusal and the delay of a timer.
     */
    record Action(String kind, long id, String host, long argument) { }

    /** The settings that a test may vary. */
    static final class Setup {
        int position;
        int balancers = 10;
        int zones = 2;
        int sendCap = 4;
        boolean secondCopies = true;
        boolean onRequest;
        boolean warmKeys;
        double lateWorth;
        double crossZonePrice = 0.1;
        List<ServiceClass> classes;
        List<Tenant> tenants = List.of(new Tenant("t", 1, 100));

        Settings settings() {
            List<String> names = new ArrayList<>();
            for (int z = 0; z < zones; z++) {
                names.add("zone" + z);
            }
            List<ServiceClass> all = classes != null ? classes : List.of(
                    serviceClass("safe", Semantics.RETRYABLE, Group.ALL),
                    serviceClass("unsafe", Semantics.FRAGILE, Group.ALL),
                    serviceClass("keyed-all", Semantics.DEDUP, Group.ALL),
                    serviceClass("keyed-zone", Semantics.DEDUP, Group.ZONE),
                    serviceClass("keyed-cell", Semantics.DEDUP, Group.CELL));
            return new Settings(position, balancers, 0, names, all, tenants, 0.1,
                    new Discovery(onRequest, 10_000_000, 2_500_000),
                    new Limits(sendCap, true, secondCopies, false, true, 1_500_000),
                    new ColdStart(0.15, 20_000_000, 3, 1_500_000), new Prices(crossZonePrice, 0.02, 0.05, 0, 0),
                    warmKeys);
        }

        private ServiceClass serviceClass(String name, Semantics semantics, Group group) {
            return new ServiceClass(name, AIM_US, 0, 1_000_000, lateWorth, 1, semantics, group, 500_000, false);
        }
    }

    final List<Action> actions = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final Balance module;
    long now = 1_000_000_000L;
    /** The time before which the first byte of the last send must go out. */
    long lastSendBeginBy;
    private long nextId = 100;

    BalanceRig() {
        this(new Setup());
    }

    BalanceRig(Setup setup) {
        this(setup, 42);
    }

    BalanceRig(Setup setup, long seed) {
        module = new Balance(setup.settings(), seed, this);
    }

    static FleetEntry host(String name, int zone) {
        return new FleetEntry(name, zone, 0, HostState.READY, 1, 0);
    }

    static FleetEntry host(String name, int zone, HostState state, long startedUs) {
        return new FleetEntry(name, zone, 0, state, 1, startedUs);
    }

    /** Lists {@code local} hosts a0, a1 ... in the own zone and {@code foreign} hosts b0, b1 ... in the other. */
    BalanceRig fleet(int local, int foreign) {
        List<FleetEntry> entries = new ArrayList<>();
        for (int i = 0; i < local; i++) {
            entries.add(host("a" + i, 0));
        }
        for (int i = 0; i < foreign; i++) {
            entries.add(host("b" + i, 1));
        }
        module.fleet(now, ListKind.RESTORED, entries);
        return this;
    }

    void delta(FleetEntry... entries) {
        module.fleet(now, ListKind.DELTA, List.of(entries));
    }

    BalanceRig advance(long us) {
        now += us;
        return this;
    }

    /** Submits a request and returns the first action for it; null if there is none. */
    Action request(int serviceClass) {
        return request(serviceClass, LEFT_US);
    }

    Action request(int serviceClass, long leftUs) {
        return request(serviceClass, leftUs, 0);
    }

    Action request(int serviceClass, long leftUs, int tenant) {
        return request(serviceClass, leftUs, tenant, null);
    }

    Action request(int serviceClass, String key) {
        return request(serviceClass, LEFT_US, 0, key);
    }

    private Action request(int serviceClass, long leftUs, int tenant, String key) {
        int before = actions.size();
        module.request(now, new Request(nextId++, serviceClass, tenant, key, leftUs, 0, false));
        return actions.size() == before ? null : actions.get(before);
    }

    /** Reports the outcome of a send and returns the first action that follows; null if there is none. */
    Action outcome(Action send, int attempt, Outcome outcome, LoadReport report) {
        int before = actions.size();
        module.outcome(now, send.id(), attempt, send.host(), outcome, 10_000, outcome == Outcome.OK, report);
        return actions.size() == before ? null : actions.get(before);
    }

    Action outcome(Action send, Outcome outcome) {
        return outcome(send, 0, outcome, null);
    }

    /** Submits a request and answers it, if it is sent, with a report of {@code inFlight} requests. */
    Action requestAndAnswer(int serviceClass, double inFlight) {
        Action send = request(serviceClass);
        if (send.host() != null) {
            advance(10_000);
            outcome(send, 0, Outcome.OK, new LoadReport(inFlight, inFlight));
        }
        return send;
    }

    long count(String kind) {
        return actions.stream().filter(d -> d.kind().equals(kind)).count();
    }

    @Override
    public void send(long id, String host, long timeoutUs, long beginBy) {
        lastSendBeginBy = beginBy;
        actions.add(new Action("send", id, host, timeoutUs));
    }

    @Override
    public void cancel(long id, int attempt) {
        actions.add(new Action("cancel", id, null, attempt));
    }

    @Override
    public void refuse(long id, long pauseUs) {
        actions.add(new Action("refuse", id, null, pauseUs));
    }

    @Override
    public void fail(long id) {
        actions.add(new Action("fail", id, null, 0));
    }

    @Override
    public void setTimer(long afterUs, long token) {
        actions.add(new Action("timer", token, null, afterUs));
    }

    @Override
    public void watchFleet(boolean on) {
        actions.add(new Action("watch", 0, null, 0));
    }

    @Override
    public void fetchFleet() {
        actions.add(new Action("fetch", 0, null, 0));
    }

    @Override
    public void probe(String host) {
        actions.add(new Action("probe", 0, host, 0));
    }

    @Override
    public void closeIdle(String host) {
        actions.add(new Action("close", 0, host, 0));
    }

    @Override
    public void sendToPeer(int position, byte[] note) {
        actions.add(new Action("tell", position, null, 0));
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
