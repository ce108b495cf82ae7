package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListUpdate;
import dapplequay.http.Sockets;
import dapplequay.lifecycle.ShutdownSchedule;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.management.ManagementServer;
import dapplequay.management.MetricsText;
import dapplequay.management.RequestCounts;
import dapplequay.membership.ListCallTiming;
import dapplequay.settings.SettingsReader.Setup;
import dapplequay.time.DeadlineQueue;
import dapplequay.time.ProcessCpuTime;
import dapplequay.time.UnixClock;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
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

/** One sidecar: creates its parts, starts them and ends them. */
public final class Sidecar {
    private static final Logger LOG = Logger.getLogger(Sidecar.class.getName());
    /**
     * Descriptors reserved for the program itself, the listening socket and discovery; the JVM has about two dozen
     * open.
     */
    private static final int RESERVED_DESCRIPTORS = 32 + DiscoveryClient.MAX_SUPERSEDED_CALLS;
    /** The clients' share of the remaining descriptors. */
    private static final double CLIENT_SHARE = 0.55;
    /** Clients are crowded once they hold this share of all descriptors. */
    private static final double CROWD_SHARE_OF_DESCRIPTORS = 0.25;
    /**
     * Clients are also crowded at this share of their own limit, if the process shares its socket: its limit is then
     * far lower, as it has half of all descriptors.
     */
    private static final double CROWD_SHARE_OF_CLIENTS = 0.75;
    /** Memory of the process without connections, and of each connection with its thread and its buffer, in MB. */
    private static final double BASE_MEMORY_MB = 75;
    private static final double MEMORY_PER_CONNECTION_MB = 0.11;
    /** Lower bound of the limits of connections and of streamed requests. */
    private static final int MIN_LIMIT = 4;
    /** Connections that each process may have however little memory there is; fewer could not serve. */
    private static final int MIN_CONNECTIONS_BY_MEMORY = 32;
    private static final int UPLOADS_PER_CORE = 64;
    private static final long TICK_US = 10_000;
    /**
     * How long clients wait, after the warm-up, for an agent that is silent, in microseconds: it answers at once unless
     * it is away. And how long once its answer has begun.
     */
    private static final long AGENT_SILENT_US = 1_000_000;
    private static final long AGENT_ANSWER_US = 4_000_000;
    /** Interval of the checks of the processor time used, in microseconds; it is counted in steps of 10 ms. */
    private static final long PROCESSOR_SAMPLE_US = 150_000;
    /** Ticks between two updates of the number of servers that are out of rotation. */
    private static final int TICKS_PER_OUT_OF_ROTATION_CHECK = 10;

    private final DeadlineQueue deadlines;
    private final Facade facade;
    private final Options options;
    private final RequestDispatcher dispatcher;
    private final Endpoints endpoints;
    private final DiscoveryClient discovery;
    private final DiscoveryMetrics discoveryMetrics = new DiscoveryMetrics();
    private final UpstreamPool upstreamPool;
    private final RequestCounts counts = new RequestCounts();
    private final SidecarLifecycle lifecycle;
    private final LongBodyThrottle bodyThrottle;
    private final ThreadReserve threads;
    private long lastSampleUs;
    private long lastUsedUs;
    private final AtomicLong acceptedConfigs = new AtomicLong();
    private final AtomicLong rejectedConfigs = new AtomicLong();
    private volatile Setup setup;
    private volatile int hostsOutOfRotation;
    private volatile ClientListener clientListener;
    private volatile ManagementServer management;
    private final ListeningSocket.Opener opener;
    /** Held while the listening socket is opened and while shutdown begins, so that one precedes the other. */
    private final Object openingLock = new Object();
    /** When shutdown was ordered, in microseconds; 0 if it was not. */
    private long endingSinceUs;

