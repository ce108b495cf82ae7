package dapplequay.lab.fleet;

import dapplequay.lab.fleet.FaultSpec.Kind;
import dapplequay.lab.http.HttpConnection;
import dapplequay.lab.http.MalformedHttpException;
import dapplequay.lab.http.Message;
import dapplequay.lab.loop.EventLoop;
import dapplequay.lab.model.HostModel;
import dapplequay.lab.model.LoadReport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An emulated host: a {@link HostModel} behind one listener for each zone of callers, on its own loopback address.
 * Runs entirely on its loop's thread; the model determines when requests end.
 */
final class HostServer {
    private static final Logger LOG = Logger.getLogger(HostServer.class.getName());
    private static final int BACKLOG = 1024;
    private static final int MAX_BODY = 64 * 1024;
    /** Connections that a host opens to itself to fill the accept queue of a listener, so that connects hang. */
    private static final int QUEUE_FILLERS = 6;
    private static final int IDLE_SWEEP_US = 500_000;
    private static final int SAMPLE_US = 250_000;

    private final FleetSpec fleet;
    private final FleetSpec.Host host;
    private final int index;
    private final EventLoop loop;
    private final FleetLog log;
    private final UniformRandomProvider random;
    private final InetAddress address;
    private final int[] ports;
    private final ServerSocketChannel[] listeners;
    private final List<SocketChannel> queueFillers = new ArrayList<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final List<HostModel.RequestEnd> ended = new ArrayList<>();
    private final HostFaults faults = new HostFaults();
    private HostModel model;
    private EventLoop.Timer wake;
    private long wakeAtUs;
    private long lastId;
    private String uid;
    private boolean up;
    private boolean silent;
    private boolean draining;
    private double workDoneBeforeUs;
    private double wastedWorkBeforeUs;

    /** A request in the model, with the connection that waits for it and its entry in the log. */
    private record Pending(Connection from, FleetLog.Visit visit) { }

    HostServer(FleetSpec fleet, int index, InetAddress address, EventLoop loop, FleetLog log,
               UniformRandomProvider random) {
        this.fleet = fleet;
        this.index = index;
        this.host = fleet.hosts().get(index);
        this.address = address;
        this.loop = loop;
        this.log = log;
        this.random = random;
        uid = host.uid();
        ports = new int[fleet.zones().size()];
        listeners = new ServerSocketChannel[ports.length];
    }

    /** Opens the listeners and starts the model already warmed up. */
    void start(long nowUs) throws IOException {
        startModel(nowUs, false);
        listen(BACKLOG);
        loop.post(this::sweepIdle);
        loop.post(this::sample);
    }

    List<String> endpoints() {
        return Arrays.stream(ports).mapToObj(port -> address.getHostAddress() + ":" + port).toList();
    }

    String uid() {
        return uid;
    }

    private void startModel(long nowUs, boolean cold) {
        carryOverCounts();
        model = new HostModel(host.spec(), random, nowUs, cold);
        up = true;
        silent = false;
        draining = false;
        log.add(new FleetLog.Start(index, uid, nowUs, cold));
        refreshFaults(nowUs);
    }

    /** Adds the model's counts to the host's totals, which outlive the emulated process. */
    private void carryOverCounts() {
        if (model != null) {
            workDoneBeforeUs += model.usefulWorkUs();
            wastedWorkBeforeUs += model.wastedWorkUs();
        }
    }

    private void listen(int backlog) throws IOException {
        loop.releaseClosedSockets();
        for (int zone = 0; zone < ports.length; zone++) {
            int callerZone = zone;
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(new InetSocketAddress(address, ports[zone]), backlog);
            ports[zone] = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            listeners[zone] = listener;
            if (backlog == BACKLOG) {
                loop.post(() -> loop.accept(listener, channel -> accepted(channel, callerZone)));
            }
        }
    }

    private void stopListening() {
        for (ServerSocketChannel listener : listeners) {
            closeQuietly(listener);
        }
        queueFillers.forEach(HostServer::closeQuietly);
        queueFillers.clear();
    }

