package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Attempts that follow on each other so fast that the connection to their host has not rested yet. */
@Timeout(60)
class SpareConnectionsTest {
    private final UpstreamRig rig = new UpstreamRig(10);
    private volatile Attempt sent;

    /** Answers once the attempt's writer has done: a connection whose answer overtakes that is not used again. */
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

    /** Attempts that are served one after the other, each so long after the last; their one connection. */
    private Socket servedInARow(Host host, long gapUs) throws Exception {
        Socket used = null;
        for (int i = 0; i < SpareConnectionPolicy.WINDOW_ATTEMPTS; i++) {
            rig.nowUs.addAndGet(gapUs);
            send();
            assertThat(rig.next().end()).isEqualTo(AttemptEnd.SERVED);
            Socket next = host.next().socket();
            assertThat(used == null ? next : used).as("no other one").isSameAs(next);
            used = next;
        }
        return used;
    }

    /** Requests at a steady pace waited 20 ms each, as the one connection had just been answered on. */
    @Test
    void atASteadyPaceAnAttemptTakesAConnectionThatIsOpenedMeanwhile() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            Socket first = servedInARow(host, UpstreamPool.SETTLE_US);
            for (int i = 0; i < 2; i++) {
                Attempt attempt = send();       // and the clock stands still
                assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "done"));
                assertThat(host.next().socket()).as("an answer has just come there").isNotSameAs(first);
            }
        }
    }

    /** A handshake for each short wait would cost hosts more than it gives. */
    @Test
    void atASlowPaceAnAttemptWaits() throws Exception {
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

    /** The drain is told while the spare connection comes up. */
    @Test
    void aSpareConnectionToAHostThatBeginsToDrainIsClosed() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            servedInARow(host, UpstreamPool.SETTLE_US);
            Attempt attempt;
            synchronized (rig.pool) {
                attempt = send();
                rig.awaitBlocked();             // it is open, and not taken in yet
                rig.list("DRAINING", host.port());
            }
            assertThat(host.closed.poll(Host.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.NOT_SENT, null));
            assertThat(host.received).isEmpty();
        }
    }

    /** The module took the wait for a connection for its host's silence, and had what had run repeated elsewhere. */
    @Test
    void anAttemptCountsAsStartedWhenItsWaitIsOver() throws Exception {
        try (Host host = host()) {
            rig.list("SERVING", host.port());
            send();
            rig.next();
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            send();
            rig.next();
            assertThat(rig.started).as("a new connection, and a rested one").hasSize(2);
            Attempt attempt = send();
            rig.awaitSettleWaits(1);
            assertThat(rig.started).hasSize(2);
            rig.nowUs.addAndGet(UpstreamPool.SETTLE_US);
            rig.next();
            assertThat(rig.started).last().isSameAs(attempt);
        }
    }
}
