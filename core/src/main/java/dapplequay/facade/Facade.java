package dapplequay.facade;

import dapplequay.Balance;
import dapplequay.BalancerApi;
import dapplequay.BalancerApi.BodyStage;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Request;
import dapplequay.membership.Asking;
import dapplequay.settings.SettingsReader.Setup;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The decision module in blocking style: each call takes the one lock, tells the module, and returns what is
 * to be done. No call waits for anything but the lock, save {@link #awaitListWanted}. It knows no protocol. What the module
 * throws ends here: it is counted and told with its trace, the request in hand fails, and the next is decided as ever.
 */
public final class Facade {
    /** A timer whose event the module could not take comes again after this, us: what repeats must not stop. */
    private static final long TIMER_RETRY_US = 1_000_000;
    /** At least this long between two faults that are told with their traces, us; all are counted. */
    private static final long FAULT_LOG_INTERVAL_US = 1_000_000;
    /** Between two looks, ms, of who waits for the module to want the list: it is woken anyhow. */
    private static final long MAX_WAIT_MS = 60_000;
    /** At least this long between two lines of the module's, us. */
    private static final long MODULE_LOG_INTERVAL_US = 1_000_000;
    /** How a line begins that tells of a fault. */
    public static final String FAULT_PREFIX = "the decision module threw: ";

    private Setup setup;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final BalancerApi module;
    private final Asking asking;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<AttemptCancellation> cancellations = new ArrayList<>();
    private final Queue<String> logLines = new ConcurrentLinkedQueue<>();
    private long timersCreated;
    private long lastRequestId;
    private long currentRequestId;
    private int nextAttempt;
    private Decision currentDecision;
    private boolean listWanted;
    private long faults;
    private long nextFaultLogUs = Long.MIN_VALUE;
    private long nextModuleLogUs = Long.MIN_VALUE;

    /** An attempt that is not to be waited for any longer; its end is reported like any other. */
    public record AttemptCancellation(long id, int attempt) { }

    private record Timer(long atUs, long sequence, long token) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** {@code clock}: Unix time in microseconds; {@code log}: takes the module's lines, outside the lock. */
    public Facade(Setup setup, long seed, LongSupplier clock, Consumer<String> log) {
        this(setup, seed, clock, log, actions -> new Balance(setup.settings(), seed, actions));
    }

    /** With another module, as tests have it. */
    Facade(Setup setup, long seed, LongSupplier clock, Consumer<String> log,
            Function<BalancerApi.Actions, BalancerApi> module) {
        this.setup = setup;
        this.clock = clock;
        this.log = log;
        ModuleActions actions = new ModuleActions();
        this.module = module.apply(actions);
        asking = new Asking(setup.settings(), seed, actions);
        listWanted = isPushed(setup);
    }

    // In the simulator's words a pushed list comes by itself, and the module asks for none. Here an agent holds it for
    // whoever asks, and what it holds counts as told: asked from the first moment on, not from the first news on.
    private static boolean isPushed(Setup setup) {
        return !setup.settings().discovery().onRequest();
    }

    /**
     * A number for a new request: the module's ids stay below 2^52, while those that clients give use all 64
     * bits and could meet.
     */
    public synchronized long nextRequestId() {
        return ++lastRequestId;
    }

    /**
     * Other settings from now on. What has been learnt stays, and requests under way keep their class and attempts.
     * IllegalArgumentException, and no change, where they make no sense, or would change the zones.
     */
    public synchronized void updateSettings(Setup next) {
        next.settings().check(setup.settings());
        beginCall(0, 0);
        // Classes and tenants go by their places in the settings: both sides go over, or each call would meet another.
        setup = next;
        runGuarded(() -> module.retune(clock.getAsLong(), next.settings()));
        asking.use(next.settings());
        if (isPushed(next)) {
            requestListNow();
        }
    }

    /** The first decision for a new request; one whose class or tenant has just vanished is refused. */
    public synchronized Decision pick(long id, RequestInfo request) {
        Integer serviceClass = setup.classes().get(request.serviceClass());
        Integer tenant = request.tenant() == null || setup.tenants().isEmpty() ? Integer.valueOf(-1)
                : setup.tenants().get(request.tenant());
        if (serviceClass == null || tenant == null) {
            return new Decision.Refuse(0);
        }
        beginCall(id, 0);
        long now = clock.getAsLong();
        boolean succeeded = runGuarded(() -> {
            module.request(now, new Request(id, serviceClass, tenant, request.key(), request.remainingUs(), request.costHintUs(),
                    request.clientRetry()));
            if (request.streamsBody() && currentDecision instanceof Decision.Send) {
                module.body(now, id, BodyStage.COMING);
            }
        });
        return succeeded ? currentDecision : abandon(now, id, false);
    }

    /** What the module owes an answer for and can't decide: nothing more of it goes out. */
    private Decision abandon(long now, long id, boolean clientDone) {
        beginCall(0, 0);
        runGuarded(() -> module.gone(now, id));
        return clientDone ? new Decision.NoAction() : new Decision.Fail();
    }

    /** One call of the module's; false where it threw. */
    private boolean runGuarded(Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException e) {
            faults++;
            long now = clock.getAsLong();
            if (now >= nextFaultLogUs) {
                nextFaultLogUs = now + FAULT_LOG_INTERVAL_US;
                StringWriter trace = new StringWriter();
                e.printStackTrace(new PrintWriter(trace, true));
                logLines.add(FAULT_PREFIX + trace.toString().strip());
            }
            return false;
        }
    }

    /** How often the module has thrown since the start. */
    public synchronized long moduleFaults() {
        return faults;
    }

    /** The request's attempt is held back no longer: what it waits for from now on is its upstream's doing. */
    public synchronized void attemptStarted(long id) {
        beginCall(0, 0);
        runGuarded(() -> module.attemptStarted(clock.getAsLong(), id));
    }

    /** The last byte of a long request was written to its attempt: its time begins now. */
    public synchronized void requestBodySent(long id) {
        beginCall(0, 0);
        runGuarded(() -> module.body(clock.getAsLong(), id, BodyStage.WHOLE));
    }

    /**
     * How an attempt ended, and what is to be done now. {@code clientDone}: the client has its answer, or has left.
     * {@code load} may be null. Where some of the request was passed on that is not held, no other attempt follows.
     */
    public synchronized Decision reportAttempt(long id, int attempt, String host, AttemptEnd end, long tookUs, boolean clientDone,
                                        HostLoad load, RequestBodyState bodyState) {
        beginCall(id, attempt + 1);
        long now = clock.getAsLong();
        boolean answered = clientDone || end == AttemptEnd.SERVED;
        boolean succeeded = runGuarded(() -> {
            if (bodyState == RequestBodyState.STREAMING_UNREPLAYABLE) {
                module.body(now, id, BodyStage.PASSED_ON);
            }
            module.outcome(now, id, attempt, host, end.outcome, tookUs, answered,
                    load == null ? null : new LoadReport(load.queue(), load.inFlight()));
            if (bodyState == RequestBodyState.STREAMING_REPLAYABLE && currentDecision instanceof Decision.Send) {
                module.body(now, id, BodyStage.COMING);
            }
        });
        return succeeded ? currentDecision : abandon(now, id, answered);
    }

    /** The same for a request that was held whole. */
    public Decision reportAttempt(long id, int attempt, String host, AttemptEnd end, long tookUs, boolean clientDone,
                           HostLoad load) {
        return reportAttempt(id, attempt, host, end, tookUs, clientDone, load, RequestBodyState.BUFFERED);
    }

    /** The client has left; an attempt that is still out is reported when it has ended. */
    public synchronized void clientGone(long id) {
        beginCall(0, 0);
        runGuarded(() -> module.gone(clock.getAsLong(), id));
    }

    /** How many listed hosts get no ordinary traffic at present; 0 where the module can't say. */
    public synchronized int hostsOutOfRotation() {
        int[] count = new int[1];
        runGuarded(() -> count[0] = module.passedOver());
        return count[0];
    }

    /** IllegalArgumentException, and no change, where a line names a zone that the settings do not. */
    public synchronized void applyListUpdate(ListUpdate update) {
        List<FleetEntry> fleetEntries = new ArrayList<>(update.entries().size());
        for (ListUpdate.ServerEntry entry : update.entries()) {
            HostState state = switch (entry.state()) {
                case SERVING -> HostState.READY;
                case DRAINING -> HostState.DRAINING;
                case DELETED -> HostState.REMOVED;
            };
            int zone = setup.settings().zones().indexOf(entry.zone());
            if (zone < 0 && state != HostState.REMOVED) {
                throw new IllegalArgumentException("unknown zone " + entry.zone());
            }
            fleetEntries.add(new FleetEntry(entry.uid(), zone, entry.cell(), state, entry.weight(),
                    entry.bootMs() * 1000));
        }
        ListKind kind = switch (update.kind()) {
            case DELTA -> ListKind.DELTA;
            case FULL -> ListKind.FULL;
            case RESTORED -> ListKind.RESTORED;
            case FAILED -> ListKind.FAILED;
        };
        if (kind == ListKind.FAILED) {
            listWanted = false;
        }
        beginCall(0, 0);
        if (kind != ListKind.FAILED && !runGuarded(() -> module.fleet(clock.getAsLong(), kind, fleetEntries))) {
            throw new IllegalStateException("the list could not be taken over");
        }
        asking.heard(kind);
    }

    /** Gives the module its timers that are due; returns the attempts that are to be cut now. */
    public List<AttemptCancellation> tick() {
        List<AttemptCancellation> cancelNow = new ArrayList<>();
        tick(cancelNow);
        // Outside the lock: where the log's reader is stuck, the decisions must not wait for it.
        for (String line = logLines.poll(); line != null; line = logLines.poll()) {
            log.accept(line);
        }
        return cancelNow;
    }

    private synchronized void tick(List<AttemptCancellation> cancelNow) {
        long now = clock.getAsLong();
        while (!timers.isEmpty() && timers.peek().atUs() <= now) {
            beginCall(0, 0);
            long token = timers.poll().token();
            if (!asking.timer(token) && !runGuarded(() -> module.timer(now, token))) {
                timers.add(new Timer(now + TIMER_RETRY_US, timersCreated++, token));
            }
        }
        cancelNow.addAll(cancellations);
        cancellations.clear();
    }

    /**
     * Waits until the module wants the list watched, but no longer than {@code atMostUs}; then it is taken to want
     * it. It goes on wanting that until a watch has failed.
     */
    public synchronized void awaitListWanted(long atMostUs) throws InterruptedException {
        long begunUs = clock.getAsLong();
        while (!listWanted) {
            long leftUs = atMostUs - (clock.getAsLong() - begunUs);
            if (leftUs <= 0) {
                listWanted = true;     // the call that now follows may bring a list, and no timer would say so then
                return;
            }
            wait(Math.max(1, Math.min(leftUs / 1_000, MAX_WAIT_MS)));
        }
    }

    /** The list is to be had elsewhere from now on: asked there at once, whatever pause was under way. */
    public synchronized void requestListNow() {
        listWanted = true;
        notifyAll();
    }

    private void beginCall(long id, int attempt) {
        currentRequestId = id;
        nextAttempt = attempt;
        currentDecision = new Decision.NoAction();
    }

    /** The module's actions, kept until the call in hand returns them. */
    private final class ModuleActions implements BalancerApi.Actions {
        private void decide(long id, Decision decision) {
            if (id != currentRequestId || !(currentDecision instanceof Decision.NoAction)) {
                throw new IllegalStateException("the module decided out of turn: " + decision);
            }
            currentDecision = decision;
        }

        @Override
        public void send(long id, String host, long timeoutUs, long beginBy) {
            decide(id, new Decision.Send(nextAttempt, host, timeoutUs, beginBy));
        }

        @Override
        public void refuse(long id, long pauseUs) {
            decide(id, new Decision.Refuse(pauseUs));
        }

        @Override
        public void fail(long id) {
            decide(id, new Decision.Fail());
        }

        @Override
        public void timer(long afterUs, long token) {
            timers.add(new Timer(clock.getAsLong() + afterUs, timersCreated++, token));
        }

        @Override
        public void watchFleet(boolean on) {
            listWanted = on;
            Facade.this.notifyAll();
        }

        @Override
        public void log(String line) {
            long now = clock.getAsLong();
            if (now >= nextModuleLogUs) {
                nextModuleLogUs = now + MODULE_LOG_INTERVAL_US;
                logLines.add(line);
            }
        }

        @Override
        public void cancel(long id, int attempt) {
            cancellations.add(new AttemptCancellation(id, attempt));
        }

        // The module asks for none of these. Should it begin to, the network has to learn them first.

        @Override
        public void fetchFleet() {
            throw new UnsupportedOperationException("fetchFleet");
        }

        @Override
        public void probe(String host) {
            throw new UnsupportedOperationException("probe");
        }

        @Override
        public void closeIdle(String host) {
            throw new UnsupportedOperationException("closeIdle");
        }

        @Override
        public void tell(int position, byte[] note) {
            throw new UnsupportedOperationException("tell");
        }
    }
}
