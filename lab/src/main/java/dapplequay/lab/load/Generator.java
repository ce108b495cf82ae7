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
 * Sends a schedule on time, whatever the answers do: open loop. Clients keep their connections and open more
 * when all are busy, as the protocol says; each waits for its answer until its budget is over, and retries as
 * the profile tells. What could not be sent on time is in the result, never left out.
 */
public final class Generator {
    private static final long AFTER_END_US = 1_000_000;
    /** A client that has given up still notes an answer within this time, so that late ones are told from none. */
    private static final long GRACE_US = 100_000;

    /** Where a run stands, for who shows progress. */
    public record Progress(long due, long ended) { }

    private final Profile profile;
    private final Schedule schedule;
    private final List<InetSocketAddress> targets;
    private final int connectionsMax;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<List<ClientAttempt>> tries = new ArrayList<>();
    private final CountDownLatch left;
    private final AtomicLong opened = new AtomicLong();
    private long startUs;

    /** {@code connectionsMax}: open connections at once, all targets together. */
    public Generator(Profile profile, Schedule schedule, List<InetSocketAddress> targets, int connectionsMax) {
        this.profile = profile;
        this.schedule = schedule;
        this.targets = targets;
        this.connectionsMax = connectionsMax;
        left = new CountDownLatch(schedule.arrivals().size());
        for (int i = 0; i < schedule.arrivals().size(); i++) {
            tries.add(new ArrayList<>(1));
        }
    }

    /** Begins at this time, Unix microseconds; returns at once. */
    public void start(long atUs) {
        startUs = atUs;
        int count = Math.max(1, Math.min(connectionsMax,
                Math.min(4, Runtime.getRuntime().availableProcessors() / 2)));
        for (int i = 0; i < count; i++) {
            loops.add(new EventLoop("load-" + i));
        }
        for (int i = 0; i < count; i++) {
            List<Arrival> own = new ArrayList<>();
            for (int k = i; k < schedule.arrivals().size(); k += count) {
                own.add(schedule.arrivals().get(k));
            }
            int most = connectionsMax / count + (i < connectionsMax % count ? 1 : 0);
            Sender sender = new Sender(loops.get(i), own, most);
            loops.get(i).post(sender::next);
        }
    }

    public Progress progress() {
        long passed = EventLoop.nowUs() - startUs;
        long due = schedule.arrivals().stream().filter(a -> a.dueUs() <= passed).count();
        return new Progress(due, schedule.arrivals().size() - left.getCount());
    }

    /** Waits until every request has its end, at the latest when the last client's patience is over. */
    public LoadResult await() throws InterruptedException {
        long lastDue = schedule.arrivals().isEmpty() ? 0
                : schedule.arrivals().get(schedule.arrivals().size() - 1).dueUs();
        long patience = profile.services().stream().mapToLong(Profile.Service::deadlineUs).max()
                .orElse(profile.timeoutUs());
        long until = startUs + lastDue + AFTER_END_US
                + (profile.retries() + 1) * (patience + profile.retryWaitUs() + 5_000_000);
        left.await(Math.max(0, until - EventLoop.nowUs()), TimeUnit.MICROSECONDS);
        loops.forEach(EventLoop::close);
        return new LoadResult(profile, schedule, tries, startUs, opened.get());
    }

    /** The part of the load that one loop sends; all of it runs on that loop's thread. */
    private final class Sender {
        private final EventLoop loop;
        private final List<Arrival> arrivals;
        private final int most;
        private final List<ArrayDeque<Client>> idle = new ArrayList<>();
        private final ArrayDeque<Flight> unsent = new ArrayDeque<>();
        private int open;
        private int at;

        Sender(EventLoop loop, List<Arrival> arrivals, int most) {
            this.loop = loop;
            this.arrivals = arrivals;
            this.most = most;
            targets.forEach(target -> idle.add(new ArrayDeque<>()));
        }

