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

/** One module on a fake clock, with its actions written down. */
final class BalanceRig implements BalancerApi.Actions {
    static final int RETRYABLE = 0;
    static final int FRAGILE = 1;
    static final int DEDUP_ALL = 2;
    static final int DEDUP_ZONE = 3;
    static final int DEDUP_CELL = 4;
    static final long AIM_US = 400_000;
    static final long LEFT_US = 800_000;

    /** One action; {@code host} is null but for sends. */
    record Action(String kind, long id, String host, long argument) { }

    /** Settings that a test may vary. */
    static final class Setup {
        int position;
        int balancers = 10;
        int zones = 2;
        int sendCap = 4;
        boolean secondCopies = true;
        boolean onRequest;
        boolean warmKeys;
        double lateWorth;
        double crossPrice = 0.1;
        List<ServiceClass> classes;
        List<Tenant> tenants = List.of(new Tenant("t", 1, 100));

        Settings settings() {
            List<String> names = new ArrayList<>();
            for (int z = 0; z < zones; z++) {
                names.add("zone" + z);
            }
            List<ServiceClass> all = classes != null ? classes : List.of(
                    type("safe", Semantics.RETRYABLE, Group.ALL), type("unsafe", Semantics.FRAGILE, Group.ALL),
                    type("keyed-all", Semantics.DEDUP, Group.ALL), type("keyed-zone", Semantics.DEDUP, Group.ZONE),
                    type("keyed-cell", Semantics.DEDUP, Group.CELL));
            return new Settings(position, balancers, 0, names, all, tenants, 0.1,
                    new Discovery(onRequest, 10_000_000, 2_500_000),
                    new Limits(sendCap, true, secondCopies, false, true, 1_500_000),
                    new ColdStart(0.15, 20_000_000, 3, 1_500_000), new Prices(crossPrice, 0.02, 0.05, 0, 0), warmKeys);
        }

        private ServiceClass type(String name, Semantics semantics, Group group) {
            return new ServiceClass(name, AIM_US, 0, 1_000_000, lateWorth, 1, semantics, group, 500_000, false);
        }
    }

    final List<Action> actions = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final Balance balance;
    long now = 1_000_000_000L;
    /** Until when the last send's first byte may go out. */
    long lastBeginBy;
    private long nextId = 100;

    BalanceRig() {
        this(new Setup());
    }

    BalanceRig(Setup setup) {
        this(setup, 42);
    }

    BalanceRig(Setup setup, long seed) {
        balance = new Balance(setup.settings(), seed, this);
    }

    static FleetEntry host(String name, int zone) {
        return new FleetEntry(name, zone, 0, HostState.READY, 1, 0);
    }

    static FleetEntry host(String name, int zone, HostState state, long startedUs) {
        return new FleetEntry(name, zone, 0, state, 1, startedUs);
    }

    /** {@code local} hosts a0, a1 ... in the own zone and {@code foreign} hosts b0, b1 ... in the other. */
    BalanceRig fleet(int local, int foreign) {
        List<FleetEntry> entries = new ArrayList<>();
        for (int i = 0; i < local; i++) {
            entries.add(host("a" + i, 0));
        }
        for (int i = 0; i < foreign; i++) {
            entries.add(host("b" + i, 1));
        }
        balance.fleet(now, ListKind.RESTORED, entries);
        return this;
    }

    void delta(FleetEntry... entries) {
        balance.fleet(now, ListKind.DELTA, List.of(entries));
    }

    BalanceRig advance(long us) {
        now += us;
        return this;
    }

    /** Hands in a request and returns what was done with it at once; null if nothing. */
    Action request(int type) {
        return request(type, LEFT_US);
    }

    Action request(int type, long left) {
        return request(type, left, 0);
    }

    Action request(int type, long left, int tenant) {
        return request(type, left, tenant, null);
    }

    Action request(int type, String key) {
        return request(type, LEFT_US, 0, key);
    }

    private Action request(int type, long left, int tenant, String key) {
        int before = actions.size();
        balance.request(now, new Request(nextId++, type, tenant, key, left, 0, false));
        return actions.size() == before ? null : actions.get(before);
    }

    /** The outcome of a send, and what was done because of it; null if nothing. */
    Action outcome(Action send, int attempt, Outcome outcome, LoadReport report) {
        int before = actions.size();
        balance.outcome(now, send.id(), attempt, send.host(), outcome, 10_000, outcome == Outcome.OK, report);
        return actions.size() == before ? null : actions.get(before);
    }

    Action outcome(Action send, Outcome outcome) {
        return outcome(send, 0, outcome, null);
    }

    /** Sends one request and has it answered with a report of so many requests held. */
    Action requestAndAnswer(int type, double held) {
        Action send = request(type);
        if (send.host() != null) {
            advance(10_000);
            outcome(send, 0, Outcome.OK, new LoadReport(held, held));
        }
        return send;
    }

    long count(String kind) {
        return actions.stream().filter(d -> d.kind().equals(kind)).count();
    }

    @Override
    public void send(long id, String host, long timeoutUs, long beginBy) {
        lastBeginBy = beginBy;
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
