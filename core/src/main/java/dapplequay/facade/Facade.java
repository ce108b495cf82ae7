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
 * The decision module in blocking style: each call takes the one lock, tells the module, and returns what is
 * to be done. No call waits for anything but the lock, save {@link #awaitWatch}. It knows no protocol. What the module
 * throws ends here: it is counted and told with its trace, the request in hand fails, and the next is decided as ever.
 */
public final class Facade {
    /** A timer whose event the module could not take comes again after this, us: what repeats must not stop. */
    private static final long TIMER_AGAIN_US = 1_000_000;
    /** At least this long between two faults that are told with their traces, us; all are counted. */
    private static final long FAULT_GAP_US = 1_000_000;
    /** Between two looks, ms, of who waits for the module to want the list: it is woken anyhow. */
    private static final long LONGEST_WAIT_MS = 60_000;
    /** At least this long between two lines of the module's, us. */
    private static final long LINE_GAP_US = 1_000_000;
    /** How a line begins that tells of a fault. */
    public static final String FAULT = "the decision module threw: ";

    private Setup setup;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final BalancerApi module;
    private final ListSubscription asking;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Cut> cuts = new ArrayList<>();
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private long timersSet;
    private long lastId;
    private long inHand;
    private int sends;
    private Decision decided;
    private boolean watchWanted;
    private long faults;
    private long nextFaultAt = Long.MIN_VALUE;
    private long nextLineAt = Long.MIN_VALUE;

    /** An attempt that is not to be waited for any longer; its end is reported like any other. */
    public record Cut(long id, int attempt) { }

    private record Timer(long atUs, long number, long token) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
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
        Taken actions = new Taken();
        this.module = module.apply(actions);
        asking = new ListSubscription(setup.settings(), seed, actions);
        watchWanted = isPushed(setup);
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
    public synchronized long nextId() {
        return ++lastId;
    }

    /**
     * Other settings from now on. What has been learnt stays, and requests under way keep their class and attempts.
     * IllegalArgumentException, and no change, where they make no sense, or would change the zones.
     */
    public synchronized void retune(Setup next) {
        next.settings().check(setup.settings());
        begin(0, 0);
        // Classes and tenants go by their places in the settings: both sides go over, or each call would meet another.
        setup = next;
        guarded(() -> module.reconfigure(clock.getAsLong(), next.settings()));
        asking.configure(next.settings());
        if (isPushed(next)) {
            watchAnew();
        }
    }

    /** The first decision for a new request; one whose class or tenant has just vanished is refused. */
    public synchronized Decision pick(long id, Call call) {
        Integer serviceClass = setup.classes().get(call.serviceClass());
        Integer tenant = call.tenant() == null || setup.tenants().isEmpty() ? Integer.valueOf(-1)
                : setup.tenants().get(call.tenant());
        if (serviceClass == null || tenant == null) {
            return new Decision.Refuse(0);
        }
        begin(id, 0);
        long now = clock.getAsLong();
        boolean sound = guarded(() -> {
            module.request(now, new Request(id, serviceClass, tenant, call.key(), call.leftUs(), call.costHintUs(),
                    call.clientRetry()));
            if (call.upload() && decided instanceof Decision.Send) {
                module.bodyProgress(now, id, BodyStage.ARRIVING);
            }
        });
        return sound ? decided : givenUp(now, id, false);
    }

    /** What the module owes an answer for and can't decide: nothing more of it goes out. */
    private Decision givenUp(long now, long id, boolean over) {
        begin(0, 0);
        guarded(() -> module.clientLeft(now, id));
        return over ? new Decision.Rest() : new Decision.Fail();
    }

    /** One call of the module's; false where it threw. */
    private boolean guarded(Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            faults++;
            long now = clock.getAsLong();
            if (now >= nextFaultAt) {
                nextFaultAt = now + FAULT_GAP_US;
                StringWriter trace = new StringWriter();
                e.printStackTrace(new PrintWriter(trace, true));
                lines.add(FAULT + trace.toString().strip());
            }
            return false;
        }
    }

    /** How often the module has thrown since the start. */
    public synchronized long faults() {
        return faults;
    }

    /** The request's attempt is held back no longer: what it waits for from now on is its upstream's doing. */
    public synchronized void attemptStarted(long id) {
        begin(0, 0);
        guarded(() -> module.attemptStarted(clock.getAsLong(), id));
    }

    /** The last byte of a long request was written to its attempt: its time begins now. */
    public synchronized void uploaded(long id) {
        begin(0, 0);
        guarded(() -> module.bodyProgress(clock.getAsLong(), id, BodyStage.COMPLETE));
    }

    /**
     * How an attempt ended, and what is to be done now. {@code over}: the client has its answer, or has left.
     * {@code load} may be null. Where some of the request was passed on that is not held, no other attempt follows.
     */
    public synchronized Decision report(long id, int attempt, String host, AttemptEnd end, long tookUs, boolean over,
                                        HostLoad load, Upload body) {
        begin(id, attempt + 1);
        long now = clock.getAsLong();
        boolean answered = over || end == AttemptEnd.SERVED;
        boolean sound = guarded(() -> {
            if (body == Upload.PASSED_ON) {
                module.bodyProgress(now, id, BodyStage.BUFFER_EXCEEDED);
            }
            module.outcome(now, id, attempt, host, end.outcome, tookUs, answered,
                    load == null ? null : new LoadReport(load.queue(), load.inFlight()));
            if (body == Upload.COMING && decided instanceof Decision.Send) {
                module.bodyProgress(now, id, BodyStage.ARRIVING);
            }
        });
        return sound ? decided : givenUp(now, id, answered);
    }

    /** The same for a request that was held whole. */
    public Decision report(long id, int attempt, String host, AttemptEnd end, long tookUs, boolean over,
                           HostLoad load) {
        return report(id, attempt, host, end, tookUs, over, load, Upload.NONE);
    }

    /** The client has left; an attempt that is still out is reported when it has ended. */
    public synchronized void clientGone(long id) {
        begin(0, 0);
        guarded(() -> module.clientLeft(clock.getAsLong(), id));
    }

    /** How many listed hosts get no ordinary traffic at present; 0 where the module can't say. */
    public synchronized int passedOver() {
        int[] count = new int[1];
        guarded(() -> count[0] = module.outOfRotationCount());
        return count[0];
    }

    /** IllegalArgumentException, and no change, where a line names a zone that the settings do not. */
    public synchronized void news(ListNews news) {
        List<FleetEntry> entries = new ArrayList<>(news.lines().size());
        for (ListNews.Line line : news.lines()) {
            HostState state = switch (line.state()) {
                case SERVING -> HostState.READY;
                case DRAINING -> HostState.DRAINING;
                case DELETED -> HostState.REMOVED;
            };
            int zone = setup.settings().zones().indexOf(line.zone());
            if (zone < 0 && state != HostState.REMOVED) {
                throw new IllegalArgumentException("unknown zone " + line.zone());
            }
            entries.add(new FleetEntry(line.uid(), zone, line.cell(), state, line.weight(),
                    line.bootMs() * 1000));
        }
        ListKind kind = switch (news.kind()) {
            case CHANGES -> ListKind.DELTA;
            case WHOLE -> ListKind.FULL;
            case RESTORED -> ListKind.RESTORED;
            case FAILED -> ListKind.FAILED;
        };
        if (kind == ListKind.FAILED) {
            watchWanted = false;
        }
        begin(0, 0);
        if (kind != ListKind.FAILED && !guarded(() -> module.fleet(clock.getAsLong(), kind, entries))) {
            throw new IllegalStateException("the list could not be taken over");
        }
        asking.listReceived(kind);
    }

    /** Gives the module its timers that are due; returns the attempts that are to be cut now. */
    public List<Cut> tick() {
        List<Cut> now = new ArrayList<>();
        tick(now);
        // Outside the lock: where the log's reader is stuck, the decisions must not wait for it.
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            log.accept(line);
        }
        return now;
    }

    private synchronized void tick(List<Cut> cutNow) {
        long now = clock.getAsLong();
        while (!timers.isEmpty() && timers.peek().atUs() <= now) {
            begin(0, 0);
            long token = timers.poll().token();
            if (!asking.timerFired(token) && !guarded(() -> module.timerFired(now, token))) {
                timers.add(new Timer(now + TIMER_AGAIN_US, timersSet++, token));
            }
        }
        cutNow.addAll(cuts);
        cuts.clear();
    }

    /**
     * Waits until the module wants the list watched, but no longer than {@code atMostUs}; then it is taken to want
     * it. It goes on wanting that until a watch has failed.
     */
    public synchronized void awaitWatch(long atMostUs) throws InterruptedException {
        long begunUs = clock.getAsLong();
        while (!watchWanted) {
            long leftUs = atMostUs - (clock.getAsLong() - begunUs);
            if (leftUs <= 0) {
                watchWanted = true;     // the call that now follows may bring a list, and no timer would say so then
                return;
            }
            wait(Math.max(1, Math.min(leftUs / 1_000, LONGEST_WAIT_MS)));
        }
    }

    /** The list is to be had elsewhere from now on: asked there at once, whatever pause was under way. */
    public synchronized void watchAnew() {
        watchWanted = true;
        notifyAll();
    }

    private void begin(long id, int attempts) {
        inHand = id;
        sends = attempts;
        decided = new Decision.Rest();
    }

    /** The module's actions, kept until the call in hand returns them. */
    private final class Taken implements BalancerApi.Actions {
        private void decide(long id, Decision decision) {
            if (id != inHand || !(decided instanceof Decision.Rest)) {
                throw new IllegalStateException("the module decided out of turn: " + decision);
            }
            decided = decision;
        }

        @Override
        public void send(long id, String host, long timeoutUs, long beginBy) {
            decide(id, new Decision.Send(sends, host, timeoutUs, beginBy));
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
            timers.add(new Timer(clock.getAsLong() + afterUs, timersSet++, token));
        }

        @Override
        public void watchFleet(boolean on) {
            watchWanted = on;
            Facade.this.notifyAll();
        }

        @Override
        public void log(String line) {
            long now = clock.getAsLong();
            if (now >= nextLineAt) {
                nextLineAt = now + LINE_GAP_US;
                lines.add(line);
            }
        }

        @Override
        public void cancel(long id, int attempt) {
            cuts.add(new Cut(id, attempt));
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
        public void sendToPeer(int position, byte[] note) {
            throw new UnsupportedOperationException("sendToPeer");
        }
    }
}
