package dapplequay.lab.load;

import dapplequay.lab.http.HttpConnection;
import dapplequay.lab.http.MalformedHttpException;
import dapplequay.lab.http.Message;
import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Open-loop load generator: sends each request when it is due, whether or not earlier answers have come. Clients
 * reuse idle connections and open more when all are busy. Each client waits for its answer until its budget is
 * over, and retries as the profile says. Requests that could not be sent on time stay in the result.
 */
public final class Generator {
    private static final long AWAIT_SLACK_US = 1_000_000;
    /** Time after the deadline in which an answer is still recorded, to tell late answers from missing ones. */
    private static final long LATE_ANSWER_GRACE_US = 100_000;

    /** The number of requests due so far, and of those that have ended. */
    public record Progress(long due, long ended) { }

    private final Profile profile;
    private final Schedule schedule;
    private final List<InetSocketAddress> targets;
    private final int connectionsMax;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<List<ClientAttempt>> attempts = new ArrayList<>();
    private final CountDownLatch unfinished;
    private final AtomicLong connectionsOpened = new AtomicLong();
    private long startUs;

    /** Creates a generator with at most {@code connectionsMax} open connections, all targets together. */
    public Generator(Profile profile, Schedule schedule, List<InetSocketAddress> targets, int connectionsMax) {
        this.profile = profile;
        this.schedule = schedule;
        this.targets = targets;
        this.connectionsMax = connectionsMax;
        unfinished = new CountDownLatch(schedule.arrivals().size());
        for (int i = 0; i < schedule.arrivals().size(); i++) {
            attempts.add(new ArrayList<>(1));
        }
    }

    /** Starts the load at this time, in Unix microseconds; returns at once. */
    public void start(long atUs) {
        startUs = atUs;
        int count = Math.max(1, Math.min(connectionsMax,
                Math.min(4, Runtime.getRuntime().availableProcessors() / 2)));
        for (int i = 0; i < count; i++) {
            loops.add(new EventLoop("load-" + i));
        }
        for (int i = 0; i < count; i++) {
            List<Arrival> ownArrivals = new ArrayList<>();
            for (int k = i; k < schedule.arrivals().size(); k += count) {
                ownArrivals.add(schedule.arrivals().get(k));
            }
            int maxConnections = connectionsMax / count + (i < connectionsMax % count ? 1 : 0);
            Sender sender = new Sender(loops.get(i), ownArrivals, maxConnections);
            loops.get(i).post(sender::sendDue);
        }
    }

    public Progress progress() {
        long passed = EventLoop.nowUs() - startUs;
        long due = schedule.arrivals().stream().filter(arrival -> arrival.dueUs() <= passed).count();
        return new Progress(due, schedule.arrivals().size() - unfinished.getCount());
    }

    /** Waits until every request has ended, but no longer than the last client can take with all its retries. */
    public LoadResult await() throws InterruptedException {
        long lastDue = schedule.arrivals().isEmpty() ? 0
                : schedule.arrivals().get(schedule.arrivals().size() - 1).dueUs();
        long patience = profile.services().stream().mapToLong(Profile.Service::deadlineUs).max()
                .orElse(profile.timeoutUs());
        long until = startUs + lastDue + AWAIT_SLACK_US
                + (profile.retries() + 1) * (patience + profile.retryWaitUs() + 5_000_000);
        unfinished.await(Math.max(0, until - EventLoop.nowUs()), TimeUnit.MICROSECONDS);
        loops.forEach(EventLoop::close);
        return new LoadResult(profile, schedule, attempts, startUs, connectionsOpened.get());
    }

    /** Sends one event loop's share of the load; runs on that loop's thread only. */
    private final class Sender {
        private final EventLoop loop;
        private final List<Arrival> arrivals;
        private final int maxConnections;
        private final List<ArrayDeque<Connection>> idleByTarget = new ArrayList<>();
        private final ArrayDeque<PendingAttempt> waitingForConnection = new ArrayDeque<>();
        private int openConnections;
        private int nextArrival;

        Sender(EventLoop loop, List<Arrival> arrivals, int maxConnections) {
            this.loop = loop;
            this.arrivals = arrivals;
            this.maxConnections = maxConnections;
            targets.forEach(target -> idleByTarget.add(new ArrayDeque<>()));
        }

