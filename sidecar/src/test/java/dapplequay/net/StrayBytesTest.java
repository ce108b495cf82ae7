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

/** What comes on an idle connection, or ends it, in the very moment in which an attempt takes it. */
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
     * The reading thread is held at the client's side of the answer before, when its connection is free already: the
     * stray bytes lie with the system, and nobody has read them when the next attempt takes the connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 20", STRAY})
    void whatLiesUnreadIsNotTheNextAttemptsAnswer(String stray) throws Exception {
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
            assertThat(host.closed.poll(Host.PATIENCE_S, TimeUnit.SECONDS)).as("the first one is closed").isTrue();
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
     * The reading thread has seen the end, or stray bytes, and stands before the lock of the table in which its
     * connection still is: there an attempt takes it. It never ran there, and goes out on another one.
     */
    @ParameterizedTest
    @EnumSource(HostAction.class)
    void anAttemptTakesAConnectionWhoseThreadHasJustSeenItsEnd(HostAction action) throws Exception {
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
            assertThat(rig.ends).as("told once").isEmpty();
        }
    }

    /** A second answer may come some milliseconds late: an attempt on that connection would be served with it. */
    @Test
    void aConnectionIsNotUsedAgainWithinTheMillisecondsThatASecondAnswerMayBeLate() throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Socket first = rig.sendAndServe("s0", host).socket();
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.next().socket()).as("it has rested").isSameAs(first);
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

    /** The first to have rested is waited for by one; the next waits for the other, and only the third opens one. */
    @Test
    void aRestingConnectionIsPromisedToOneAttempt() throws Exception {
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

    /** The second answer comes while an attempt waits, or the end: it goes out on a new one, and its time begins there. */
    @ParameterizedTest
    @EnumSource(HostAction.class)
    void aConnectionThatEndsWhileALegWaitsForItIsNotUsed(HostAction action) throws Exception {
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
            assertThat(rig.next()).as("before the rest is over").isEqualTo(
                    new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "done"));
            assertThat(host.next().socket()).isNotSameAs(first);
            assertThat(attempt.durationUs(AttemptEnd.NOT_CONNECTED,
                    rig.nowUs.get())).as("what a failed connect would say").isZero();
            assertThat(rig.ends).as("told once").isEmpty();
        }
    }

    /** A cut while the attempt waits ends the wait; its host is not held against, and the connection is the next one's. */
    @ParameterizedTest
    @EnumSource(value = AttemptEnd.class, names = {"GIVEN_UP", "TIMED_OUT", "SILENT"})
    void anAttemptThatIsCutWhileItWaitsNeverRan(AttemptEnd why) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.next();
            Socket first = host.next().socket();
            Attempt attempt = rig.attempt("s0", Long.MAX_VALUE);
            rig.pool.send(attempt);
            rig.awaitSettleWaits(1);
            attempt.abort(why);
            AttemptEnd told = why == AttemptEnd.GIVEN_UP ? why : AttemptEnd.NOT_SENT;
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, told, null));
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.next().socket()).as("and nothing came before").isSameAs(first);
        }
    }

    /** The news of a drain come between the answer and the return of its connection to the idle ones. */
    @Test
    void aConnectionThatIsBeingFreedWhileItsHostBeginsToDrainIsClosed() throws Exception {
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
            assertThat(host.closed.poll(Host.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** At a bound of one: each attempt evicts the other host's connection; none is used after that, nor counted twice. */
    @Test
    void evictedConnectionsAreCountedOnceAndNotUsedAgain() throws Exception {
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
            assertThat(smallRig.next().end()).as("there is room for one, and that is out").isEqualTo(AttemptEnd.NOT_SENT);
            go.countDown();
            assertThat(smallRig.next().body()).isEqualTo("late");
        }
    }
}
