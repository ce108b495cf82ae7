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

/** Changes between the decision for an attempt and its first byte: nothing is written, and the request never ran. */
@Timeout(60)
class WriteGuardTest {
    private static final long WINDOW_US = 500_000;

    /** NOTHING is the control: the attempt is served, which shows that it is the change that stops the others. */
    enum Change { NOTHING, CLIENT_GONE, WINDOW_OVER, TIMEOUT_OVER, HOST_DRAINS, HOST_RESTARTED }

    private final UpstreamRig rig = new UpstreamRig(10);

    private void apply(Change change, Attempt attempt, int port) {
        switch (change) {
            case CLIENT_GONE -> attempt.exchange.claim();      // its attempt has not been aborted yet
            case WINDOW_OVER -> rig.nowUs.addAndGet(WINDOW_US);
            case TIMEOUT_OVER -> rig.nowUs.addAndGet(UpstreamRig.ATTEMPT_TIME_US);
            case HOST_DRAINS -> rig.list("DRAINING", port);
            case HOST_RESTARTED -> {
                rig.bootMs++;
                rig.list("SERVING", port);
            }
            default -> { }
        }
    }

    private void assertNotSentUnlessUnchanged(Change change, Attempt attempt) throws InterruptedException {
        assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, change == Change.NOTHING ? AttemptEnd.SERVED
                : AttemptEnd.NOT_SENT, change == Change.NOTHING ? "done" : null));
        assertThat(rig.ends).as("the end is reported once").isEmpty();
    }

    /** The change comes when the connecting thread reads the clock before it connects. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void attemptIsNotWrittenAfterAChangeDuringItsConnect(Change change) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Attempt attempt = rig.attempt("s0", rig.nowUs.get() + WINDOW_US);
            rig.onClockRead(null, () -> apply(change, attempt, host.port()));
            rig.pool.send(attempt);
            assertNotSentUnlessUnchanged(change, attempt);
            if (change != Change.NOTHING) {
                assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
                assertThat(host.received).isEmpty();
            }
        }
    }

    /** The change comes when the sending thread reads the clock, after it has chosen a connection. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void attemptIsNotWrittenToAReusedConnectionAfterAChange(Change change) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            Socket used = rig.sendAndServe("s0", host).socket();
            Attempt attempt = rig.attempt("s0", rig.nowUs.get() + WINDOW_US);
            rig.onClockRead(Thread.currentThread(), () -> apply(change, attempt, host.port()));
            rig.pool.send(attempt);
            assertNotSentUnlessUnchanged(change, attempt);
            if (change == Change.NOTHING) {
                assertThat(host.next().socket()).isSameAs(used);
            } else {
                assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
                assertThat(host.received).isEmpty();
            }
        }
    }

    /** The change comes while the attempt waits for the only connection to settle; the connection stays open. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void attemptIsNotWrittenAfterAChangeWhileTheConnectionSettles(Change change) throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            rig.list("SERVING", host.port());
            rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
            rig.next();
            Socket used = host.next().socket();
            Attempt attempt = rig.attempt("s0", rig.nowUs.get() + WINDOW_US);
            rig.pool.send(attempt);
            rig.awaitSettleWaits(1);
            apply(change, attempt, host.port());
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            assertNotSentUnlessUnchanged(change, attempt);
            if (change == Change.NOTHING) {
                assertThat(host.next().socket()).isSameAs(used);
            }
            assertThat(host.received).isEmpty();
            assertThat(host.closed).isEmpty();
        }
    }

    /** The client's thread connects for a long request; the attempt's timeout begins only with its last byte. */
    @ParameterizedTest
    @EnumSource(value = Change.class, names = {"CLIENT_GONE", "WINDOW_OVER", "HOST_DRAINS", "HOST_RESTARTED"})
    void longRequestIsNotWrittenAfterAChangeDuringItsConnect(Change change) throws Exception {
        try (ServerSocket host = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            rig.list("SERVING", host.getLocalPort());
            Attempt attempt = rig.longAttempt("s0", rig.nowUs.get() + WINDOW_US);
            UpstreamConnection connection = new UpstreamConnection(rig.pool, rig.endpoints.endpointOf("s0"), attempt);
            attempt.setConnection(connection, -1);
            rig.onClockRead(Thread.currentThread(), () -> apply(change, attempt, host.getLocalPort()));
            assertThat(connection.connectForUpload()).isFalse();
            assertNotSentUnlessUnchanged(change, attempt);
            connection.uploadEnded(false);
            assertThat(rig.ends).as("the end is reported once").isEmpty();
            try (Socket accepted = host.accept()) {
                assertThat(accepted.getInputStream().read()).as("no byte was written").isEqualTo(-1);
            }
        }
    }

    /** Without a limit, a connect that is never answered would be waited for until long after the window. */
    @Test
    void connectIsNotWaitedForBeyondTheWindow() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fillBacklog(full, fillers);
            rig.list("SERVING", full.getLocalPort());
            Attempt attempt = rig.attempt("s0", rig.nowUs.get() + 50_000);
            // The clock moves only after the connecting thread has computed how long it may wait.
            rig.onClockRead(null, () -> rig.nowUs.addAndGet(50_000));
            long started = System.nanoTime();
            rig.pool.send(attempt);
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.NOT_SENT);
            assertThat(System.nanoTime() - started).as("within the 10 s of a connect").isLessThan(9_000_000_000L);
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Connects until a connect times out: the kernel drops connects beyond the listener's backlog. */
    static void fillBacklog(ServerSocket listener, List<Socket> fillers) throws Exception {
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