        void next() {
            long now = EventLoop.nowUs();
            while (at < arrivals.size() && startUs + arrivals.get(at).dueUs() <= now) {
                Arrival arrival = arrivals.get(at++);
                begin(new Flight(arrival, 0, startUs + arrival.dueUs()));
            }
            if (at < arrivals.size()) {
                loop.schedule(startUs + arrivals.get(at).dueUs(), this::next);
            }
        }

        private void begin(Flight flight) {
            tries.get(flight.row.arrival.number()).add(flight.row);
            long grace = profile.services().isEmpty() ? 0 : GRACE_US;
            flight.giveUp = loop.schedule(flight.row.giveUpUs + grace, () -> end(flight, flight.row.sentUs == 0
                    ? ClientAttempt.UNSENT : ClientAttempt.TIMEOUT));
            place(flight);
        }

        private void place(Flight flight) {
            int target = flight.row.arrival.target();
            Client client = idle.get(target).pollLast();
            if (client != null) {
                client.take(flight);
            } else if (open < most) {
                connect(flight, target);
            } else if (closeAnIdleOne()) {
                connect(flight, target);
            } else {
                unsent.add(flight);
            }
        }

        private boolean closeAnIdleOne() {
            for (ArrayDeque<Client> of : idle) {
                Client client = of.pollFirst();
                if (client != null) {
                    client.close();
                    return true;
                }
            }
            return false;
        }

