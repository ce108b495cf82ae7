package dapplequay.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service for one sidecar, with faults set by the test. It holds the true list, and computes from the calls
 * it received when the sidecar counts as informed of the last change: once an answer with it was written, or after a
 * fixed time where a call was left unanswered.
 */
final class ScriptedDiscovery implements AutoCloseable {
    /** A sidecar whose call hangs counts as informed of a change this long after the call fell silent, ns. */
    private static final long INFORMED_AFTER_SILENCE_NS = 6_000_000_000L;
    /** It does so at the earliest this long after the end of the wait that the call asked for, ns. */
    private static final long INFORMED_AFTER_WAIT_NS = 2_000_000_000L;
    private static final long NS_PER_DRIPPED_BYTE = 200_000_000L;
    private static final Pattern WATCH_PARAMETERS = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    /** How a connection treats its calls. RESET, BUSY (503) and RUBBISH (no valid list) end each call at once. */
    enum Mode { ANSWER, SILENT, DRIP, HALF, RESET, BUSY, RUBBISH }

    private final boolean pushed;
    private final int port;
    private final List<Target> targets = new ArrayList<>();
    private final List<Connection> connections = new ArrayList<>();
    private ServerSocket listener;
    private Mode newConnectionMode = Mode.ANSWER;
    private int connectionsToSilence;
    private long revision = 1;
    private long lastChangeNs;
    private long refusedSinceNs;
    private long informedNs = Long.MAX_VALUE;
    private int failures;
    private boolean closed;

