package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Attempts that follow each other before the connection to their host has settled. */
@Timeout(60)
class SpareConnectionsTest {
    private final UpstreamRig rig = new UpstreamRig(10);
    private volatile Attempt sent;

    /** Opens a host that answers once the attempt's write is recorded: after an earlier answer there is no reuse. */
    private Host host() throws IOException {
        return new Host((head, request) -> {
            Attempt answered = sent;
            while (answered.isWriting()) {
                Thread.onSpinWait();
            }
            return Host.ok("done");
        });
    }

    private Attempt send() {
        Attempt attempt = rig.attempt("s0", Long.MAX_VALUE);
        sent = attempt;
        rig.pool.send(attempt);
        return attempt;
    }

    /** Serves attempts one after the other at this interval, and returns the one connection that they all used. */
    private Socket servedInARow(Host host, long gapUs) throws Exception {
        Socket used = null;
        for (int i = 0; i < SpareConnectionPolicy.WINDOW_ATTEMPTS; i++) {
            rig.nowUs.addAndGet(gapUs);
            send();
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            Socket next = host.next().socket();
            assertThat(used == null ? next : used).as("all on one connection").isSameAs(next);
            used = next;
        }
        return used;
    }

    /** At a steady pace each request waited 20 ms for the only connection, on which an answer had just come. */
    @Test
    void atASteadyPaceAnAttemptTakesASpareConnection() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            Socket first = servedInARow(host, UpstreamPool.SETTLE_US);
            for (int i = 0; i < 2; i++) {
                Attempt attempt = send();       // the clock does not move
                assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "done"));
                assertThat(host.next().socket()).as("the first has not settled").isNotSameAs(first);
            }
        }
    }

    /** At a slow pace, a handshake to save a short wait would cost hosts more than it gains. */
    @Test
    void atASlowPaceAnAttemptWaitsForTheConnectionToSettle() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            Socket first = servedInARow(host, 2 * SpareConnectionPolicy.MAX_MEAN_GAP_US);
            send();
            rig.awaitSettleWaits(1);
            rig.advanceWhileSettling(UpstreamPool.SETTLE_US - 1);
            rig.nowUs.addAndGet(1);
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            assertThat(host.next().socket()).isSameAs(first);
        }
    }

    /** The news of the drain comes while the spare connection is opened. */
    @Test
    void spareConnectionToAHostThatBeginsToDrainIsClosed() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            servedInARow(host, UpstreamPool.SETTLE_US);
            Attempt attempt;
            synchronized (rig.pool) {
                attempt = send();
                rig.awaitBlocked();             // it is open, but not in the pool yet
                rig.list("DRAINING", host.port());
            }
            assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.NOT_SENT, null));
            assertThat(host.received).isEmpty();
        }
    }

    /** The balancer took the wait for a connection as a silent host, and repeated requests that had run. */
    @Test
    void attemptCountsAsStartedWhenItsWaitIsOver() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            send();
            rig.next();
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            send();
            rig.next();
            assertThat(rig.started).as("on a new connection, and on a settled one").hasSize(2);
            Attempt attempt = send();
            rig.awaitSettleWaits(1);
            assertThat(rig.started).hasSize(2);
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            rig.next();
            assertThat(rig.started).last().isSameAs(attempt);
        }
    }
}
