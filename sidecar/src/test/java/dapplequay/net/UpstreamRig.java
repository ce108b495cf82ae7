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
    static final long TIME_US = 10_000_000;
    /** Far more than sockets hold, bytes. */
    private static final int LARGE = 16 << 20;
    private static final Predicate<Thread> WAITER = t -> t.getName().startsWith("waits");

    /** One attempt's end, in the order told. */
    record Ended(Attempt attempt, AttemptEnd end, String body) { }

    /** An exchange without a client's connection: its client is there. */
    static final class Listening extends Exchange {
        Listening(long id, ClientRequest request) {
            super(id, null, request, new RequestCounts());
        }

        @Override
        void checkClientPresence() { }
    }

    final AtomicLong now = new AtomicLong(1_000_000_000);
    final Endpoints table = new Endpoints();
    final BlockingQueue<Ended> ends = new LinkedBlockingQueue<>();
    /** The attempts that are held back no longer, in the order told. */
    final BlockingQueue<Attempt> started = new LinkedBlockingQueue<>();
    final DeadlineQueue deadlines = new DeadlineQueue(this::look);
    final UpstreamPool side;
    volatile Consumer<Ended> atEnd = ended -> { };
    /** When the listed hosts started, as the next list says. */
    long bootMs;
    private final Set<Integer> listed = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Runnable> atLook = new AtomicReference<>();
    private volatile Predicate<Thread> looks = t -> false;
    private long ids;

    UpstreamRig(int most) {
        SettingsReader.Setup setup = new SettingsReader.Setup(null, Map.of(), Map.of(), TIME_US, 3 * TIME_US);
        side = new UpstreamPool(table, deadlines, () -> setup, most, new RequestCounts(), new DiscoveryMetrics());
        side.setDispatcher(new RequestDispatcher(null, side) {
            @Override
            void attemptStarted(Attempt attempt) {
                started.add(attempt);
            }

            @Override
            void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
                Ended ended = new Ended(attempt, end, body == null ? null : new String(body, StandardCharsets.ISO_8859_1));
                ends.add(ended);
                atEnd.accept(ended);
            }
        });
    }

    private long look() {
        long time = now.get();
        boolean his = looks.test(Thread.currentThread());
        Runnable action = his ? atLook.getAndSet(null) : null;
        if (action != null) {
            action.run();
        }
        return time;
    }

    /** To be done at the next look at the clock by this thread, or, null, by one that serves a connection. */
    void atLook(Thread by, Runnable action) {
        atLook(by == null ? t -> t.getName().startsWith("upstream") : t -> t == by, action);
    }

    private void atLook(Predicate<Thread> by, Runnable action) {
        looks = by;
        atLook.set(action);
    }

    /** The list: hosts s0, s1 ... at these ports. */
    void list(String state, int... ports) {
        IntStream.of(ports).forEach(listed::add);
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            targets.add("{\"uid\":\"s" + i + "\",\"endpoint\":\"127.0.0.1:" + ports[i] + "\",\"az\":\"a\","
                    + "\"boot_ms\":" + bootMs + ",\"state\":\"" + state + "\"}");
        }
        try {
            table.restore(Endpoints.parse(("{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", targets) + "]}")
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
        return attempt(host, Long.MAX_VALUE, "POST /pay HTTP/1.1", false, LARGE);
    }

    /** One whose body is still to come from its client. */
    Attempt longAttempt(String host, long beginByUs) {
        return attempt(host, beginByUs, "POST /pay HTTP/1.1\r\nContent-Length: 100000", true, 0);
    }

    private Attempt attempt(String host, long beginByUs, String head, boolean isLong, int held) {
        try {
            Head read = Head.parseRequest(head.getBytes(StandardCharsets.US_ASCII));
            MessageReader reader = new MessageReader(new ByteArrayInputStream(new byte[0]),
                    MessageReader.MAX_BODY_BYTES);
            ClientRequest request = new ClientRequest(read, new byte[held], isLong ? reader.requestBody(read) : null,
                    "pay", null, null, TIME_US);
            return new Attempt(new Listening(++ids, request),
                    new Decision.Send(0, host, TIME_US, beginByUs), now.get());
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
    Host.Seen served(String name, Host host) throws InterruptedException {
        side.send(attempt(name, Long.MAX_VALUE));
        Ended ended = next();
        if (ended.end() != AttemptEnd.SERVED) {
            throw new AssertionError("not served: " + ended);
        }
        now.addAndGet(400_000);
        return host.next();
    }

    /** The threads that serve connections to hosts that were listed here. */
    private Stream<Thread> threads() {
        return Thread.getAllStackTraces().keySet().stream().filter(t -> t.getName().startsWith("upstream")
                && listed.contains(Integer.parseInt(t.getName().substring(t.getName().lastIndexOf(':') + 1))));
    }

    /** Waits until that many attempts wait for a connection to have rested, each since it last looked at the clock. */
    void awaitResting(int many) {
        while (Thread.getAllStackTraces().entrySet().stream().filter(e -> WAITER.test(e.getKey())
                && e.getKey().getState() == Thread.State.TIMED_WAITING && Arrays.stream(e.getValue()).anyMatch(
                        f -> f.getClassName().equals(Attempt.class.getName()))).count() != many) {
            if (!ends.isEmpty() || Thread.interrupted()) {      // interrupted: the test's time is over
                throw new AssertionError("did not wait: " + ends);
            }
            Thread.onSpinWait();
        }
    }

    /** The clock goes on; who waits for a connection to have rested has looked at it and waits on. */
    void passWithNobodyRested(long us) {
        CountDownLatch looks = new CountDownLatch(2);
        atLook(WAITER, looks::countDown);
        now.addAndGet(us);
        while (looks.getCount() > 0) {
            if (!ends.isEmpty() || Thread.interrupted()) {      // interrupted: the test's time is over
                throw new AssertionError("did not wait: " + ends);
            }
            if (atLook.get() == null) {
                atLook(WAITER, looks::countDown);       // and has not gone on after the first look
            }
            Thread.onSpinWait();
        }
        awaitResting(1);
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
    void awaitThreads(int most) {
        while (threads().count() > most) {
            Thread.onSpinWait();
        }
    }
}
