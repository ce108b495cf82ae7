package dapplequay.lab.fleet;

import dapplequay.lab.http.HttpConnection;
import dapplequay.lab.http.MalformedHttpException;
import dapplequay.lab.http.Message;
import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The discovery service, with one listener for each view. All views share its capacity: it handles one call at a
 * time, each for a configured time, and answers 503 to calls that would queue too long.
 */
final class Discovery {
    private static final long MAX_WATCH_MS = 60_000;

    private final FleetSpec fleet;
    private final EventLoop loop;
    private final FleetLog log;
    private final ListState list = new ListState();
    private final List<ListState.Entry> delayedChanges = new ArrayList<>();
    private final List<Runnable> deferredAnswers = new ArrayList<>();
    private final ServerSocketChannel[] listeners;
    private final int[] ports;
    private final Set<CallerConnection> calls = new LinkedHashSet<>();
    private long busyUntilUs;
    private double callCostFactor = 1;
    private boolean stale;
    private boolean down;

    Discovery(FleetSpec fleet, EventLoop loop, FleetLog log) throws IOException {
        this.fleet = fleet;
        this.loop = loop;
        this.log = log;
        listeners = new ServerSocketChannel[fleet.views()];
        ports = new int[fleet.views()];
        listen();
    }

    private void listen() throws IOException {
        for (int view = 0; view < listeners.length; view++) {
            int viewIndex = view;
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[view]), 128);
            ports[view] = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            listeners[view] = listener;
            loop.post(() -> loop.accept(listener, channel -> accepted(channel, viewIndex)));
        }
    }

    private void accepted(SocketChannel channel, int view) throws IOException {
        CallerConnection call = new CallerConnection(channel, view);
        calls.add(call);
        call.register(loop, SelectionKey.OP_READ);
    }

    String address(int view) {
        return "127.0.0.1:" + ports[view];
    }

    /** Returns the current list as this view sees it, as a sidecar would have kept it from an earlier run. */
    String listSnapshot(int view) {
        return new String(ListState.json(list.full(), fleet.viewZones().get(view)), StandardCharsets.UTF_8);
    }

    /** Publishes this entry after the fleet's list delay. */
    void change(ListState.Entry entry) {
        loop.schedule(EventLoop.nowUs() + fleet.listDelayUs(), () -> publish(entry));
    }

    /** Publishes this entry now, or when the list stops being stale. */
    void publish(ListState.Entry entry) {
        if (stale) {
            delayedChanges.add(entry);
            return;
        }
        list.change(entry);
        notifyWatchers();
    }

    private void notifyWatchers() {
        for (CallerConnection call : List.copyOf(calls)) {
            call.changed();
        }
    }

    /** Begins or ends a fault of the list. */
    void applyFault(FaultSpec fault, boolean begins) throws IOException {
        switch (fault.kind()) {
            case LIST_STALE -> setStale(begins);
            case LIST_EMPTY -> {
                list.setEmpty(begins);
                notifyWatchers();
            }
            case LIST_ODD_ZONE -> publish(new ListState.Entry("h-odd",
                    fleet.zones().stream().map(zone -> "127.0.0.1:1").toList(), "nowhere", "odd", 0,
                    begins ? "SERVING" : "DELETED", 1, 0));
            case LIST_SLOW -> callCostFactor = begins ? fault.amount() : 1;
            case LIST_DOWN -> {
                down = begins;
                if (fleet.pushed()) {
                    setAgentsSilent(begins);
                } else if (begins) {
                    close();
                } else {
                    listen();
                }
            }
            default -> throw new IllegalArgumentException(fault.kind().configName());
        }
    }

    /** Starts to hold changes back, or publishes those that were held back. */
    private void setStale(boolean begins) {
        stale = begins;
        if (!begins) {
            List<ListState.Entry> delayed = List.copyOf(delayedChanges);
            delayedChanges.clear();
            delayed.forEach(this::publish);
        }
    }

    /** Agents stay reachable while discovery is down, but get no updates and defer all answers until it is back. */
    private void setAgentsSilent(boolean silent) {
        setStale(silent);
        if (!silent) {
            List<Runnable> deferred = List.copyOf(deferredAnswers);
            deferredAnswers.clear();
            deferred.forEach(Runnable::run);
        }
    }

    void close() throws IOException {
        for (ServerSocketChannel listener : listeners) {
            listener.close();
        }
        List.copyOf(calls).forEach(HttpConnection::reset);
    }

    /** A persistent connection of one caller. */
    private final class CallerConnection extends HttpConnection {
        private final int view;
        private boolean watching;
        private long knownRevision;
        private EventLoop.Timer watchTimer;

        CallerConnection(SocketChannel channel, int view) {
            super(channel, false);
            this.view = view;
        }

        @Override
        protected void onBytesReceived() throws IOException {
            Message request;
            try {
                request = parser.next();
            } catch (MalformedHttpException e) {
                close();
                return;
            }
            if (request == null) {
                return;
            }
            if (fleet.pushed()) {
                serve(request);
                return;
            }
            long now = EventLoop.nowUs();
            long starts = Math.max(now, busyUntilUs);
            if (starts - now > fleet.listWaitUs()) {
                write(http(503, new byte[0]));
                return;
            }
            busyUntilUs = starts + Math.round(fleet.listCallUs() * callCostFactor);
            loop.schedule(busyUntilUs, () -> serve(request));
        }

        private void serve(Message request) {
            if (!isClosed() && down && fleet.pushed()) {
                deferredAnswers.add(() -> serve(request));
            }
            if (isClosed() || down) {
                return;
            }
            if (!request.target().startsWith("/v1/servers")) {
                write(http(404, new byte[0]));
                return;
            }
            String afterParameter = request.queryParameter("after");
            if (afterParameter == null) {
                answer(list.full());
                return;
            }
            knownRevision = Long.parseLong(afterParameter);
            String wait = request.queryParameter("wait_ms");
            long waitMs = wait == null ? 0 : Math.min(MAX_WATCH_MS, Long.parseLong(wait));
            if (knownRevision != list.revision() || waitMs == 0) {
                answer(list.changesAfter(knownRevision));
                return;
            }
            watching = true;
            watchTimer = loop.schedule(EventLoop.nowUs() + waitMs * 1000, () -> {
                watching = false;
                if (down) {
                    deferredAnswers.add(() -> answer(list.changesAfter(knownRevision)));
                } else {
                    answer(list.changesAfter(knownRevision));
                }
            });
        }

        void changed() {
            if (watching) {
                watching = false;
                watchTimer.cancel();
                answer(list.changesAfter(knownRevision));
            }
        }

        private void answer(ListState.Answer answer) {
            write(http(200, ListState.json(answer, fleet.viewZones().get(view))));
            long now = EventLoop.nowUs();
            log.addListCall(answer.entries().size());
            for (ListState.Entry entry : answer.entries()) {
                log.add(new FleetLog.ListUpdate(view, entry.uid(), entry.state(), entry.bootMs(), now));
            }
        }

        private byte[] http(int status, byte[] body) {
            byte[] head = ("HTTP/1.1 " + status + (status == 200 ? " OK" : " No") + "\r\nContent-Length: "
                    + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, whole, head.length, body.length);
            return whole;
        }

        @Override
        protected void onPeerClosed() {
            close();
        }

        @Override
        protected void onClosed() {
            calls.remove(this);
            if (watchTimer != null) {
                watchTimer.cancel();
            }
        }
    }
}
