package dapplequay.facade;

import dapplequay.Balance;
import dapplequay.BalancerApi;
import dapplequay.BalancerApi.BodyStage;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Request;
import dapplequay.membership.ListSubscription;
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
 * A synchronous, thread-safe front of the decision module: each method takes the one lock, passes an event to the
 * module and returns the decision that follows. No method but {@link #awaitListWanted} blocks on anything but the lock.
 * The class knows no protocol. It catches what the module throws, counts it, logs it with its stack trace and fails the
 * current request; later requests are not affected.
 */
public final class Facade {
    /** Delay until a timer at which the module threw is delivered again, so that periodic work does not stop. */
    private static final long TIMER_RETRY_US = 1_000_000;
    /** Minimum interval between two logged stack traces; every fault is counted. */
    private static final long FAULT_LOG_INTERVAL_US = 1_000_000;
    /** Longest single wait of {@link #awaitListWanted}, which is also notified. */
    private static final long MAX_WAIT_MS = 60_000;
    /** Minimum interval between two log lines of the module. */
    private static final long MODULE_LOG_INTERVAL_US = 1_000_000;
    /** The prefix of log lines about exceptions of the decision module. */
    public static final String FAULT_PREFIX = "the decision module threw: ";

    private Setup setup;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final BalancerApi module;
    private final ListSubscription subscription;
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

    /** An attempt to abandon. Its end is reported with {@link #reportAttempt} like any other. */
    public record AttemptCancellation(long id, int attempt) { }

    private record Timer(long atUs, long sequence, long token) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Creates a facade of a new {@link Balance}.
     *
     * @param clock returns Unix time in microseconds
     * @param log   takes the module's log lines; called without the lock held
     */
    public Facade(Setup setup, long seed, LongSupplier clock, Consumer<String> log) {
        this(setup, seed, clock, log, actions -> new Balance(setup.settings(), seed, actions));
    }

    /** Creates a facade of another module, for tests. */
    Facade(Setup setup, long seed, LongSupplier clock, Consumer<String> log,
            Function<BalancerApi.Actions, BalancerApi> module) {
        this.setup = setup;
        this.clock = clock;
        this.log = log;
        ModuleActions actions = new ModuleActions();
        this.module = module.apply(actions);
        subscription = new ListSubscription(setup.settings(), seed, actions);
        listWanted = isPushed(setup);
    }

    // In the simulator a pushed list arrives by itself, and the module requests none. Here a local agent holds the list
    // until it is asked, and its content counts as announced: so the list is requested from the start.
    private static boolean isPushed(Setup setup) {
        return !setup.settings().discovery().onRequest();
    }

    /**
     * Returns an id for a new request. Client ids are not used: the module's ids stay below 2^52, while client ids use
     * all 64 bits and could collide.
     */
    public synchronized long nextRequestId() {
        return ++lastRequestId;
    }

    /**
     * Replaces the settings. Learned state is kept, and requests in progress keep their class and attempts.
     *
     * @throws IllegalArgumentException if the settings are invalid or change the zones; nothing is changed then
     */
    public synchronized void updateSettings(Setup next) {
        next.settings().check(setup.settings());
        beginCall(0, 0);
        // The module knows classes and tenants by index, so both sides have to switch together.
        setup = next;
        runGuarded(() -> module.reconfigure(clock.getAsLong(), next.settings()));
        subscription.configure(next.settings());
        if (isPushed(next)) {
            requestListNow();
        }
    }

    /** Returns the first decision for a new request; refuses one whose class or tenant was just removed. */
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
            module.request(now, new Request(id, serviceClass, tenant, request.key(), request.remainingUs(),
                    request.costHintUs(), request.clientRetry()));
            if (request.streamsBody() && currentDecision instanceof Decision.Send) {
                module.bodyProgress(now, id, BodyStage.ARRIVING);
            }
        });
        return succeeded ? currentDecision : abandon(now, id, false);
    }

    /** Ends a request that the module failed to decide: no further attempt is sent. */
    private Decision abandon(long now, long id, boolean clientDone) {
        beginCall(0, 0);
        runGuarded(() -> module.clientLeft(now, id));
        return clientDone ? new Decision.NoAction() : new Decision.Fail();
    }

    /** Calls the module; returns false if it threw. */
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

    /** Returns the number of exceptions that the module threw since the start. */
    public synchronized long moduleFaults() {
        return faults;
    }

    /** Records that an attempt is no longer queued in the sidecar: from now on it waits for its upstream. */
    public synchronized void attemptStarted(long id) {
        beginCall(0, 0);
        runGuarded(() -> module.attemptStarted(clock.getAsLong(), id));
    }

    /** Records that the last byte of a streamed request was sent; its processing time starts now. */
    public synchronized void requestBodySent(long id) {
        beginCall(0, 0);
        runGuarded(() -> module.bodyProgress(clock.getAsLong(), id, BodyStage.COMPLETE));
    }

    /**
     * Records how an attempt ended and returns what to do next. If the body can't be replayed, no other attempt
     * follows.
     *
     * @param tookUs     how long the attempt took, microseconds
     * @param clientDone true if the client has its answer or has disconnected
     * @param load       the load that the host reported, or null
     */
    public synchronized Decision reportAttempt(long id, int attempt, String host, AttemptEnd end, long tookUs,
                                               boolean clientDone, HostLoad load, RequestBodyState bodyState) {
        beginCall(id, attempt + 1);
        long now = clock.getAsLong();
        boolean answered = clientDone || end == AttemptEnd.SERVED;
        boolean succeeded = runGuarded(() -> {
            if (bodyState == RequestBodyState.STREAMING_UNREPLAYABLE) {
                module.bodyProgress(now, id, BodyStage.BUFFER_EXCEEDED);
            }
            module.outcome(now, id, attempt, host, end.outcome, tookUs, answered,
                    load == null ? null : new LoadReport(load.queue(), load.inFlight()));
            if (bodyState == RequestBodyState.STREAMING_REPLAYABLE && currentDecision instanceof Decision.Send) {
                module.bodyProgress(now, id, BodyStage.ARRIVING);
            }
        });
        return succeeded ? currentDecision : abandon(now, id, answered);
    }

    /** Does the same for a request whose body is completely buffered. */
    public Decision reportAttempt(long id, int attempt, String host, AttemptEnd end, long tookUs, boolean clientDone,
                                  HostLoad load) {
        return reportAttempt(id, attempt, host, end, tookUs, clientDone, load, RequestBodyState.BUFFERED);
    }

    /** Records that the client disconnected; a pending attempt is still reported when it ends. */
    public synchronized void clientGone(long id) {
        beginCall(0, 0);
        runGuarded(() -> module.clientLeft(clock.getAsLong(), id));
    }

    /** Returns how many listed hosts get no regular traffic now; 0 if the module throws. */
    public synchronized int hostsOutOfRotation() {
        int[] count = new int[1];
        runGuarded(() -> count[0] = module.outOfRotationCount());
        return count[0];
    }

    /**
     * Passes an update of the server list to the module.
     *
     * @throws IllegalArgumentException if an entry has an unknown zone; nothing is changed then
     * @throws IllegalStateException if the module threw
     */
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
            throw new IllegalStateException("the list could not be applied");
        }
        subscription.listReceived(kind);
    }

    /** Delivers the timers that are due and writes pending log lines; returns the attempts to abandon now. */
    public List<AttemptCancellation> tick() {
        List<AttemptCancellation> cancelNow = new ArrayList<>();
        tick(cancelNow);
        // Without the lock, so that a blocked log reader does not block decisions.
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
            if (!subscription.timerFired(token) && !runGuarded(() -> module.timerFired(now, token))) {
                timers.add(new Timer(now + TIMER_RETRY_US, timersCreated++, token));
            }
        }
        cancelNow.addAll(cancellations);
        cancellations.clear();
    }

    /**
     * Waits until the module wants the server list, but no longer than {@code atMostUs}. From then on the list counts
     * as wanted until a call to discovery has failed.
     */
    public synchronized void awaitListWanted(long atMostUs) throws InterruptedException {
        long begunUs = clock.getAsLong();
        while (!listWanted) {
            long leftUs = atMostUs - (clock.getAsLong() - begunUs);
            if (leftUs <= 0) {
                listWanted = true;     // the next call may succeed, and then no timer sets this
                return;
            }
            wait(Math.max(1, Math.min(leftUs / 1_000, MAX_WAIT_MS)));
        }
    }

    /** Ends the wait in {@link #awaitListWanted}: discovery has another address, which has to be asked at once. */
    public synchronized void requestListNow() {
        listWanted = true;
        notifyAll();
    }

    private void beginCall(long id, int attempt) {
        currentRequestId = id;
        nextAttempt = attempt;
        currentDecision = new Decision.NoAction();
    }

    /** Takes the actions of the module and keeps the decision for the current call. */
    private final class ModuleActions implements BalancerApi.Actions {
        private void decide(long id, Decision decision) {
            if (id != currentRequestId || !(currentDecision instanceof Decision.NoAction)) {
                throw new IllegalStateException(
                        "the module decided twice, or for a request that is not the current one: " + decision);
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
        public void setTimer(long afterUs, long token) {
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

        // The module never requests these. The network code has to implement them first.

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
        public void sendToPeer(int position, byte[] note) {
            throw new UnsupportedOperationException("sendToPeer");
        }
    }
}