    private static void closeQuietly(java.nio.channels.Channel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "could not close channel", e);
        }
    }

    /** Makes new connections hang: replaces the listeners by ones that never accept and whose short queue is full. */
    private void makeConnectsHang() throws IOException {
        stopListening();
        listen(1);
        for (ServerSocketChannel listener : listeners) {
            for (int i = 0; i < QUEUE_FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(listener.getLocalAddress());
                queueFillers.add(filler);
            }
        }
    }

    private void accepted(SocketChannel channel, int callerZone) throws IOException {
        Connection connection = new Connection(channel, callerZone);
        if (model.connect(EventLoop.nowUs(), ended)) {
            connection.counted = true;
            log.counts(index).handshakes++;
        } else {
            connection.overConnectionLimit = true;
            log.counts(index).rejectedConnections++;
        }
        connections.add(connection);
        log.counts(index).maxConnections = Math.max(log.counts(index).maxConnections, model.connections());
        connection.register(loop, SelectionKey.OP_READ);
        handleEndedRequests();
    }

    /** Begins a fault at this host. */
    void beginFault(FaultSpec fault, long nowUs) throws IOException {
        faults.begin(fault);
        switch (fault.kind()) {
            case SILENT -> {
                silent = true;
                connections.forEach(Connection::makeSilent);
                makeConnectsHang();
            }
            case REFUSE -> stopListening();
            case HANG -> makeConnectsHang();
            case STOP -> stop();
            case RESTART -> {
                stop();
                restart(nowUs);
            }
            case DRAIN, REPLACE -> draining = true;
            default -> { }
        }
        refreshFaults(nowUs);
    }

    /** Ends a fault at this host. */
    void endFault(FaultSpec fault, long nowUs) throws IOException {
        faults.end(fault);
        switch (fault.kind()) {
            case SILENT -> {
                stop();
                restart(nowUs);
            }
            case STOP -> restart(nowUs);
            case REFUSE, HANG -> {
                stopListening();
                // A host that crashed in the meantime stays down.
                if (up) {
                    listen(BACKLOG);
                }
            }
            case DRAIN -> draining = false;
            case REPLACE -> {
                stop();
                uid = uid + "r";
                restart(nowUs);
            }
            default -> { }
        }
        refreshFaults(nowUs);
    }

    private void refreshFaults(long nowUs) {
        model.slowdownFactor(nowUs, faults.amount(Kind.SLOW, 1), ended);
        model.errorShare(faults.amount(Kind.ERRORS, host.spec().errorShare()));
        model.reportDelayUs(host.spec().reportDelayUs()
                + Math.round(faults.amount(Kind.LATE_REPORTS, 0) * 1e6));
        handleEndedRequests();
    }

    /** Emulates the end of the process: resets its connections and drops its requests. */
    private void stop() {
        up = false;
        stopListening();
        for (Connection connection : List.copyOf(connections)) {
            connection.reset();
        }
        pending.clear();
        ended.clear();
    }

    private void restart(long nowUs) throws IOException {
        startModel(nowUs, true);
        listen(BACKLOG);
    }

    void close() {
        stop();
        carryOverCounts();
        FleetLog.Counts counts = log.counts(index);
        counts.workDoneUs = workDoneBeforeUs;
        counts.wastedWorkUs = wastedWorkBeforeUs;
    }

    /** Answers the requests that have ended in the model, and sets the timer for the next one. */
    private void handleEndedRequests() {
        while (!ended.isEmpty()) {
            List<HostModel.RequestEnd> now = List.copyOf(ended);
            ended.clear();
            now.forEach(this::respond);
        }
        if (model.isFallen() && up) {
            LOG.log(Level.INFO, "host {0} crashed: overloaded while cold", uid);
            log.add(new FleetLog.HostCrash(index, uid, EventLoop.nowUs()));
            stop();
            return;
        }
        long next = up ? model.nextEndUs() : Long.MAX_VALUE;
        if (next == wakeAtUs && wake != null) {
            return;
        }
        if (wake != null) {
            wake.cancel();
            wake = null;
        }
        wakeAtUs = next;
        if (next != Long.MAX_VALUE) {
            wake = loop.schedule(next, () -> {
                wake = null;
                if (up) {
                    model.advance(EventLoop.nowUs(), ended);
                    handleEndedRequests();
                }
            });
        }
    }

    private void respond(HostModel.RequestEnd end) {
        Pending request = pending.remove(end.id());
        if (request == null) {
            return;
        }
        FleetLog.Visit visit = request.visit();
        visit.endUs = end.atUs();
        visit.spentWorkUs = end.workUs();
        switch (end.state()) {
            case SERVED -> {
                visit.outcome = FleetLog.VisitOutcome.SERVED;
                visit.nonce = random.nextLong();
                request.from().answerServed(visit);
            }
            case FAILED -> {
                visit.outcome = FleetLog.VisitOutcome.FAILED;
                request.from().answerPlain(500, "failed\n", false);
            }
            case STOPPED -> visit.outcome = FleetLog.VisitOutcome.STOPPED;
        }
    }

    private void sweepIdle() {
        long now = EventLoop.nowUs();
        for (Connection connection : List.copyOf(connections)) {
            if (!silent && connection.isIdleSince(now - fleet.idleUs())) {
                connection.close();
            }
        }
        loop.schedule(now + IDLE_SWEEP_US, this::sweepIdle);
    }

    private void sample() {
        long now = EventLoop.nowUs();
        if (up) {
            model.advance(now, ended);
            handleEndedRequests();
        }
        if (up) {
            log.add(new FleetLog.Sample(now, index, silent ? 0 : model.held(), model.waiting(),
                    model.connections(), silent ? 0 : model.capacity()));
            log.counts(index).coldBudgetUsed = Math.max(log.counts(index).coldBudgetUsed, model.coldBudgetUsed());
        } else {
            log.add(new FleetLog.Sample(now, index, 0, 0, 0, 0));
        }
        loop.schedule(now + SAMPLE_US, this::sample);
    }

    /** A connection from a caller. */
    private final class Connection extends HttpConnection {
        private final int callerZone;
        private boolean counted;
        private boolean overConnectionLimit;
        private boolean silenced;
        private String objectKey;
        private long requestInModel = -1;
        private long firstByteUs;
        private long idleSinceUs = EventLoop.nowUs();

        Connection(SocketChannel channel, int callerZone) {
            super(channel, false);
            this.callerZone = callerZone;
        }

        private long latencyUs() {
            return callerZone == host.zone() ? 0 : fleet.zoneLatencyUs();
        }

        boolean isIdleSince(long us) {
            return requestInModel < 0 && !parser.isMidMessage() && idleSinceUs < us && !silenced;
        }

        void makeSilent() {
            stopReading();
        }

        @Override
        protected void onBytesReceived() throws IOException {
            if (firstByteUs == 0) {
                firstByteUs = EventLoop.nowUs();
            }
            Message request;
            try {
                request = parser.next();
            } catch (MalformedHttpException e) {
                answerPlain(400, e.getMessage() + "\n", true);
                return;
            }
            if (request == null) {
                return;
            }
            long requestFirstByteUs = firstByteUs;
            long receivedUs = EventLoop.nowUs();
            firstByteUs = 0;
            if (latencyUs() == 0) {
                handleRequest(request, requestFirstByteUs, receivedUs);
            } else {
                requestInModel = 0;
                loop.schedule(receivedUs + latencyUs(), () -> handleRequest(request, requestFirstByteUs, receivedUs));
            }
        }

        private void handleRequest(Message request, long requestFirstByteUs, long receivedUs) {
            requestInModel = -1;
            if (isClosed() || !up || silent) {
                return;
            }
            String path = request.target();
            if (path.equals("/healthz") || path.equals("/load")) {
                probe(path);
                return;
            }
            String call = request.header("x-call-id");
            if (call == null && !fleet.plain()) {
                answerPlain(404, "no call id\n", false);
                return;
            }
            if (call != null && !call.matches("[0-9a-f]{1,16}")) {
                answerPlain(400, "bad call id\n", false);
                return;
            }
            String name = call == null ? Long.toString(random.nextLong(), 36) : call;
            String key = request.header("idempotency-key");
            FleetLog.Visit visit = new FleetLog.Visit(name, key, index, uid, host.pod(), callerZone,
                    requestFirstByteUs, receivedUs, work(request, key == null ? name : key));
            log.add(visit);
            objectKey = request.queryParameter("obj");
            begin(visit);
        }

        private double work(Message request, String name) {
            String asked = request.queryParameter("w");
            double work = asked != null && asked.matches("[0-9]{1,12}") ? Double.parseDouble(asked)
                    : fleet.workLeastUs() + HostFaults.uniformHash(name) * (fleet.workMostUs() - fleet.workLeastUs());
            return faults.hits(Kind.HEAVY, name) ? work * faults.amount(Kind.HEAVY, 1) : work;
        }

        private void begin(FleetLog.Visit visit) {
            if (faults.hits(Kind.RESET_BEFORE, visit.callId + uid)) {
                visit.outcome = FleetLog.VisitOutcome.RESET_UNSEEN;
                reset();
                return;
            }
            if (faults.hits(Kind.SILENT_CONNECTION, visit.callId + uid)) {
                visit.outcome = FleetLog.VisitOutcome.BROKEN;
                silenced = true;
                stopReading();
                return;
            }
            if (overConnectionLimit || draining) {
                visit.outcome = FleetLog.VisitOutcome.TURNED_AWAY;
                answerPlain(503, draining ? "draining\n" : "too many connections\n", overConnectionLimit);
                return;
            }
            long id = ++lastId;
            HostModel.Admission admission = model.offer(EventLoop.nowUs(), id, visit.requestedWorkUs, objectKey, ended);
            switch (admission) {
                case WORKING, WAITING -> {
                    requestInModel = id;
                    pending.put(id, new Pending(this, visit));
                }
                case FULL -> {
                    visit.outcome = FleetLog.VisitOutcome.TURNED_AWAY;
                    answerPlain(503, "full\n", false);
                }
                default -> visit.outcome = FleetLog.VisitOutcome.TURNED_AWAY;
            }
            handleEndedRequests();
        }

        private void probe(String path) {
            if (!fleet.probes()) {
                answerPlain(404, "no probes here\n", false);
                return;
            }
            log.counts(index).probes++;
            model.probe(EventLoop.nowUs(), ended);
            answerPlain(draining ? 503 : 200, path.equals("/load") ? report().header() : "ok\n", false);
            handleEndedRequests();
        }

        private LoadReport report() {
            return model.report(EventLoop.nowUs(), ended);
        }

        void answerServed(FleetLog.Visit visit) {
            String faultName = visit.callId + uid;
            String body = visit.callId + " " + Long.toHexString(visit.nonce) + " " + uid + "\n";
            if (faults.hits(Kind.OVERLONG, faultName)) {
                visit.outcome = FleetLog.VisitOutcome.BROKEN;
                body = body + "x".repeat(2 * MAX_BODY);
            }
            byte[] reply = bytes(200, body, "", false);
            boolean resets = faults.hits(Kind.RESET_WITHIN, faultName);
            if (resets || faults.hits(Kind.CUT, faultName)) {
                visit.outcome = FleetLog.VisitOutcome.BROKEN;
                send(Arrays.copyOf(reply, reply.length - body.length() / 2), resets ? End.RESET : End.CLOSE);
            } else if (faults.hits(Kind.GARBLED, faultName)) {
                visit.outcome = FleetLog.VisitOutcome.BROKEN;
                send("\u0016\u0003 no such thing \u0000\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1), End.KEEP);
            } else if (faults.hits(Kind.RESET_AFTER, faultName)) {
                send(reply, End.RESET);
            } else if (faults.hits(Kind.UNASKED, faultName)) {
                send((new String(reply, StandardCharsets.UTF_8) + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nunasked")
                        .getBytes(StandardCharsets.UTF_8), End.KEEP);
            } else {
                send(reply, End.KEEP);
            }
        }

        void answerPlain(int status, String body, boolean close) {
            String extraHeaders = status == 503 ? "X-Rejected: 1\r\n" : "";
            send(bytes(status, body, extraHeaders, close), close ? End.CLOSE : End.KEEP);
        }

        private byte[] bytes(int status, String body, String extraHeaders, boolean close) {
            return ("HTTP/1.1 " + status + (status == 200 ? " OK" : " No") + "\r\nContent-Length: " + body.length()
                    + "\r\n" + extraHeaders + "X-Load-Report: " + report().header() + "\r\n"
                    + (close ? "Connection: close\r\n" : "") + "\r\n" + body).getBytes(StandardCharsets.UTF_8);
        }

        private enum End { KEEP, CLOSE, RESET }

        private void send(byte[] answer, End end) {
            requestInModel = -1;
            idleSinceUs = EventLoop.nowUs();
            if (latencyUs() == 0) {
                sendNow(answer, end);
            } else {
                loop.schedule(EventLoop.nowUs() + latencyUs(), () -> sendNow(answer, end));
            }
        }

        private void sendNow(byte[] answer, End end) {
            if (isClosed() || silent) {
                return;
            }
            write(answer);
            if (end == End.CLOSE) {
                closeWhenWritten();
            } else if (end == End.RESET) {
                // Delays the reset until the bytes are out: a reset that overtakes them would be a different fault.
                loop.schedule(EventLoop.nowUs() + 5_000, this::reset);
            }
        }

        @Override
        protected void onPeerClosed() {
            close();
        }

        @Override
        protected void onClosed() {
            connections.remove(this);
            if (counted) {
                model.disconnect();
            }
            if (requestInModel > 0 && up) {
                long id = requestInModel;
                requestInModel = -1;
                model.giveUp(EventLoop.nowUs(), id, ended);
                handleEndedRequests();
            }
        }
    }
}