    /**
     * What a start needs. {@code knownList} is a list in discovery's JSON form, or null if there is none; {@code
     * management} is the management address, or null if there is none; {@code inheritsListener} says that the listening
     * socket is inherited as descriptor 0 and shared with other processes.
     */
    public record Options(InetSocketAddress listen, InetSocketAddress management, InetSocketAddress discovery,
                       long seed, double cores, int sockets, int memoryMb, Object knownList, Setup setup,
                       boolean inheritsListener) {
        /** Returns a copy that starts with another list. */
        public Options withKnownList(Object list) {
            return new Options(listen, management, discovery, seed, cores, sockets, memoryMb, list, setup,
                    inheritsListener);
        }

        /**
         * Returns how many connections the limits allow this process, to clients and upstreams together. If the
         * listening socket is shared, two processes each have half of what is left for both: neither knows of the
         * other, and idle clients use up all that each allows.
         */
        int maxConnections() {
            int processCount = inheritsListener ? 2 : 1;
            double byMemory = Math.max(processCount * MIN_CONNECTIONS_BY_MEMORY,
                    (memoryMb - processCount * BASE_MEMORY_MB) / MEMORY_PER_CONNECTION_MB);
            int reservedDescriptors = RESERVED_DESCRIPTORS + (management == null ? 0
                    : ManagementServer.MAX_DESCRIPTORS);
            return (int) Math.max(MIN_LIMIT,
                    Math.min(sockets - processCount * reservedDescriptors, byMemory) / processCount);
        }

        /** Returns the limit of client connections. */
        int maxClients() {
            return (int) (maxConnections() * CLIENT_SHARE);
        }

        /** Returns the number of clients from which on they are crowded. */
        int crowdThreshold() {
            int crowdThreshold = (int) (sockets * CROWD_SHARE_OF_DESCRIPTORS);
            return inheritsListener ? Math.min(crowdThreshold, (int) (maxClients() * CROWD_SHARE_OF_CLIENTS))
                    : crowdThreshold;
        }

        /**
         * Returns the limit of concurrent streamed requests. Each holds two connections with their threads for as long
         * as its client takes, and where a process is limited to a share of a core, each thread costs some of that
         * share.
         */
        int maxUploads() {
            return Math.max(MIN_LIMIT, (int) (cores * UPLOADS_PER_CORE));
        }

        /** Returns the limit of connections to upstreams. */
        int maxUpstreams() {
            return maxConnections() - maxClients();
        }
    }

    /**
     * Keeps the list of servers beyond the life of the process. {@code enforcesVersion}: the known list is the last one
     * that this sidecar received, so that an older one restores no server; {@code save} is called with the list in
     * discovery's JSON form whenever one is received, and may not block.
     */
    public record ListPersistence(boolean enforcesVersion, Consumer<Supplier<byte[]>> save) {
        public static final ListPersistence NONE = new ListPersistence(false, list -> { });
    }

    /** Returns how long the version of a kept list counts after it was received, in microseconds. */
    public static long versionValidityUs() {
        return DiscoveryClient.VERSION_VALIDITY_US;
    }

    /** Creates a sidecar that does not keep the list of servers. */
    public Sidecar(Options options) throws IOException {
        this(options, ListPersistence.NONE);
    }

    /** Creates a sidecar that does not listen yet; throws IOException if the known list is invalid. */
    public Sidecar(Options options, ListPersistence persistence) throws IOException {
        this(options, persistence, () -> options.inheritsListener() ? new ListeningSocket.Inherited()
                : new ListeningSocket.Owned(options.listen()));
    }

    /** Opens the listening socket in another way, for tests. */
    Sidecar(Options options, ListPersistence persistence, ListeningSocket.Opener opener) throws IOException {
        this.options = options;
        this.opener = opener;
        UnixClock clock = new UnixClock();
        deadlines = new DeadlineQueue(clock);
        setup = options.setup();
        facade = new Facade(setup, options.seed(), clock, Sidecar::logModuleLine);
        lifecycle = new SidecarLifecycle(clock);
        bodyThrottle = new LongBodyThrottle(options.cores());
        threads = new ThreadReserve(clock);
        counts.addClasses(setup.classes().keySet());
        endpoints = restoreEndpoints(options, facade, persistence.enforcesVersion());
        upstreamPool = new UpstreamPool(endpoints, deadlines, () -> setup, options.maxUpstreams(), counts,
                discoveryMetrics);
        dispatcher = new RequestDispatcher(facade, upstreamPool);
        upstreamPool.setDispatcher(dispatcher);
        upstreamPool.onThreadShortage(threads::reportShortage);
        ListCallTiming callTiming = new ListCallTiming(() -> setup.settings().discovery(),
                new SplittableRandom(options.seed()));
        discovery = new DiscoveryClient(options.discovery(), endpoints, facade, upstreamPool, persistence, callTiming,
                clock, discoveryMetrics);
    }

    private static void logModuleLine(String line) {
        LOG.log(line.startsWith(Facade.FAULT_PREFIX) ? Level.SEVERE : Level.INFO, "{0}", line);
    }

