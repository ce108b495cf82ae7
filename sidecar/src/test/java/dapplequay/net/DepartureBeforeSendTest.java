package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against attempts that begin for clients that have gone, in a process whose timer thread is in time: only one
 * thread of the client's connection is late.
 */
@Timeout(60)
class DepartureBeforeSendTest extends ClosesWhatItOpened {
    /** The clock's steps before a test, so that the process counts neither as just started nor as late. */
    private static final int CLOCK_STEPS = 40;
    private static final long CLOCK_STEP_US = 30_000;
    private static final int FAILING_ATTEMPTS = 10;
    /** How late the reading thread is in noticing that its client has left: far longer than a retry takes. */
    private static final long LATE_READ_MS = 100;

    private final CountDownLatch released = new CountDownLatch(1);
    private final AtomicBoolean holdsAccept = new AtomicBoolean();
    private final AtomicBoolean holdsRead = new AtomicBoolean();
    private final AtomicBoolean holdsAfterRead = new AtomicBoolean();

    private void holdIf(AtomicBoolean holds, long atMostMs) {
        try {
            if (holds.get()) {
                released.await(atMostMs, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Opens a sidecar whose accepting or reading threads may be held. */
    private ClientRig rig(int... ports) throws Exception {
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks() {
            @Override
            void beforeAccept() {
                holdIf(holdsAccept, Host.TIMEOUT_S * 1_000);
            }

            @Override
            void beforeRead() {
                holdIf(holdsRead, Host.TIMEOUT_S * 1_000);
            }

            @Override
            void afterRead() {
                holdIf(holdsAfterRead, LATE_READ_MS);
            }
        }, 100, ports));
        for (int i = 0; i < CLOCK_STEPS; i++) {
            rig.stopClock(CLOCK_STEP_US);
            rig.tick();
        }
        return rig;
    }

    private static void disconnect(Host.Client client, boolean withReset) throws Exception {
        client.socket.setSoLinger(withReset, 0);
        client.close();
    }

    /** The time at which bytes were read said nothing about the client: they had lain in the socket until then. */
    @ParameterizedTest
    @CsvSource({"true,false", "true,true", "false,false", "false,true"})
    void nothingIsSentForAClientThatLeftBeforeItsThreadRan(boolean holdsAcceptingThread, boolean withReset)
            throws Exception {
        Host host = open(new Host((head, request) -> Host.ok("done")));
        ClientRig rig = rig(host.port());
        Host.Client present = rig.client();
        present.send(ClientRig.pay("before"));
        assertThat(present.answer().status()).isEqualTo(200);
        rig.accepted();
        rig.stopClock(UpstreamPool.SETTLE_US);
        (holdsAcceptingThread ? holdsAccept : holdsRead).set(true);
        if (holdsAcceptingThread) {
            rig.client();           // the accepting thread already waits for this one, and is held before the next
            rig.accepted();
        }
        Host.Client gone = rig.client();
        gone.send(ClientRig.pay("gone"));
        disconnect(gone, withReset);
        released.countDown();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        present.send(ClientRig.pay("after"));
        assertThat(present.answer().status()).isEqualTo(200);
        assertThat(host.next().head().get("Idempotency-Key")).isEqualTo("before");
        assertThat(host.next().head().get("Idempotency-Key")).isEqualTo("after");
        assertThat(host.received).isEmpty();
    }

    /** The thread that had the failed attempt trusted the reading thread, which had not run since the client left. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void failedAttemptIsNotRetriedForAClientThatHasJustLeft(boolean withReset) throws Exception {
        for (int i = 0; i < FAILING_ATTEMPTS; i++) {
            CountDownLatch hasLeft = new CountDownLatch(1);
            Host.Script script = (head, request) -> {
                hasLeft.await();
                return "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
            };
            Host first = open(new Host(script));
            Host second = open(new Host(script));
            ClientRig rig = rig(first.port(), second.port());
            Host.Client client = rig.client();
            client.send(ClientRig.pay("held"));
            while (first.received.isEmpty() && second.received.isEmpty()) {
                Thread.onSpinWait();
            }
            holdsAfterRead.set(true);
            disconnect(client, withReset);
            hasLeft.countDown();
            assertThat(rig.accepted().isClosedInTime()).isTrue();
            assertThat(first.received.size() + second.received.size()).as("attempts").isEqualTo(1);
            holdsAfterRead.set(false);
        }
    }
}
