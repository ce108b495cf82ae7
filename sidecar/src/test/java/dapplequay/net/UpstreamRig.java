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
 * The upstream side alone before real hosts. Its clock stands still but for the test, which may do something at a
 * thread's next look at it; where attempts end, a thread may be held.
 */
final class UpstreamRig {
    static final long ATTEMPT_TIME_US = 10_000_000;
    /** Far more than sockets hold, bytes. */
    private static final int LARGE_BODY_BYTES = 16 << 20;
    private static final Predicate<Thread> IS_WAITING_SENDER = t -> t.getName().startsWith("waits");

    /** One attempt's end, in the order told. */
    record Ended(Attempt attempt, AttemptEnd end, String body) { }

    /** An exchange without a client's connection: its client is there. */
    static final class ConnectionlessExchange extends Exchange {
        ConnectionlessExchange(long id, ClientRequest request) {
            super(id, null, request, new RequestCounts());
        }

        @Override
        void checkClientPresence() { }
    }

    final AtomicLong nowUs = new AtomicLong(1_000_000_000);
    final Endpoints endpoints = new Endpoints();
    final BlockingQueue<Ended> ends = new LinkedBlockingQueue<>();
    /** The attempts that are held back no longer, in the order told. */
    final BlockingQueue<Attempt> started = new LinkedBlockingQueue<>();
    final DeadlineQueue deadlines = new DeadlineQueue(this::readClock);
    final UpstreamPool pool;
    volatile Consumer<Ended> onAttemptEnd = ended -> { };
    /** When the listed hosts started, as the next list says. */
    long bootMs;
    private final Set<Integer> listedPorts = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Runnable> clockReadAction = new AtomicReference<>();
    private volatile Predicate<Thread> isHookedThread = t -> false;
    private long lastId;

