package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.http.Sockets;
import dapplequay.lifecycle.Ending;
import dapplequay.management.Counts;
import dapplequay.management.DiscoveryFigures;
import dapplequay.management.Exposition;
import dapplequay.management.ManagementSide;
import dapplequay.membership.ListClock;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.Deadlines;
import dapplequay.time.ProcessorTime;
import dapplequay.time.UnixClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One sidecar: puts the parts together, starts and ends them. */
public final class Sidecar {
    private static final Logger LOG = Logger.getLogger(Sidecar.class.getName());
    /** Descriptors kept for the program itself, the listener and discovery; the JVM has two dozen open. */
    private static final int RESERVED_DESCRIPTORS = 32 + DiscoveryClient.MAX_SUPERSEDED_CALLS;
    /** Clients' share of the others. */
    private static final double CLIENT_SHARE = 0.55;
    /** Of all descriptors: once clients hold so many there is a crowd. */
    private static final double CROWD_SHARE_OF_DESCRIPTORS = 0.25;
    /** The same of the clients that there may be, for a process that may hold far fewer as it has half of all. */
    private static final double CROWD_SHARE_OF_CLIENTS = 0.75;
    /** What the process takes without connections, and each of these with its thread and its buffer. */
    private static final double BASE_MEMORY_MB = 75;
    private static final double MEMORY_PER_CONNECTION_MB = 0.11;
    private static final int MIN_LIMIT = 4;
    private static final int UPLOADS_PER_CORE = 64;
    private static final long TICK_US = 10_000;
    /** Between two looks at the processor time that was used, us: it is counted in steps of 10 ms. */
    private static final long PROCESSOR_SAMPLE_US = 150_000;
    /** Turns between two looks at what the module passes over. */
    private static final int TICKS_PER_PASSED_OVER_CHECK = 10;

    private final Deadlines deadlines;
    private final Facade facade;
    private final Options options;
    private final Conductor conductor;
    private final Endpoints endpoints;
    private final DiscoveryClient discovery;
    private final DiscoveryFigures figures = new DiscoveryFigures();
    private final UpstreamSide upstreams;
    private final Counts counts = new Counts();
    private final SidecarLifecycle lifecycle;
    private final Headroom headroom;
    private final ThreadReserve threads;
    private long lastSampleUs;
    private long lastUsedUs;
    private final AtomicLong acceptedConfigs = new AtomicLong();
    private final AtomicLong rejectedConfigs = new AtomicLong();
    private volatile Setup setup;
    private volatile int passedOver;
    private volatile ClientListener clientListener;
    private volatile ManagementSide management;
    private final ListeningSocket.Opener opener;
    /** Held while the door is opened, and while an ending begins: one of the two comes first. */
    private final Object openingLock = new Object();
    /** When the end was ordered, us; 0 while it was not. */
    private long endingSinceUs;

    /**
     * What a start needs. {@code known} is a tree in discovery's form, or null where none was kept; {@code management}
     * is the second address, or null where there is none.
     */
    public record Options(InetSocketAddress listen, InetSocketAddress management, InetSocketAddress discovery, long seed,
                       double cores, int sockets, int memoryMb, Object knownList, Setup setup, boolean inheritsListener) {
        /** The same with another list to begin with. */
        public Options withKnownList(Object list) {
            return new Options(listen, management, discovery, seed, cores, sockets, memoryMb, list, setup, inheritsListener);
        }

        /**
         * Connections of both sides together that the limits allow this process. Where it shares its door, it has half
         * of what is left for two: neither knows of the other, and idle clients fill what each takes.
         */
        int maxConnections() {
            int processCount = inheritsListener ? 2 : 1;
            double byMemory = (memoryMb - processCount * BASE_MEMORY_MB) / MEMORY_PER_CONNECTION_MB;
            int reservedDescriptors = RESERVED_DESCRIPTORS + (management == null ? 0 : ManagementSide.DESCRIPTORS);
            return (int) Math.max(MIN_LIMIT, Math.min(sockets - processCount * reservedDescriptors, byMemory) / processCount);
        }

        /** Of clients. */
        int maxClients() {
            return (int) (maxConnections() * CLIENT_SHARE);
        }

        /** From so many clients on there is a crowd. */
        int crowdThreshold() {
            int crowdThreshold = (int) (sockets * CROWD_SHARE_OF_DESCRIPTORS);
            return inheritsListener ? Math.min(crowdThreshold, (int) (maxClients() * CROWD_SHARE_OF_CLIENTS)) : crowdThreshold;
        }

        /**
         * Long requests that may come at once. Each holds two connections with their threads for as long as its client
         * needs, and where a process is held to a share of a core, each thread costs some of that share.
         */
        int maxUploads() {
            return Math.max(MIN_LIMIT, (int) (cores * UPLOADS_PER_CORE));
        }

        /** To upstreams. */
        int maxUpstreams() {
            return maxConnections() - maxClients();
        }
    }

