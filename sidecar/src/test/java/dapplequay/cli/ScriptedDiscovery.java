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
 * Discovery for one sidecar, with the faults that a test gives it. It keeps the true list, and reckons from the calls
 * it has seen when its last change counts as told to the sidecar: once an answer with it was written, or by the clock
 * alone where a call was left without one.
 */
final class ScriptedDiscovery implements AutoCloseable {
    /** What a call that fell silent has missed counts this long after it did, ns. */
    private static final long INFORMED_AFTER_SILENCE_NS = 6_000_000_000L;
    /** And not before this long after the wait that the call asked for, ns. */
    private static final long INFORMED_AFTER_WAIT_NS = 2_000_000_000L;
    private static final long NS_PER_DRIPPED_BYTE = 200_000_000L;
    private static final Pattern WATCH_PARAMETERS = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    /** What a connection does with the calls on it. RESET, BUSY (503) and RUBBISH end each at once. */
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

    /** {@code pushed}: an agent, so that what it has counts at the moment it is back. */
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
                return;         // its socket is closed, here or by the other side
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

    /** The host is in that state from now on. */
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

    /** What the open connections do from now on, and new ones. */
    synchronized void setModes(Mode open, Mode next) {
        newConnectionMode = next;
        for (Connection connection : connections) {
            connection.mode = open;
            connection.silentSinceNs = System.nanoTime();
        }
        notifyAll();
    }

    /** So many of the next connections get no answer. */
    synchronized void silenceNext(int count) {
        connectionsToSilence = count;
    }

    /** All connections are reset, and new ones refused. */
    synchronized void refuse() throws IOException {
        refusedSinceNs = System.nanoTime();
        listener.close();
        List.copyOf(connections).forEach(Connection::reset);
    }

    /** Everything is answered from now on, calls that have been left open included. */
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
     * It can be reached from now on, by new connections, and has this host draining: calls that hang go on hanging, and
     * it counts as told 6 s from now at the latest. Returns when that was.
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

    /** Its versions are counted from 1 again. */
    synchronized void restartVersions() {
        revision = 1;
        targets.replaceAll(target -> new Target(target.uid, target.port, target.state, 1));
    }

    /** How many calls a fault has ended, or left hanging. */
    synchronized int failures() {
        return failures;
    }

    /** Whether a call hangs. */
    synchronized boolean isHanging() {
        return connections.stream().anyMatch(c -> c.calling && c.mode == Mode.SILENT);
    }

    /** No fault any more, and no trace of one. */
    synchronized void clearFaults() throws IOException {
        connectionsToSilence = 0;
        List.copyOf(connections).stream().filter(c -> c.mode != Mode.ANSWER).forEach(Connection::reset);
        restore();
    }

    /** The last change counts as told at this time at the latest. */
    synchronized void informedNoLaterThan(long ns) {
        informedNs = Math.min(informedNs, Math.max(ns, lastChangeNs));
    }

    /** When the last change counts as told, on the clock of {@link System#nanoTime}. */
    synchronized long informedNs() {
        return informedNs;
    }

    /** Whether the sidecar has shown that it knows the last change, and waits for another. */
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
                        receiveCall(line);           // a head comes at once: nobody waits for the rest of it
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

        /** This call is broken: what it has to tell counts by the clock. */
        private void boundInformedTime() {
            informedNoLaterThan(Math.max(silentSinceNs + INFORMED_AFTER_SILENCE_NS, callStartNs + waitNs
                    + INFORMED_AFTER_WAIT_NS));
        }

        /** False where the mode leaves calls to be answered. */
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
                return;         // the other side was first
            }
        }
    }
}