        void sendDue() {
            long now = EventLoop.nowUs();
            while (nextArrival < arrivals.size() && startUs + arrivals.get(nextArrival).dueUs() <= now) {
                Arrival arrival = arrivals.get(nextArrival++);
                begin(new PendingAttempt(arrival, 0, startUs + arrival.dueUs()));
            }
            if (nextArrival < arrivals.size()) {
                loop.schedule(startUs + arrivals.get(nextArrival).dueUs(), this::sendDue);
            }
        }

        private void begin(PendingAttempt pending) {
            attempts.get(pending.attempt.arrival.index()).add(pending.attempt);
            long grace = profile.services().isEmpty() ? 0 : LATE_ANSWER_GRACE_US;
            pending.giveUpTimer = loop.schedule(pending.attempt.giveUpUs + grace, () -> end(pending,
                    pending.attempt.sentUs == 0 ? ClientAttempt.UNSENT : ClientAttempt.TIMEOUT));
            assignConnection(pending);
        }

        private void assignConnection(PendingAttempt pending) {
            int target = pending.attempt.arrival.targetIndex();
            Connection connection = idleByTarget.get(target).pollLast();
            if (connection != null) {
                connection.take(pending);
            } else if (openConnections < maxConnections) {
                connect(pending, target);
            } else if (closeIdleConnection()) {
                connect(pending, target);
            } else {
                waitingForConnection.add(pending);
            }
        }

        private boolean closeIdleConnection() {
            for (ArrayDeque<Connection> idle : idleByTarget) {
                Connection connection = idle.pollFirst();
                if (connection != null) {
                    connection.close();
                    return true;
                }
            }
            return false;
        }