    /**
     * What outlives the process. {@code binds}: the known list is this sidecar's own last word, so that an older one
     * takes nothing back; {@code keep} is given the list in discovery's form whenever it was heard, and may not block.
     */
    public record ListPersistence(boolean isBinding, Consumer<Supplier<byte[]>> save) {
        public static final ListPersistence NONE = new ListPersistence(false, list -> { });
    }

    /** For so long after it was heard, us, a kept list's version counts. */
    public static long versionValidityUs() {
        return DiscoveryClient.VERSION_VALIDITY_US;
    }

    /** One that keeps nothing. */
    public Sidecar(Options options) throws IOException {
        this(options, ListPersistence.NONE);
    }

    /** Listens at no address yet; IOException where the known list is no good. */
    public Sidecar(Options options, ListPersistence persistence) throws IOException {
        this(options, persistence, () -> options.inheritsListener() ? new ListeningSocket.Inherited() : new ListeningSocket.Owned(options.listen()));
    }

    /** With another way to open the door, as tests have it. */
    Sidecar(Options options, ListPersistence persistence, ListeningSocket.Opener opener) throws IOException {
        this.options = options;
        this.opener = opener;
        UnixClock clock = new UnixClock();
        deadlines = new Deadlines(clock);
        setup = options.setup();
        facade = new Facade(setup, options.seed(), clock, Sidecar::logModuleLine);
        lifecycle = new SidecarLifecycle(clock);
        headroom = new Headroom(options.cores());
        threads = new ThreadReserve(clock);
        counts.know(setup.classes().keySet());
        endpoints = restoreEndpoints(options, facade, persistence.isBinding());
        upstreams = new UpstreamSide(endpoints, deadlines, () -> setup, options.maxUpstreams(), counts, figures);
        conductor = new Conductor(facade, upstreams);
        upstreams.conductor(conductor);
        upstreams.onThreadShortage(threads::reportShortage);
        ListClock listClock = new ListClock(() -> setup.settings().discovery(), new SplittableRandom(options.seed()));
        discovery = new DiscoveryClient(options.discovery(), endpoints, facade, upstreams, persistence, listClock, clock, figures);
    }

    private static void logModuleLine(String line) {
        LOG.log(line.startsWith(Facade.FAULT) ? Level.SEVERE : Level.INFO, "{0}", line);
    }

    private static Endpoints restoreEndpoints(Options options, Facade facade, boolean isBinding) throws IOException {
        Endpoints endpoints = new Endpoints(!isBinding);
        List<ListNews.Line> lines = List.of();
        if (options.knownList() != null) {
            Endpoints.Update knownList = Endpoints.read(options.knownList());
            endpoints.restore(knownList);
            lines = knownList.news().lines();
        }
        facade.news(new ListNews(ListNews.Kind.RESTORED, lines));
        return endpoints;
    }

    /** Whether a sidecar could be made of this, as far as that shows without listening. */
    public static void check(Options options) throws IOException {
        restoreEndpoints(options, new Facade(options.setup(), options.seed(), new UnixClock(), Sidecar::logModuleLine), false);
    }

    public InetSocketAddress address() {
        return clientListener.address();
    }

    /** The second address, or null. */
    public InetSocketAddress managementAddress() {
        return management == null ? null : management.address();
    }

    /**
     * Serves from here on; IOException where an address is not to be had. The management address answers first, so
     * that whoever waits for the clients' is told "not yet" and not left alone. Where the end was ordered meanwhile,
     * clients are not let in any more: what the system accepts for them counts as taken.
     */
    public void start() throws IOException {
        startDaemon(this::runTimekeeper, "timekeeper");
        if (options.management() != null) {
            management = new ManagementSide(options.management(), deadlines, new Service());
            startDaemon(management, "management");
        }
        new WarmUp(options.setup(), deadlines).run();
        synchronized (openingLock) {
            if (endingSinceUs != 0) {
                LOG.info("told to end before it served");
                return;
            }
            clientListener = new ClientListener(opener.open(), () -> setup, facade, conductor, deadlines, counts, lifecycle,
                    headroom, options.maxClients(), options.crowdThreshold(), options.maxUploads(), threads);
            startDaemon(discovery, "discovery");
            new Thread(clientListener, "listener").start();
            lifecycle.listening();
        }
        LOG.log(Level.INFO, "serving on {0}", Sockets.text(address()));
    }

    /** What the management address is about. */
    private final class Service implements ManagementSide.Service {
        @Override
        public boolean isReady() {
            return lifecycle.isReadyForClients();
        }

        @Override
        public String figures() {
            return Exposition.text(counts.read(),
                    new Exposition.Gauges(endpoints.size(), passedOver, acceptedConfigs.get(), rejectedConfigs.get(),
                            facade.faults())) + figures.text();
        }

