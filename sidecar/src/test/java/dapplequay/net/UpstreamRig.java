package dapplequay.net;

import dapplequay.facade.Decision;
import dapplequay.facade.HostLoad;
import dapplequay.facade.AttemptEnd;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.management.RequestCounts;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.settings.SettingsReader;
import dapplequay.time.DeadlineQueue;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * An {@link UpstreamPool} alone, connected to real hosts. Its clock moves only when a test moves it. A test may run an
 * action when a thread next reads the clock, and may block the thread that reports the end of an attempt.
 */
final class UpstreamRig {
    static final long ATTEMPT_TIME_US = 10_000_000;
    /** Far more than the socket buffers hold. */
    private static final int LARGE_BODY_BYTES = 16 << 20;
    private static final Predicate<Thread> IS_WAITING_SENDER = t -> t.getName().startsWith("waits");

    /** The reported end of an attempt; the body is null where there is no answer. */
    record Ended(Attempt attempt, AttemptEnd end, String body) { }

    /** An exchange without a client connection, whose client counts as present. */
    static final class ConnectionlessExchange extends Exchange {
        ConnectionlessExchange(long id, ClientRequest request) {
            super(id, null, request, new RequestCounts(), new RequestTimeline(0, 0, () -> 0));
        }

        @Override
        void checkClientPresence() { }
    }

    final AtomicLong nowUs = new AtomicLong(1_000_000_000);
    final Endpoints endpoints = new Endpoints();
    final BlockingQueue<Ended> ends = new LinkedBlockingQueue<>();
    /** The attempts reported as started, in the order of the reports. */
    final BlockingQueue<Attempt> started = new LinkedBlockingQueue<>();
    final DeadlineQueue deadlines = new DeadlineQueue(this::readClock);
    final UpstreamPool pool;
    volatile Consumer<Ended> onAttemptEnd = ended -> { };
    /** The start time that the next list gives for each of its hosts, ms. */
    long bootMs;
    private final Set<Integer> listedPorts = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Runnable> clockReadAction = new AtomicReference<>();
    private volatile Predicate<Thread> isHookedThread = t -> false;
    private long lastId;