        private void connect(PendingAttempt pending, int target) {
            try {
                SocketChannel channel = SocketChannel.open();
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.configureBlocking(false);
                Connection connection = new Connection(channel, target);
                openConnections++;
                connectionsOpened.incrementAndGet();
                pending.connection = connection;
                connection.pending = pending;
                boolean done = channel.connect(targets.get(target));
                connection.register(loop, done ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
                if (done) {
                    connection.onConnected();
                }
            } catch (IOException e) {
                end(pending, ClientAttempt.REFUSED);
            }
        }

        private void assignNextWaiting() {
            while (!waitingForConnection.isEmpty()) {
                PendingAttempt pending = waitingForConnection.poll();
                if (!pending.ended) {
                    assignConnection(pending);
                    return;
                }
            }
        }

        /** Ends a try and schedules the client's retry if there is to be one. */
        private void end(PendingAttempt pending, String outcome) {
            if (pending.ended) {
                return;
            }
            pending.ended = true;
            pending.giveUpTimer.cancel();
            pending.attempt.outcome = outcome;
            pending.attempt.endUs = EventLoop.nowUs();
            Connection connection = pending.connection;
            pending.connection = null;
            if (connection != null) {
                connection.pending = null;
                if (!pending.attempt.isAnswered()) {
                    connection.close();
                }
            }
            if (mayRetry(pending.attempt)) {
                long wait = Math.max(profile.retryWaitUs(), pending.attempt.retryAfterUs);
                long due = pending.attempt.endUs + wait;
                loop.schedule(due, () -> begin(new PendingAttempt(pending.attempt.arrival,
                        pending.attempt.attemptIndex + 1, due)));
            } else {
                unfinished.countDown();
            }
            assignNextWaiting();
        }

        private boolean mayRetry(ClientAttempt attempt) {
            if (attempt.attemptIndex >= profile.retries() || profile.services().isEmpty() || attempt.isServed()
                    || attempt.outcome.equals(ClientAttempt.UNSENT)) {
                return false;
            }
            boolean harmless = attempt.isRefused() || attempt.outcome.equals(ClientAttempt.REFUSED);
            return harmless || profile.services().get(attempt.arrival.serviceIndex()).isRetryable();
        }

        /** A try that has not ended, with its connection and timer. */
        private final class PendingAttempt {
            private final ClientAttempt attempt;
            private Connection connection;
            private EventLoop.Timer giveUpTimer;
            private boolean ended;
            private boolean resent;

            PendingAttempt(Arrival arrival, int index, long dueUs) {
                attempt = new ClientAttempt(arrival, index, Long.toHexString(arrival.firstCallId() + index), dueUs);
                long patience = profile.services().isEmpty() ? profile.timeoutUs()
                        : Math.round(profile.services().get(arrival.serviceIndex()).deadlineUs()
                                * arrival.patienceShare());
                attempt.giveUpUs = dueUs + patience;
            }

            byte[] bytes() {
                if (profile.services().isEmpty()) {
                    return ("GET / HTTP/1.1\r\nHost: " + host(attempt.arrival.targetIndex()) + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
                }
                Arrival arrival = attempt.arrival;
                Profile.Service service = profile.services().get(arrival.serviceIndex());
                StringBuilder text = new StringBuilder(256)
                        .append(service.isRetryable() ? "GET /" : "POST /").append(service.name()).append('/')
                        .append(arrival.index()).append("?w=").append(arrival.workUs())
                        .append(arrival.objectId() == null ? "" : "&obj=" + arrival.objectId())
                        .append(" HTTP/1.1\r\nHost: ")
                        .append(host(arrival.targetIndex())).append("\r\nX-Call-Id: ").append(attempt.callId)
                        .append("\r\nX-Budget-Ms: ").append(Math.max(1, (attempt.giveUpUs - EventLoop.nowUs()) / 1000));
                if (arrival.tenantIndex() >= 0) {
                    text.append("\r\nX-Caller: ").append(profile.tenants().get(arrival.tenantIndex()).name());
                }
                if (arrival.idempotencyKey() != null) {
                    text.append("\r\nIdempotency-Key: ").append(arrival.idempotencyKey());
                }
                if (attempt.attemptIndex > 0 && profile.retriesMarked()) {
                    text.append("\r\nX-Again: 1");
                }
                if (!service.isRetryable()) {
                    text.append("\r\nContent-Length: 2\r\n\r\n{}");
                } else {
                    text.append("\r\n\r\n");
                }
                return text.toString().getBytes(StandardCharsets.ISO_8859_1);
            }

            private String host(int target) {
                return targets.get(target).getHostString() + ":" + targets.get(target).getPort();
            }
        }

        /** A client's connection to a target. */
        private final class Connection extends HttpConnection {
            private final int target;
            private PendingAttempt pending;
            private boolean established;
            private boolean hasAnswered;

            Connection(SocketChannel channel, int target) {
                super(channel, true);
                this.target = target;
            }

            @Override
            protected void onConnected() {
                established = true;
                if (pending != null) {
                    send();
                } else {
                    idleByTarget.get(target).add(this);
                }
            }

            void take(PendingAttempt next) {
                pending = next;
                next.connection = this;
                send();
            }

            private void send() {
                PendingAttempt now = pending;
                write(now.bytes());
                if (!isClosed() && now.attempt.sentUs == 0) {
                    now.attempt.sentUs = EventLoop.nowUs();
                }
            }

            @Override
            protected void onBytesReceived() throws IOException {
                Message answer;
                try {
                    answer = parser.next();
                } catch (MalformedHttpException e) {
                    unreadable();
                    return;
                }
                if (answer != null) {
                    answered(answer);
                }
            }

            private void unreadable() {
                if (pending == null) {
                    close();
                } else {
                    end(pending, ClientAttempt.UNREADABLE);
                }
            }

            private void answered(Message answer) {
                PendingAttempt done = pending;
                if (done == null) {
                    close();
                    return;
                }
                hasAnswered = true;
                if (!profile.services().isEmpty()) {
                    done.attempt.body = answer.bodyText();
                }
                String after = answer.header("retry-after");
                if (after != null && after.matches("[0-9]+(\\.[0-9]+)?")) {
                    done.attempt.hasRetryAfter = true;
                    done.attempt.retryAfterUs = Math.round(Double.parseDouble(after) * 1e6);
                }
                if (answer.isKeepAlive() && !parser.isMidMessage()) {
                    done.connection = null;
                    pending = null;
                    idleByTarget.get(target).add(this);
                }
                String outcome = Integer.toString(answer.status());
                if (pending != null) {
                    pending = null;
                    done.connection = null;
                    close();
                }
                end(done, outcome);
            }

            @Override
            protected void onPeerClosed() {
                Message last = parser.finishAtEndOfStream();
                if (last != null && pending != null) {
                    answered(last);
                }
                close();
            }

            @Override
            protected void onClosed() {
                openConnections--;
                idleByTarget.get(target).remove(this);
                PendingAttempt lost = pending;
                pending = null;
                if (lost == null || lost.ended) {
                    assignNextWaiting();
                    return;
                }
                lost.connection = null;
                if (!established) {
                    end(lost, ClientAttempt.REFUSED);
                } else if (hasAnswered && !lost.resent && !parser.isMidMessage()) {
                    // The peer closed a reused connection before it answered: the request is sent once more.
                    lost.resent = true;
                    connect(lost, target);
                } else {
                    end(lost, ClientAttempt.RESET);
                }
            }
        }
    }
}