        private void connect(Flight flight, int target) {
            try {
                SocketChannel channel = SocketChannel.open();
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.configureBlocking(false);
                Client client = new Client(channel, target);
                open++;
                opened.incrementAndGet();
                flight.on = client;
                client.flight = flight;
                boolean done = channel.connect(targets.get(target));
                client.register(loop, done ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
                if (done) {
                    client.onConnected();
                }
            } catch (IOException e) {
                end(flight, ClientAttempt.REFUSED);
            }
        }

        private void freed() {
            while (!unsent.isEmpty()) {
                Flight flight = unsent.poll();
                if (!flight.over) {
                    place(flight);
                    return;
                }
            }
        }

        /** The end of a try, and the beginning of the client's next where there is to be one. */
        private void end(Flight flight, String outcome) {
            if (flight.over) {
                return;
            }
            flight.over = true;
            flight.giveUp.cancel();
            flight.row.outcome = outcome;
            flight.row.endUs = EventLoop.nowUs();
            Client client = flight.on;
            flight.on = null;
            if (client != null) {
                client.flight = null;
                if (!flight.row.isAnswered()) {
                    client.close();
                }
            }
            if (mayRetry(flight.row)) {
                long wait = Math.max(profile.retryWaitUs(), flight.row.retryAfterUs);
                long due = flight.row.endUs + wait;
                loop.schedule(due, () -> begin(new Flight(flight.row.arrival, flight.row.number + 1, due)));
            } else {
                left.countDown();
            }
            freed();
        }

        private boolean mayRetry(ClientAttempt row) {
            if (row.number >= profile.retries() || profile.services().isEmpty() || row.isServed()
                    || row.outcome.equals(ClientAttempt.UNSENT)) {
                return false;
            }
            boolean harmless = row.isRefused() || row.outcome.equals(ClientAttempt.REFUSED);
            return harmless || profile.services().get(row.arrival.service()).isRetryable();
        }

        /** A try under way. */
        private final class Flight {
            private final ClientAttempt row;
            private Client on;
            private EventLoop.Timer giveUp;
            private boolean over;
            private boolean sentAgain;

            Flight(Arrival arrival, int number, long dueUs) {
                row = new ClientAttempt(arrival, number, Long.toHexString(arrival.call() + number), dueUs);
                long patience = profile.services().isEmpty() ? profile.timeoutUs()
                        : Math.round(profile.services().get(arrival.service()).deadlineUs() * arrival.patience());
                row.giveUpUs = dueUs + patience;
            }

            byte[] bytes() {
                if (profile.services().isEmpty()) {
                    return ("GET / HTTP/1.1\r\nHost: " + host(row.arrival.target()) + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
                }
                Arrival a = row.arrival;
                Profile.Service service = profile.services().get(a.service());
                StringBuilder text = new StringBuilder(256)
                        .append(service.isRetryable() ? "GET /" : "POST /").append(service.name()).append('/')
                        .append(a.number()).append("?w=").append(a.workUs())
                        .append(a.about() == null ? "" : "&obj=" + a.about()).append(" HTTP/1.1\r\nHost: ")
                        .append(host(a.target())).append("\r\nX-Call-Id: ").append(row.call)
                        .append("\r\nX-Budget-Ms: ").append(Math.max(1, (row.giveUpUs - EventLoop.nowUs()) / 1000));
                if (a.tenant() >= 0) {
                    text.append("\r\nX-Caller: ").append(profile.tenants().get(a.tenant()).name());
                }
                if (a.key() != null) {
                    text.append("\r\nIdempotency-Key: ").append(a.key());
                }
                if (row.number > 0 && profile.retriesMarked()) {
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

        /** One client connection. */
        private final class Client extends HttpConnection {
            private final int target;
            private Flight flight;
            private boolean isUp;
            private boolean used;

            Client(SocketChannel channel, int target) {
                super(channel, true);
                this.target = target;
            }

            @Override
            protected void onConnected() {
                isUp = true;
                if (flight != null) {
                    send();
                } else {
                    idle.get(target).add(this);
                }
            }

            void take(Flight next) {
                flight = next;
                next.on = this;
                send();
            }

            private void send() {
                Flight now = flight;
                write(now.bytes());
                if (!isClosed() && now.row.sentUs == 0) {
                    now.row.sentUs = EventLoop.nowUs();
                }
            }

            @Override
            protected void onBytesReceived() throws IOException {
                Message answer;
                try {
                    answer = framer.next();
                } catch (MalformedHttpException e) {
                    unreadable();
                    return;
                }
                if (answer != null) {
                    answered(answer);
                }
            }

            private void unreadable() {
                if (flight == null) {
                    close();
                } else {
                    end(flight, ClientAttempt.UNREADABLE);
                }
            }

            private void answered(Message answer) {
                Flight done = flight;
                if (done == null) {
                    close();
                    return;
                }
                used = true;
                if (!profile.services().isEmpty()) {
                    done.row.body = answer.bodyText();
                }
                String after = answer.header("retry-after");
                if (after != null && after.matches("[0-9]+(\\.[0-9]+)?")) {
                    done.row.hasRetryAfter = true;
                    done.row.retryAfterUs = Math.round(Double.parseDouble(after) * 1e6);
                }
                if (answer.isKeepAlive() && !framer.isMidMessage()) {
                    done.on = null;
                    flight = null;
                    idle.get(target).add(this);
                }
                String outcome = Integer.toString(answer.status());
                if (flight != null) {
                    flight = null;
                    done.on = null;
                    close();
                }
                end(done, outcome);
            }

            @Override
            protected void onPeerClosed() {
                Message last = framer.finishAtEndOfStream();
                if (last != null && flight != null) {
                    answered(last);
                }
                close();
            }

            @Override
            protected void onClosed() {
                open--;
                idle.get(target).remove(this);
                Flight cut = flight;
                flight = null;
                if (cut == null || cut.over) {
                    freed();
                    return;
                }
                cut.on = null;
                if (!isUp) {
                    end(cut, ClientAttempt.REFUSED);
                } else if (used && !cut.sentAgain && !framer.isMidMessage()) {
                    // The close crossed this request, which the other side has not read: sent once more.
                    cut.sentAgain = true;
                    connect(cut, target);
                } else {
                    end(cut, ClientAttempt.RESET);
                }
            }
        }
    }
}