    UpstreamRig(int maxConnections) {
        SettingsReader.Setup setup = new SettingsReader.Setup(null, Map.of(), Map.of(), ATTEMPT_TIME_US,
                3 * ATTEMPT_TIME_US);
        pool = new UpstreamPool(endpoints, deadlines, () -> setup, maxConnections, new RequestCounts(),
                new DiscoveryMetrics());
        pool.setDispatcher(new RequestDispatcher(null, pool) {
            @Override
            void attemptStarted(Attempt attempt) {
                started.add(attempt);
            }

            @Override
            void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
                Ended ended = new Ended(attempt, end,
                        body == null ? null : new String(body, StandardCharsets.ISO_8859_1));
                ends.add(ended);
                onAttemptEnd.accept(ended);
            }
        });
    }

    private long readClock() {
        long time = nowUs.get();
        boolean isHooked = isHookedThread.test(Thread.currentThread());
        Runnable action = isHooked ? clockReadAction.getAndSet(null) : null;
        if (action != null) {
            action.run();
        }
        return time;
    }

    /** Runs the action when this thread next reads the clock; null means any thread that serves a connection. */
    void onClockRead(Thread reader, Runnable action) {
        onClockRead(reader == null ? t -> t.getName().startsWith("upstream") : t -> t == reader, action);
    }

    private void onClockRead(Predicate<Thread> isReader, Runnable action) {
        isHookedThread = isReader;
        clockReadAction.set(action);
    }

    /** Applies a list of the hosts s0, s1, ... at these ports, all in this state. */
    void list(String state, int... ports) {
        IntStream.of(ports).forEach(listedPorts::add);
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            targets.add("{\"uid\":\"s" + i + "\",\"endpoint\":\"127.0.0.1:" + ports[i] + "\",\"az\":\"a\","
                    + "\"boot_ms\":" + bootMs + ",\"state\":\"" + state + "\"}");
        }
        try {
            endpoints.restore(Endpoints.parse(
                    ("{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", targets) + "]}")
                    .getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    Attempt attempt(String host, long beginByUs) {
        return attempt(host, beginByUs, "POST /pay HTTP/1.1", false, 0);
    }

    /** Returns an attempt whose whole body is in memory, and whose write blocks until the host reads. */
    Attempt largeAttempt(String host) {
        return attempt(host, Long.MAX_VALUE, "POST /pay HTTP/1.1", false, LARGE_BODY_BYTES);
    }

    /** Returns an attempt whose body is still to come from its client. */
    Attempt longAttempt(String host, long beginByUs) {
        return attempt(host, beginByUs, "POST /pay HTTP/1.1\r\nContent-Length: 100000", true, 0);
    }

    private Attempt attempt(String host, long beginByUs, String head, boolean isLong, int heldBytes) {
        try {
            Head read = Head.parseRequest(head.getBytes(StandardCharsets.US_ASCII));
            MessageReader reader = new MessageReader(new ByteArrayInputStream(new byte[0]),
                    MessageReader.MAX_BODY_BYTES);
            ClientRequest request = new ClientRequest(read, new byte[heldBytes],
                    isLong ? reader.requestBody(read) : null, "pay", null, null, ATTEMPT_TIME_US);
            return new Attempt(new ConnectionlessExchange(++lastId, request),
                    new Decision.Send(0, host, ATTEMPT_TIME_US, beginByUs), nowUs.get());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the next reported end, and fails if none is reported in time. */
    Ended next() throws InterruptedException {
        Ended next = ends.poll(Host.TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no attempt ended");
        }
        return next;
    }

    /** Sends an attempt, asserts that it is served, and advances the clock until its connection may be reused. */
    Host.ReceivedRequest sendAndServe(String name, Host host) throws InterruptedException {
        pool.send(attempt(name, Long.MAX_VALUE));
        Ended ended = next();
        if (ended.end() != AttemptEnd.SERVED) {
            throw new AssertionError("not served: " + ended);
        }
        nowUs.addAndGet(400_000);
        return host.next();
    }

    /** Returns the threads that serve connections to hosts that this rig has listed. */
    private Stream<Thread> threads() {
        return Thread.getAllStackTraces().keySet().stream().filter(t -> t.getName().startsWith("upstream")
                && listedPorts.contains(Integer.parseInt(t.getName().substring(t.getName().lastIndexOf(':') + 1))));
    }

    /** Waits until this many attempts wait for a connection to settle, each in its timed wait. */
    void awaitSettleWaits(int count) {
        while (Thread.getAllStackTraces().entrySet().stream().filter(e -> IS_WAITING_SENDER.test(e.getKey())
                && e.getKey().getState() == Thread.State.TIMED_WAITING && Arrays.stream(e.getValue()).anyMatch(
                        f -> f.getClassName().equals(Attempt.class.getName()))).count() != count) {
            if (!ends.isEmpty() || Thread.interrupted()) {      // interrupted: the test's time is over
                throw new AssertionError("the attempt did not wait: " + ends);
            }
            Thread.onSpinWait();
        }
    }

    /** Advances the clock, and waits until the one waiting attempt has read it and still waits. */
    void advanceWhileSettling(long advanceUs) {
        CountDownLatch clockReads = new CountDownLatch(2);
        onClockRead(IS_WAITING_SENDER, clockReads::countDown);
        nowUs.addAndGet(advanceUs);
        while (clockReads.getCount() > 0) {
            if (!ends.isEmpty() || Thread.interrupted()) {      // interrupted: the test's time is over
                throw new AssertionError("the attempt did not wait: " + ends);
            }
            if (clockReadAction.get() == null) {
                onClockRead(IS_WAITING_SENDER, clockReads::countDown);       // and it must read the clock a second time
            }
            Thread.onSpinWait();
        }
        awaitSettleWaits(1);
    }

    /** Waits until a connection's thread is blocked on the pool's lock, which the caller holds. */
    void awaitBlocked() {
        while (threads().noneMatch(t -> t.getState() == Thread.State.BLOCKED)) {
            Thread.onSpinWait();
        }
    }

    /** Waits until an attempt has ended, or a connection's thread is waiting for another thread. */
    void awaitEndOrWaiting() {
        while (ends.isEmpty() && threads().noneMatch(t -> t.getState() == Thread.State.WAITING)) {
            Thread.onSpinWait();
        }
    }

    /** Waits until at most this many threads serve connections. */
    void awaitThreads(int maxThreads) {
        while (threads().count() > maxThreads) {
            Thread.onSpinWait();
        }
    }
}
