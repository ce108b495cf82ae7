package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What changes between the decision for an attempt and its first byte: nothing of it goes out, and it never ran. */
@Timeout(60)
class WriteGuardTest {
    private static final long WINDOW_US = 500_000;

    /** What happens meanwhile; NOTHING: the attempt is served, so that it is the change that stops it. */
    enum Meanwhile { NOTHING, CLIENT_GONE, WINDOW_OVER, TIME_OVER, HOST_DRAINS, HOST_RESTARTED }

    private final UpstreamRig rig = new UpstreamRig(10);

    private void happen(Meanwhile what, Attempt attempt, int port) {
        switch (what) {
            case CLIENT_GONE -> attempt.exchange.claim();      // and its attempt has not been cut yet
            case WINDOW_OVER -> rig.now.addAndGet(WINDOW_US);
            case TIME_OVER -> rig.now.addAndGet(UpstreamRig.TIME_US);
            case HOST_DRAINS -> rig.list("DRAINING", port);
            case HOST_RESTARTED -> {
                rig.bootMs++;
                rig.list("SERVING", port);
            }
            default -> { }
        }
    }

    private void assertStopped(Meanwhile what, Attempt attempt) throws InterruptedException {
        assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, what == Meanwhile.NOTHING ? AttemptEnd.SERVED
                : AttemptEnd.NOT_SENT, what == Meanwhile.NOTHING ? "done" : null));
        assertThat(rig.ends).as("told once").isEmpty();
    }

    /** The connecting thread looks at the clock before it connects: there it happens. */
    @ParameterizedTest
    @EnumSource(Meanwhile.class)
    void anAttemptThatWaitedForItsConnect(Meanwhile what) throws Exception {
        try (Host host = new Host((head, seen) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Attempt attempt = rig.attempt("s0", rig.now.get() + WINDOW_US);
            rig.atLook(null, () -> happen(what, attempt, host.port()));
            rig.side.send(attempt);
            assertStopped(what, attempt);
            if (what != Meanwhile.NOTHING) {
                assertThat(host.closed.poll(Host.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
                assertThat(host.seen).isEmpty();
            }
        }
    }

    /** The sending thread looks at the clock once it knows the way and has taken the request up. */
    @ParameterizedTest
    @EnumSource(Meanwhile.class)
    void anAttemptForAUsedConnection(Meanwhile what) throws Exception {
        try (Host host = new Host((head, seen) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Socket used = rig.served("s0", host).socket();
            Attempt attempt = rig.attempt("s0", rig.now.get() + WINDOW_US);
            rig.atLook(Thread.currentThread(), () -> happen(what, attempt, host.port()));
            rig.side.send(attempt);
            assertStopped(what, attempt);
            if (what == Meanwhile.NOTHING) {
                assertThat(host.next().socket()).isSameAs(used);
            } else {
                assertThat(host.closed.poll(Host.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
                assertThat(host.seen).isEmpty();
            }
        }
    }

    /** It happens while the attempt waits for the one connection to have rested; that connection stays. */
    @ParameterizedTest
    @EnumSource(Meanwhile.class)
    void anAttemptThatWaitedForARestingConnection(Meanwhile what) throws Exception {
        try (Host host = new Host((head, seen) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            rig.side.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.next();
            Socket used = host.next().socket();
            Attempt attempt = rig.attempt("s0", rig.now.get() + WINDOW_US);
            rig.side.send(attempt);
            rig.awaitResting(1);
            happen(what, attempt, host.port());
            rig.now.addAndGet(UpstreamPool.SETTLE_US);
            assertStopped(what, attempt);
            if (what == Meanwhile.NOTHING) {
                assertThat(host.next().socket()).isSameAs(used);
            }
            assertThat(host.seen).isEmpty();
            assertThat(host.closed).isEmpty();
        }
    }

    /** Its client's thread connects for it; its time begins only with its last byte. */
    @ParameterizedTest
    @EnumSource(value = Meanwhile.class, names = {"CLIENT_GONE", "WINDOW_OVER", "HOST_DRAINS", "HOST_RESTARTED"})
    void aLongRequest(Meanwhile what) throws Exception {
        try (ServerSocket host = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            rig.list("SERVING", host.getLocalPort());
            Attempt attempt = rig.longAttempt("s0", rig.now.get() + WINDOW_US);
            UpstreamConnection connection = new UpstreamConnection(rig.side, rig.table.endpointOf("s0"), attempt);
            attempt.setConnection(connection, -1);
            rig.atLook(Thread.currentThread(), () -> happen(what, attempt, host.getLocalPort()));
            assertThat(connection.connectForUpload()).isFalse();
            assertStopped(what, attempt);
            connection.uploadEnded(false);
            assertThat(rig.ends).as("told once").isEmpty();
            try (Socket accepted = host.accept()) {
                assertThat(accepted.getInputStream().read()).as("not one byte").isEqualTo(-1);
            }
        }
    }

    /** A connect that never comes up would else be waited for until long after the window. */
    @Test
    void aConnectIsNotWaitedForBeyondTheWindow() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fill(full, fillers);
            rig.list("SERVING", full.getLocalPort());
            Attempt attempt = rig.attempt("s0", rig.now.get() + 50_000);
            // The clock stands still until the connecting thread has looked how long it may wait.
            rig.atLook(null, () -> rig.now.addAndGet(50_000));
            long started = System.nanoTime();
            rig.side.send(attempt);
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.NOT_SENT);
            assertThat(System.nanoTime() - started).as("and not the connect's own 10 s").isLessThan(9_000_000_000L);
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Connects until no more come up: the system drops what goes beyond the listener's backlog. */
    static void fill(ServerSocket listener, List<Socket> fillers) throws Exception {
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(listener.getLocalSocketAddress(), 100);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }
}