    UpstreamRig(int maxConnections) {
        SettingsReader.Setup setup = new SettingsReader.Setup(null, Map.of(), Map.of(), ATTEMPT_TIME_US, 3 * ATTEMPT_TIME_US);
        pool = new UpstreamPool(endpoints, deadlines, () -> setup, maxConnections, new RequestCounts(), new DiscoveryMetrics());
        pool.setDispatcher(new RequestDispatcher(null, pool) {
            @Override
            void attemptStarted(Attempt attempt) {
                started.add(attempt);
            }

            @Override
            void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
                Ended ended = new Ended(attempt, end, body == null ? null : new String(body, StandardCharsets.ISO_8859_1));
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

    /** To be done at the next look at the clock by this thread, or, null, by one that serves a connection. */
    void onClockRead(Thread by, Runnable action) {
        onClockRead(by == null ? t -> t.getName().startsWith("upstream") : t -> t == by, action);
    }

    private void onClockRead(Predicate<Thread> by, Runnable action) {
        isHookedThread = by;
        clockReadAction.set(action);
    }

    /** The list: hosts s0, s1 ... at these ports. */
    void list(String state, int... ports) {
        IntStream.of(ports).forEach(listedPorts::add);
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            targets.add("{\"uid\":\"s" + i + "\",\"endpoint\":\"127.0.0.1:" + ports[i] + "\",\"az\":\"a\","
                    + "\"boot_ms\":" + bootMs + ",\"state\":\"" + state + "\"}");
        }
        try {
            endpoints.restore(Endpoints.parse(("{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", targets) + "]}")
                    .getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    Attempt attempt(String host, long beginByUs) {
        return attempt(host, beginByUs, "POST /pay HTTP/1.1", false, 0);
    }

    /** One that is held whole, and whose write waits until the host reads. */
    Attempt largeAttempt(String host) {
        return attempt(host, Long.MAX_VALUE, "POST /pay HTTP/1.1", false, LARGE_BODY_BYTES);
    }

    /** One whose body is still to come from its client. */
    Attempt longAttempt(String host, long beginByUs) {
        return attempt(host, beginByUs, "POST /pay HTTP/1.1\r\nContent-Length: 100000", true, 0);
    }

    private Attempt attempt(String host, long beginByUs, String head, boolean isLong, int heldBytes) {
        try {
            Head read = Head.parseRequest(head.getBytes(StandardCharsets.US_ASCII));
            MessageReader reader = new MessageReader(new ByteArrayInputStream(new byte[0]),
                    MessageReader.MAX_BODY_BYTES);
            ClientRequest request = new ClientRequest(read, new byte[heldBytes], isLong ? reader.requestBody(read) : null,
                    "pay", null, null, ATTEMPT_TIME_US);
            return new Attempt(new ConnectionlessExchange(++lastId, request),
                    new Decision.Send(0, host, ATTEMPT_TIME_US, beginByUs), nowUs.get());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    Ended next() throws InterruptedException {
        Ended next = ends.poll(Host.PATIENCE_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no attempt ended");
        }
        return next;
    }

    /** Sends an attempt that is served, and lets its connection rest until it may be used again. */
    Host.ReceivedRequest sendAndServe(String name, Host host) throws InterruptedException {
        pool.send(attempt(name, Long.MAX_VALUE));
        Ended ended = next();
        if (ended.end() != AttemptEnd.SERVED) {
            throw new AssertionError("not served: " + ended);
        }
        nowUs.addAndGet(400_000);
        return host.next();
    }

    /** The threads that serve connections to hosts that were listed here. */
    private Stream<Thread> threads() {
        return Thread.getAllStackTraces().keySet().stream().filter(t -> t.getName().startsWith("upstream")
                && listedPorts.contains(Integer.parseInt(t.getName().substring(t.getName().lastIndexOf(':') + 1))));
    }

    /** Waits until that many attempts wait for a connection to have rested, each since it last looked at the clock. */
    void awaitSettleWaits(int count) {
        while (Thread.getAllStackTraces().entrySet().stream().filter(e -> IS_WAITING_SENDER.test(e.getKey())
                && e.getKey().getState() == Thread.State.TIMED_WAITING && Arrays.stream(e.getValue()).anyMatch(
                        f -> f.getClassName().equals(Attempt.class.getName()))).count() != count) {
            if (!ends.isEmpty() || Thread.interrupted()) {      // interrupted: the test's time is over
                throw new AssertionError("did not wait: " + ends);
            }
            Thread.onSpinWait();
        }
    }

    /** The clock goes on; who waits for a connection to have rested has looked at it and waits on. */
    void advanceWhileSettling(long advanceUs) {
        CountDownLatch clockReads = new CountDownLatch(2);
        onClockRead(IS_WAITING_SENDER, clockReads::countDown);
        nowUs.addAndGet(advanceUs);
        while (clockReads.getCount() > 0) {
            if (!ends.isEmpty() || Thread.interrupted()) {      // interrupted: the test's time is over
                throw new AssertionError("did not wait: " + ends);
            }
            if (clockReadAction.get() == null) {
                onClockRead(IS_WAITING_SENDER, clockReads::countDown);       // and has not gone on after the first look
            }
            Thread.onSpinWait();
        }
        awaitSettleWaits(1);
    }

    /** Waits until a connection's thread stands before the side's lock, which the caller holds. */
    void awaitBlocked() {
        while (threads().noneMatch(t -> t.getState() == Thread.State.BLOCKED)) {
            Thread.onSpinWait();
        }
    }

    /** Waits until an attempt has ended, or a connection's thread waits for another one. */
    void awaitEndOrWaiting() {
        while (ends.isEmpty() && threads().noneMatch(t -> t.getState() == Thread.State.WAITING)) {
            Thread.onSpinWait();
        }
    }

    /** Waits until no more than so many threads serve connections. */
    void awaitThreads(int maxThreads) {
        while (threads().count() > maxThreads) {
            Thread.onSpinWait();
        }
    }
}
