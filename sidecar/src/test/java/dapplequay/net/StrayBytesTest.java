package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes that arrive on an idle connection, or its end, just when an attempt takes the connection. */
@Timeout(60)
class StrayBytesTest {
    /** What a host does on its idle connection. */
    enum HostAction { CLOSES, RESETS, SENDS }

    private static final String STRAY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

    private final UpstreamRig rig = new UpstreamRig(10);

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * The reading thread is blocked while it reports the previous answer, and its connection is idle already: the stray
     * bytes are unread in the socket when the next attempt takes the connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 20", STRAY})
    void unreadBytesAreNotTakenAsTheNextAttemptsAnswer(String stray) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            rig.onAttemptEnd = ended -> {
                rig.onAttemptEnd = next -> { };
                await(go);
            };
            Socket first = rig.sendAndServe("s0", host).socket();
            write(first, stray);
            Attempt attempt = rig.attempt("s0", Long.MAX_VALUE);
            rig.pool.send(attempt);
            go.countDown();
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "done"));
            assertThat(host.next().socket()).isNotSameAs(first);
            assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).as("the first one is closed").isTrue();
            assertThat(rig.ends).isEmpty();
        }
    }

    private static void perform(Socket socket, HostAction action, String stray) throws IOException {
        switch (action) {
            case SENDS -> write(socket, stray);
            case RESETS -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            default -> socket.close();
        }
    }

    private static void await(CountDownLatch gate) {
        try {
            gate.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * The reading thread has seen the end, or stray bytes, and is blocked on the lock of the pool, which still holds
     * its connection. An attempt that takes it then never runs there, and is written to another connection.
     */
    @ParameterizedTest
    @EnumSource(HostAction.class)
    void attemptOnAConnectionThatHasJustEndedIsWrittenToAnother(HostAction action) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Socket first = rig.sendAndServe("s0", host).socket();
            Attempt attempt = rig.attempt("s0", Long.MAX_VALUE);
            synchronized (rig.pool) {
                perform(first, action, "HTTP/1.1 2");
                rig.awaitBlocked();
                rig.pool.send(attempt);
            }
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "done"));
            assertThat(host.next().socket()).isNotSameAs(first);
            rig.awaitThreads(1);
            assertThat(rig.ends).as("the end is reported once").isEmpty();
        }
    }

    /** A second answer may come some milliseconds late, and would be taken as the answer of the next attempt. */
    @Test
    void connectionIsNotReusedBeforeItHasSettled() throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Socket first = rig.sendAndServe("s0", host).socket();
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.next().socket()).as("it has settled").isSameAs(first);
            rig.nowUs.addAndGet(15_000);
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.awaitSettleWaits(1);
            rig.advanceWhileSettling(4_999);
            assertThat(host.received).as("19.999 ms after its last answer").isEmpty();
            rig.nowUs.addAndGet(1);
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.next().socket()).as("20 ms after it, and no new one").isSameAs(first);
        }
    }

    /** Two attempts wait for one settling connection each, and only the third opens another connection. */
    @Test
    void settlingConnectionIsReservedForOneAttempt() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Host host = new Host((head, request) -> {
            await(go);
            return Host.ok("done");
        })) {
            rig.list("SERVING", host.port());
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            List<Socket> used = List.of(host.next().socket(), host.next().socket());
            go.countDown();
            rig.next();
            rig.next();
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.awaitSettleWaits(2);
            rig.nowUs.addAndGet(5_000);
            Attempt third = rig.attempt("s0", Long.MAX_VALUE);
            rig.pool.send(third);
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(third, AttemptEnd.SERVED, "done"));
            assertThat(host.next().socket()).isNotIn(used);
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US - 5_000);
            rig.next();
            rig.next();
            assertThat(List.of(host.next().socket(), host.next().socket())).containsExactlyInAnyOrderElementsOf(used);
        }
    }

    /** A second answer, or the end, comes while an attempt waits: the attempt goes to a new connection. */
    @ParameterizedTest
    @EnumSource(HostAction.class)
    void connectionThatEndsWhileAnAttemptWaitsForItIsNotUsed(HostAction action) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.next();
            Socket first = host.next().socket();
            rig.nowUs.addAndGet(5_000);
            Attempt attempt = rig.attempt("s0", Long.MAX_VALUE);
            rig.pool.send(attempt);
            rig.awaitSettleWaits(1);
            rig.advanceWhileSettling(10_000);
            perform(first, action, STRAY);
            assertThat(rig.next()).as("before the first connection would have settled").isEqualTo(
                    new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "done"));
            assertThat(host.next().socket()).isNotSameAs(first);
            assertThat(attempt.durationUs(AttemptEnd.NOT_CONNECTED,
                    rig.nowUs.get())).as("the attempt's time begins with the new connection").isZero();
            assertThat(rig.ends).as("the end is reported once").isEmpty();
        }
    }

    /** An abort ends the wait without blame for the host, and the connection remains for the next attempt. */
    @ParameterizedTest
    @EnumSource(value = AttemptEnd.class, names = {"GIVEN_UP", "TIMED_OUT", "SILENT"})
    void attemptThatIsAbortedWhileItWaitsIsNotSent(AttemptEnd cause) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.next();
            Socket first = host.next().socket();
            Attempt attempt = rig.attempt("s0", Long.MAX_VALUE);
            rig.pool.send(attempt);
            rig.awaitSettleWaits(1);
            attempt.abort(cause);
            AttemptEnd expected = cause == AttemptEnd.GIVEN_UP ? cause : AttemptEnd.NOT_SENT;
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, expected, null));
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.next().socket()).as("the first request after the abort").isSameAs(first);
        }
    }

    /** The news of the drain comes between the answer and the return of its connection to the pool. */
    @Test
    void connectionReturnedWhileItsHostBeginsToDrainIsClosed() throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Endpoints.Endpoint endpoint = rig.endpoints.endpointOf("s0");
            synchronized (rig.pool) {
                rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
                rig.awaitBlocked();
                rig.list("DRAINING", host.port());
                rig.pool.closeIdle(List.of(endpoint));
            }
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** With a limit of one connection, each attempt evicts the other host's; the limit counts no eviction twice. */
    @Test
    void evictedConnectionsAreCountedOnceAndNotReused() throws Exception {
        UpstreamRig smallRig = new UpstreamRig(1);
        CountDownLatch go = new CountDownLatch(1);
        try (Host a = new Host((head, request) -> Host.ok("a")); Host b = new Host((head, request) -> Host.ok("b"));
             Host silent = new Host((head, request) -> {
                 go.await();
                 return Host.ok("late");
             })) {
            smallRig.list("SERVING", a.port(), b.port(), silent.port());
            for (int i : IntStream.range(0, 20).toArray()) {
                smallRig.pool.send(smallRig.attempt("s" + i % 2, Long.MAX_VALUE));
                assertThat(smallRig.next().body()).isEqualTo(i % 2 == 0 ? "a" : "b");
                smallRig.nowUs.addAndGet(400_000);
            }
            assertThat(List.of(a.received.size(), b.received.size())).containsExactly(10, 10);
            smallRig.pool.closeAllIdle();
            smallRig.awaitThreads(0);
            smallRig.pool.send(smallRig.attempt("s2", Long.MAX_VALUE));
            silent.next();
            smallRig.pool.send(smallRig.attempt("s0", Long.MAX_VALUE));
            assertThat(smallRig.next().end()).as("the one allowed connection is busy").isEqualTo(AttemptEnd.NOT_SENT);
            go.countDown();
            assertThat(smallRig.next().body()).isEqualTo("late");
        }
    }
}