    private static Endpoints restoreEndpoints(Options options, Facade facade, boolean enforcesVersion)
            throws IOException {
        Endpoints endpoints = new Endpoints(!enforcesVersion);
        List<ListUpdate.ServerEntry> entries = List.of();
        if (options.knownList() != null) {
            Endpoints.EndpointUpdate knownList = Endpoints.parse(options.knownList());
            endpoints.restore(knownList);
            entries = knownList.listUpdate().entries();
        }
        facade.applyListUpdate(new ListUpdate(ListUpdate.Kind.RESTORED, entries));
        return endpoints;
    }

    /** Checks, without listening, that a sidecar can be created with this configuration; throws IOException if not. */
    public static void check(Options options) throws IOException {
        restoreEndpoints(options, new Facade(options.setup(), options.seed(), new UnixClock(), Sidecar::logModuleLine),
                false);
    }

    public InetSocketAddress address() {
        return clientListener.address();
    }

    /** Returns the management address, or null if there is none. */
    public InetSocketAddress managementAddress() {
        return management == null ? null : management.address();
    }

    /**
     * Starts serving; throws IOException if an address is not available. The management address is opened first, so
     * that callers learn that the sidecar is not ready yet. Where an agent holds the list of servers, clients are
     * accepted only once its present list is applied, unless the agent is away. If shutdown was ordered meanwhile, no
     * clients are accepted, as each that the system accepts would have to be served.
     */
    public void start() throws IOException {
        startDaemon(this::runTimekeeper, "timekeeper");
        if (options.management() != null) {
            management = new ManagementServer(options.management(), deadlines, new Service());
            startDaemon(management, "management");
        }
        boolean listIsPushed = !setup.settings().discovery().onRequest();
        if (listIsPushed) {
            startDaemon(discovery, "discovery");
        }
        new WarmUp(options.setup(), deadlines).run();
        awaitAgentsList();
        synchronized (openingLock) {
            if (endingSinceUs != 0) {
                LOG.info("told to end before it served");
                return;
            }
            clientListener = new ClientListener(opener.open(), () -> setup, facade, dispatcher, deadlines, counts,
                    lifecycle, bodyThrottle, ClientPlaces.limitWithin(options.maxClients()), options.crowdThreshold(),
                    options.maxUploads(), threads);
            if (options.inheritsListener()) {
                clientListener.shareCallIds(SharedCallIds.open(sharedFolder(), clientListener.address().getPort()));
            }
            if (!listIsPushed) {
                startDaemon(discovery, "discovery");
            }
            new Thread(clientListener, "listener").start();
            lifecycle.listening();
        }
        LOG.log(Level.INFO, "serving on {0}", Sockets.hostAndPort(address()));
    }

    /** Returns the folder for temporary files, which is the same for all processes on one listening socket. */
    private static Path sharedFolder() {
        return Path.of(Objects.requireNonNullElse(System.getenv("TMPDIR"), System.getProperty("java.io.tmpdir")));
    }

    private void awaitAgentsList() throws InterruptedIOException {
        try {
            discovery.awaitAgentsList(AGENT_SILENT_US, AGENT_ANSWER_US);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted before it served");
        }
    }

    /** What the management address reports and controls. */
    private final class Service implements ManagementServer.Service {
        @Override
        public boolean isReady() {
            return lifecycle.isReadyForClients();
        }

        @Override
        public String metrics() {
            return MetricsText.render(counts.read(),
                    new MetricsText.ProcessValues(endpoints.size(), hostsOutOfRotation, acceptedConfigs.get(),
                            rejectedConfigs.get(),
                            facade.moduleFaults())) + discoveryMetrics.text() + counts.lateResponses().text();
        }

        @Override
        public void drain() {
            LOG.info("drain: client connections will be closed");
            lifecycle.drain();
        }

        @Override
        public boolean resume() {
            LOG.info("resume requested");
            return lifecycle.resume();
        }
    }

    /** Returns how long ago a thread last could not be started, in microseconds; Long.MAX_VALUE for never. */
    public long sinceThreadShortageUs() {
        long shortUs = threads.lastShortageUs();
        return shortUs == Long.MIN_VALUE ? Long.MAX_VALUE : deadlines.now() - shortUs;
    }

    /** Counts a configuration that was read again and either accepted or rejected. */
    public void recordReload(boolean accepted) {
        (accepted ? acceptedConfigs : rejectedConfigs).incrementAndGet();
    }