    private record Target(String uid, int port, String state, long revision) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"north\",\"pod_group\":1,"
                    + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }
    }

    /** {@code pushed}: an agent pushes the list; a change counts as soon as the agent is reachable again. */
    ScriptedDiscovery(List<Integer> hosts, boolean pushed) throws IOException {
        this.pushed = pushed;
        for (int i = 0; i < hosts.size(); i++) {
            targets.add(new Target("s" + i, hosts.get(i), "SERVING", 1));
        }
        listen(0);
        port = listener.getLocalPort();
        daemon(this::answerWhenDue);
    }

    private static void daemon(Callable<?> work) {
        Thread thread = new Thread(() -> {
            try {
                work.call();
            } catch (Exception e) {
                return;         // the socket was closed, here or by the peer
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void listen(int listenPort) throws IOException {
        ServerSocket next = new ServerSocket(listenPort, 50, InetAddress.getLoopbackAddress());
        listener = next;
        daemon(() -> {
            while (true) {
                accept(next.accept());
            }
        });
    }

    private synchronized void accept(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(socket, connectionsToSilence > 0 ? Mode.SILENT : newConnectionMode);
        connectionsToSilence = Math.max(0, connectionsToSilence - 1);
        connections.add(connection);
        daemon(connection::read);
        if (listener.isClosed()) {
            connection.reset();
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized String wholeList() {
        return list(-1);
    }

    private String list(long after) {
        List<String> lines = new ArrayList<>();
        for (Target target : targets) {
            if (target.revision > after) {
                lines.add(target.json());
            }
        }
        return "{\"rev\":" + revision + ",\"all\":" + (after < 0) + ",\"targets\":[" + String.join(",", lines) + "]}";
    }

    /** Sets the host's state, under a new version. */
    synchronized void setState(int host, String state) {
        revision++;
        targets.set(host, new Target("s" + host, targets.get(host).port, state, revision));
        lastChangeNs = System.nanoTime();
        informedNs = Long.MAX_VALUE;
        if (listener.isClosed()) {
            informedNoLaterThan(refusedSinceNs + INFORMED_AFTER_SILENCE_NS);
        }
        for (Connection connection : connections) {
            if (connection.mode == Mode.SILENT && connection.calling) {
                connection.boundInformedTime();
            }
        }
        notifyAll();
    }

    /** Sets the mode of the open connections, and that of new ones. */
    synchronized void setModes(Mode open, Mode next) {
        newConnectionMode = next;
        for (Connection connection : connections) {
            connection.mode = open;
            connection.silentSinceNs = System.nanoTime();
        }
        notifyAll();
    }

    /** Leaves the calls of the next {@code count} connections unanswered. */
    synchronized void silenceNext(int count) {
        connectionsToSilence = count;
    }

    /** Resets all connections and refuses new ones. */
    synchronized void refuse() throws IOException {
        refusedSinceNs = System.nanoTime();
        listener.close();
        List.copyOf(connections).forEach(Connection::reset);
    }

    /** Answers all calls from now on, also those that were left open. */
    synchronized void restore() throws IOException {
        if (listener.isClosed()) {
            listen(port);
        }
        setModes(Mode.ANSWER, Mode.ANSWER);
        if (pushed) {
            informedNoLaterThan(System.nanoTime());
        }
    }

    /**
     * Accepts new connections again and sets this host draining. Calls that hang stay so, and the sidecar counts as
     * informed 6 s from now at the latest. Returns the time of the change, ns.
     */
    synchronized long restoreWithDraining(int host) throws IOException {
        if (listener.isClosed()) {
            listen(port);
        }
        newConnectionMode = Mode.ANSWER;
        setState(host, "DRAINING");
        informedNoLaterThan(lastChangeNs + INFORMED_AFTER_SILENCE_NS);
        return lastChangeNs;
    }

    /** Restarts the versions from 1. */
    synchronized void restartVersions() {
        revision = 1;
        targets.replaceAll(target -> new Target(target.uid, target.port, target.state, 1));
    }

    /** Returns how many calls a fault has ended or left hanging. */
    synchronized int failures() {
        return failures;
    }

    /** True if a call hangs. */
    synchronized boolean isHanging() {
        return connections.stream().anyMatch(c -> c.calling && c.mode == Mode.SILENT);
    }

    /** Ends all faults, and resets the connections that have one. */
    synchronized void clearFaults() throws IOException {
        connectionsToSilence = 0;
        List.copyOf(connections).stream().filter(c -> c.mode != Mode.ANSWER).forEach(Connection::reset);
        restore();
    }

    /** Limits the time at which the sidecar counts as informed of the last change. */
    synchronized void informedNoLaterThan(long ns) {
        informedNs = Math.min(informedNs, Math.max(ns, lastChangeNs));
    }

    /** Returns the {@link System#nanoTime} at which the sidecar counts as informed of the last change. */
    synchronized long informedNs() {
        return informedNs;
    }

    /** True if a call for changes after the current version waits, which shows that the sidecar knows this version. */
    synchronized boolean isWatched() {
        return connections.stream().anyMatch(c -> c.calling && c.mode == Mode.ANSWER && c.after == revision);
    }

    private synchronized Void answerWhenDue() throws InterruptedException {
        while (!closed) {
            List.copyOf(connections).forEach(Connection::answerIfDue);
            wait(5);
        }
        return null;
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        refuse();
    }

    private final class Connection {
        private final Socket socket;
        private Mode mode;
        private long silentSinceNs = System.nanoTime();
        private boolean calling;
        private long callStartNs;
        private long after;
        private long waitNs;
        private byte[] answer;
        private int written;

        Connection(Socket socket, Mode mode) {
            this.socket = socket;
            this.mode = mode;
        }

        Void read() throws IOException {
            try (socket; var in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.ISO_8859_1))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.startsWith("GET ")) {
                        receiveCall(line);           // answers without waiting for the rest of the head
                    }
                }
                return null;
            } finally {
                synchronized (ScriptedDiscovery.this) {
                    connections.remove(this);
                }
            }
        }

        private void receiveCall(String request) {
            synchronized (ScriptedDiscovery.this) {
                Matcher watch = WATCH_PARAMETERS.matcher(request);
                boolean waits = watch.find();
                after = waits ? Long.parseLong(watch.group(1)) : -1;
                waitNs = waits ? Long.parseLong(watch.group(2)) * 1_000_000 : 0;
                callStartNs = System.nanoTime();
                calling = true;
                answer = null;
                if (mode == Mode.SILENT) {
                    failures++;
                    silentSinceNs = callStartNs;
                    boundInformedTime();
                }
                ScriptedDiscovery.this.notifyAll();
            }
        }

        /** Sets by the clock when the sidecar counts as informed, as this call does not deliver its answer. */
        private void boundInformedTime() {
            informedNoLaterThan(Math.max(silentSinceNs + INFORMED_AFTER_SILENCE_NS, callStartNs + waitNs
                    + INFORMED_AFTER_WAIT_NS));
        }

        /** Ends the call at once if the mode says so; false if the call is still to be answered. */
        private boolean failsCall() throws IOException {
            if (mode != Mode.RESET && mode != Mode.BUSY && mode != Mode.RUBBISH) {
                return false;
            }
            failures++;
            calling = false;
            String text = mode == Mode.BUSY ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                    : "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nrubbish";
            if (mode == Mode.RESET) {
                reset();
            } else {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            }
            return true;
        }

        private void answerIfDue() {
            long now = System.nanoTime();
            try {
                if (calling && failsCall()) {
                    return;
                }
            } catch (IOException e) {
                reset();
                return;
            }
            if (!calling || mode == Mode.SILENT || answer == null && after == revision && now < callStartNs + waitNs) {
                return;
            }
            if (answer == null) {
                String body = list(after > revision ? -1 : after);
                answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1);
                written = 0;
                silentSinceNs = now;
                if (mode != Mode.ANSWER) {
                    boundInformedTime();
                }
            }
            int writeUntil = mode == Mode.ANSWER ? answer.length : mode == Mode.HALF ? answer.length / 2
                    : (int) Math.min(answer.length, 1 + (now - silentSinceNs) / NS_PER_DRIPPED_BYTE);
            try {
                if (writeUntil > written) {
                    socket.getOutputStream().write(Arrays.copyOfRange(answer, written, writeUntil));
                    written = writeUntil;
                }
            } catch (IOException e) {
                reset();
                return;
            }
            if (written == answer.length) {
                calling = false;
                informedNoLaterThan(now);
            }
        }

        private void reset() {
            calling = false;
            connections.remove(this);
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                return;         // the peer closed it first
            }
        }
    }
}