        @Override
        public void drain() {
            LOG.info("drain: clients are sent away");
            lifecycle.drain();
        }

        @Override
        public boolean resume() {
            LOG.info("resume");
            return lifecycle.resume();
        }
    }

    /** How long ago a thread could not be started the last time, microseconds; Long.MAX_VALUE: never. */
    public long sinceThreadShortageUs() {
        long shortUs = threads.lastShortageUs();
        return shortUs == Long.MIN_VALUE ? Long.MAX_VALUE : deadlines.now() - shortUs;
    }

    /** A configuration was taken over, or turned down. */
    public void recordReload(boolean accepted) {
        (accepted ? acceptedConfigs : rejectedConfigs).incrementAndGet();
    }

    /**
     * Goes over to what may change while it serves: settings and discovery. Requests under way are not touched.
     * IllegalArgumentException, and nothing is changed, where the settings make no sense here. Returns what differs
     * and takes a restart.
     */
    public List<String> reload(Options newOptions) {
        facade.retune(newOptions.setup());            // before the clients' side: no class is let in that is not known
        counts.know(newOptions.setup().classes().keySet());
        setup = newOptions.setup();
        discovery.moveTo(newOptions.discovery());
        List<String> restartFields = new ArrayList<>();
        if (!newOptions.listen().equals(options.listen())) {
            restartFields.add("listen");
        }
        if (!Objects.equals(newOptions.management(), options.management())) {
            restartFields.add("management");
        }
        if (newOptions.sockets() != options.sockets() || newOptions.memoryMb() != options.memoryMb()) {
            restartFields.add("limits");
        }
        return restartFields;
    }

    private static void startDaemon(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Each turn: the module's timers, then the deadlines. One that fails is told, and the next follows. */
    private void runTimekeeper() {
        for (long tick = 0; ; tick++) {
            try {
                conductor.cut(facade.tick());
                deadlines.sweep();
                discovery.tick(deadlines.now());
                threads.tick();
                if (management != null && tick % TICKS_PER_PASSED_OVER_CHECK == 0) {
                    passedOver = facade.passedOver();
                }
                ClientListener listener = clientListener;
                if (listener != null) {
                    listener.tick();
                }
                headroom.turn(deadlines.await(TICK_US));
                sampleProcessorTime();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                logTickFailure(e);
            }
        }
    }

    /** All deadlines hang on the timekeeper: it goes on also where a fault can't even be told, as memory is short. */
    private static void logTickFailure(Throwable fault) {
        try {
            LOG.log(Level.SEVERE, "the timekeeper's turn failed", fault);
        } catch (RuntimeException | Error e) {
            // The next turn may be able to.
        }
        LockSupport.parkNanos(TICK_US * 1_000);
    }

    /** Only while long bodies pass: nobody else gives way. */
    private void sampleProcessorTime() {
        long nowUs = deadlines.now();
        if (nowUs - lastSampleUs < PROCESSOR_SAMPLE_US || !Pieces.areInUse()) {
            return;
        }
        long totalUsedUs = ProcessorTime.usedUs();
        if (nowUs - lastSampleUs < 2 * PROCESSOR_SAMPLE_US) {
            headroom.used(totalUsedUs - lastUsedUs, nowUs - lastSampleUs);
        }
        lastSampleUs = nowUs;
        lastUsedUs = totalUsedUs;
    }

    /** By then, us after the order, an ending has to be over whatever stands still. */
    public long maxEndingUs() {
        return ending().latestUs();
    }

    private Ending ending() {
        return Ending.of(setup.shortestAimUs(), setup.longestDeadlineUs());
    }

    /** Ends in order, and returns when nothing is held any more. Called again, it goes on by the first call's times. */
    public void end() throws InterruptedException {
        end(ending());
    }

    void end(Ending requested) throws InterruptedException {
        long nowUs = deadlines.now();
        ClientListener listener;
        synchronized (openingLock) {
            endingSinceUs = endingSinceUs == 0 ? nowUs : endingSinceUs;
            nowUs = endingSinceUs;
            listener = clientListener;
        }
        if (listener != null) {
            boolean sharesSocket = listener.stopIfShared();
            Ending ending = sharesSocket ? requested.handingOver() : requested;
            LOG.info(sharesSocket ? "ending: a successor takes the clients"
                    : "ending: who has a connection is still served");
            lifecycle.end(ending.serveUs());
            listener.awaitEmpty(nowUs + ending.lateUs(), nowUs + ending.heldUs(), nowUs + ending.closedUs());
        }
        // A process whose threads stay in their reads is gone only a third of a second later.
        discovery.end();
        upstreams.closeAllIdle();
        if (management != null) {
            management.close();
        }
        LOG.info("ended");
    }
}