    /**
     * Applies the settings and the discovery address of a new configuration; requests in progress are not affected.
     * Returns the names of the differences that take a restart.
     *
     * @throws IllegalArgumentException if the settings are invalid here; then nothing is changed
     */
    public List<String> reload(Options newOptions) {
        // First, so that the client side accepts no class that the decision module does not know.
        facade.updateSettings(newOptions.setup());
        counts.addClasses(newOptions.setup().classes().keySet());
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

    /**
     * Runs the periodic work: the decision module's timers, the deadlines and other checks. A failure is logged, and
     * the next tick follows.
     */
    private void runTimekeeper() {
        for (long tick = 0; ; tick++) {
            try {
                dispatcher.abort(facade.tick());
                deadlines.runExpired();
                discovery.tick(deadlines.now());
                threads.tick();
                if (management != null && tick % TICKS_PER_OUT_OF_ROTATION_CHECK == 0) {
                    hostsOutOfRotation = facade.hostsOutOfRotation();
                }
                ClientListener listener = clientListener;
                if (listener != null) {
                    listener.tick();
                }
                bodyThrottle.recordWakeUp(deadlines.awaitNext(TICK_US));
                sampleProcessorTime();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                logTickFailure(e);
            }
        }
    }

    /**
     * Logs a failure of the periodic work, on which all deadlines depend. It goes on even if the failure can't be
     * logged for lack of memory.
     */
    private static void logTickFailure(Throwable fault) {
        Logs.severe(LOG, "periodic work of the timekeeper failed", fault);
        LockSupport.parkNanos(TICK_US * 1_000);
    }

    /** Measures the processor time used; only while streamed bodies pass, as only these are slowed down. */
    private void sampleProcessorTime() {
        long nowUs = deadlines.now();
        if (nowUs - lastSampleUs < PROCESSOR_SAMPLE_US || !BodyBuffers.areInUse()) {
            return;
        }
        long totalUsedUs = ProcessCpuTime.usedUs();
        if (nowUs - lastSampleUs < 2 * PROCESSOR_SAMPLE_US) {
            bodyThrottle.recordCpuUse(totalUsedUs - lastUsedUs, nowUs - lastSampleUs);
        }
        lastSampleUs = nowUs;
        lastUsedUs = totalUsedUs;
    }

    /** Returns within what time after the order a shutdown has to be over, in microseconds, even if a step hangs. */
    public long maxEndingUs() {
        return shutdownSchedule().exitByUs();
    }

    private ShutdownSchedule shutdownSchedule() {
        return ShutdownSchedule.of(setup.shortestAimUs(), setup.longestDeadlineUs());
    }

    /**
     * Shuts down in order and returns once no request is in progress, except for long transfers; see {@link
     * #awaitLongTransfers}. A second call uses the times of the first.
     */
    public void end() throws InterruptedException {
        end(shutdownSchedule());
    }

    void end(ShutdownSchedule requested) throws InterruptedException {
        long nowUs = deadlines.now();
        ClientListener listener;
        synchronized (openingLock) {
            endingSinceUs = endingSinceUs == 0 ? nowUs : endingSinceUs;
            nowUs = endingSinceUs;
            listener = clientListener;
        }
        if (listener != null) {
            boolean sharesSocket = listener.stopIfShared();
            ShutdownSchedule schedule = sharesSocket ? requested.forHandover() : requested;
            LOG.info(sharesSocket ? "ending: a successor takes the clients"
                    : "ending: connected clients are still served");
            lifecycle.end(schedule.keepAliveUntilUs());
            listener.awaitEmpty(nowUs + schedule.acceptUntilUs(), nowUs + schedule.answerUntilUs(),
                    nowUs + schedule.closeConnectionsAtUs());
        }
        // Threads that still block in reads would delay the exit of the process by a third of a second.
        discovery.end();
        upstreamPool.closeAllIdle();
        if (management != null) {
            management.close();
        }
        LOG.info("ended");
    }

    /**
     * Waits until the long responses and requests have ended that were in progress at the end of {@link #end}: the
     * platform may leave them the time to complete. They need none of what was closed there.
     */
    public void awaitLongTransfers() throws InterruptedException {
        ClientListener listener;
        synchronized (openingLock) {
            listener = clientListener;
        }
        if (listener != null && listener.places().transferCount() > 0) {
            LOG.log(Level.INFO, "long transfers in progress: {0}; the process exits after them",
                    listener.places().transferCount());
            listener.awaitLongTransfers();
            LOG.info("long transfers have ended");
        }
    }
}
