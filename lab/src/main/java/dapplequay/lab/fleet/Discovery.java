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
 * The discovery service on sockets, one listener for each view. It is one service for all: it takes calls in
 * turn, each for a stated time, and turns away those that would wait too long.
 */
final class Discovery {
    private static final long LONGEST_WATCH_MS = 60_000;

    private final FleetSpec fleet;
    private final EventLoop loop;
    private final FleetLog log;
    private final ListState list = new ListState();
    private final List<ListState.Entry> heldBack = new ArrayList<>();
    private final List<Runnable> unanswered = new ArrayList<>();
    private final ServerSocketChannel[] listeners;
    private final int[] ports;
    private final Set<Call> calls = new LinkedHashSet<>();
    private long freeAtUs;
    private double callTimes = 1;
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
            int at = view;
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[view]), 128);
            ports[view] = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            listeners[view] = listener;
            loop.post(() -> loop.accept(listener, channel -> accepted(channel, at)));
        }
    }

    private void accepted(SocketChannel channel, int view) throws IOException {
        Call call = new Call(channel, view);
        calls.add(call);
        call.register(loop, SelectionKey.OP_READ);
    }

    String address(int view) {
        return "127.0.0.1:" + ports[view];
    }

    /** The list as it stands now, for this view: what a sidecar would have kept from before. */
    String known(int view) {
        return new String(ListState.json(list.whole(), fleet.viewZones().get(view)), StandardCharsets.UTF_8);
    }

    /** The list shows this after its delay. */
    void change(ListState.Entry entry) {
        loop.schedule(EventLoop.nowUs() + fleet.listDelayUs(), () -> publish(entry));
    }

    /** The list shows this now, unless it is stale. */
    void publish(ListState.Entry entry) {
        if (stale) {
            heldBack.add(entry);
            return;
        }
        list.change(entry);
        wakeWatchers();
    }

    private void wakeWatchers() {
        for (Call call : List.copyOf(calls)) {
            call.changed();
        }
    }

    /** A fault of the list begins or ends. */
    void fault(FaultSpec fault, boolean begins) throws IOException {
        switch (fault.kind()) {
            case LIST_STALE -> holdBack(begins);
            case LIST_EMPTY -> {
                list.empty(begins);
                wakeWatchers();
            }
            case LIST_ODD_ZONE -> publish(new ListState.Entry("h-odd",
                    fleet.zones().stream().map(zone -> "127.0.0.1:1").toList(), "nowhere", "odd", 0,
                    begins ? "SERVING" : "DELETED", 1, 0));
            case LIST_SLOW -> callTimes = begins ? fault.amount() : 1;
            case LIST_DOWN -> {
                down = begins;
                if (fleet.pushed()) {
                    agents(begins);
                } else if (begins) {
                    close();
                } else {
                    listen();
                }
            }
            default -> throw new IllegalArgumentException(fault.kind().word());
        }
    }

    /** Changes wait from now on, or those that waited come. */
    private void holdBack(boolean begins) {
        stale = begins;
        if (!begins) {
            List<ListState.Entry> late = List.copyOf(heldBack);
            heldBack.clear();
            late.forEach(this::publish);
        }
    }

    /** An agent is there all the time; while discovery is down nothing reaches it, and it says nothing. */
    private void agents(boolean silent) {
        holdBack(silent);
        if (!silent) {
            List<Runnable> asked = List.copyOf(unanswered);
            unanswered.clear();
            asked.forEach(Runnable::run);
        }
    }

    void close() throws IOException {
        for (ServerSocketChannel listener : listeners) {
            listener.close();
        }
        List.copyOf(calls).forEach(HttpConnection::reset);
    }

    /** One caller's connection, on which it asks again and again. */
    private final class Call extends HttpConnection {
        private final int view;
        private boolean watching;
        private long after;
        private EventLoop.Timer until;

        Call(SocketChannel channel, int view) {
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
            long starts = Math.max(now, freeAtUs);
            if (starts - now > fleet.listWaitUs()) {
                write(http(503, new byte[0]));
                return;
            }
            freeAtUs = starts + Math.round(fleet.listCallUs() * callTimes);
            loop.schedule(freeAtUs, () -> serve(request));
        }

        private void serve(Message request) {
            if (!isClosed() && down && fleet.pushed()) {
                unanswered.add(() -> serve(request));
            }
            if (isClosed() || down) {
                return;
            }
            if (!request.target().startsWith("/v1/servers")) {
                write(http(404, new byte[0]));
                return;
            }
            String known = request.queryParameter("after");
            if (known == null) {
                answer(list.whole());
                return;
            }
            after = Long.parseLong(known);
            String wait = request.queryParameter("wait_ms");
            long waitMs = wait == null ? 0 : Math.min(LONGEST_WATCH_MS, Long.parseLong(wait));
            if (after != list.revision() || waitMs == 0) {
                answer(list.after(after));
                return;
            }
            watching = true;
            until = loop.schedule(EventLoop.nowUs() + waitMs * 1000, () -> {
                watching = false;
                if (down) {
                    unanswered.add(() -> answer(list.after(after)));
                } else {
                    answer(list.after(after));
                }
            });
        }

        void changed() {
            if (watching) {
                watching = false;
                until.cancel();
                answer(list.after(after));
            }
        }

        private void answer(ListState.Answer answer) {
            write(http(200, ListState.json(answer, fleet.viewZones().get(view))));
            long now = EventLoop.nowUs();
            log.listCall(answer.entries().size());
            for (ListState.Entry entry : answer.entries()) {
                log.add(new FleetLog.Told(view, entry.uid(), entry.state(), entry.bootMs(), now));
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
            if (until != null) {
                until.cancel();
            }
        }
    }
}
