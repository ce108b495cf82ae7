package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Events during the write of an attempt to a reused connection, while the host reads no further. */
@Timeout(60)
class BlockedWriteTest {
    private final UpstreamRig rig = new UpstreamRig(10);
    private final CountDownLatch mayGoOn = new CountDownLatch(1);
    private final ServerSocket listener = new ServerSocket();
    private Socket host;
    private Attempt attempt;
    private Thread writer;

    BlockedWriteTest() throws IOException { }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void await(CountDownLatch gate) {
        try {
            gate.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns once the attempt's first bytes have arrived: its writer is then blocked in the write. */
    @BeforeEach
    void begin() throws Exception {
        listener.setReceiveBufferSize(4_096);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        rig.list("SERVING", listener.getLocalPort());
        rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
        host = listener.accept();
        host.getInputStream().read(new byte[4_096]);
        write(host, Host.ok("first"));
        assertThat(rig.next().body()).isEqualTo("first");
        rig.nowUs.addAndGet(400_000);
        attempt = rig.largeAttempt("s0");
        writer = new Thread(() -> rig.pool.send(attempt));
        writer.setDaemon(true);
        writer.start();
        assertThat(host.getInputStream().read(new byte[100])).isPositive();
    }

    @AfterEach
    void end() throws IOException {
        mayGoOn.countDown();
        host.close();
        listener.close();
    }

    private void assertEnded(AttemptEnd expected) throws Exception {
        assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, expected, null));
        writer.join(TimeUnit.SECONDS.toMillis(Host.TIMEOUT_S));
        assertThat(writer.isAlive()).as("the writer returns").isFalse();
        rig.awaitThreads(0);
        assertThat(rig.ends).as("the end is reported once").isEmpty();
    }

    /**
     * The host sends the head of an answer without a length and resets the connection. The write gets the reset, so the
     * next read reports an ordinary end of stream before the writer has closed the connection.
     */
    @Test
    void answerThatIsResetDuringTheRequestsWriteIsNotTakenAsComplete() throws Exception {
        CountDownLatch writerFailed = new CountDownLatch(1);
        rig.onClockRead(null, () -> {
            rig.onClockRead(writer, () -> {
                writerFailed.countDown();
                await(mayGoOn);
            });
            try {
                host.setSoLinger(true, 0);
                host.close();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            while (writerFailed.getCount() > 0) {
                Thread.onSpinWait();
            }
        });
        write(host, "HTTP/1.1 200 OK\r\n\r\nhalf");
        await(writerFailed);
        rig.awaitEndOrWaiting();
        mayGoOn.countDown();
        assertEnded(AttemptEnd.NOT_CONNECTED);
    }

    /** The request never ran, as the host did not receive all of it. */
    @Test
    void timeoutDuringTheWriteEndsTheAttemptAsNotConnected() throws Exception {
        rig.nowUs.addAndGet(UpstreamRig.ATTEMPT_TIME_US);
        rig.deadlines.runExpired();
        assertEnded(AttemptEnd.NOT_CONNECTED);
    }

    /** The write is complete, but its thread has not recorded it yet: the request may have run. */
    @Test
    void timeoutRightAfterTheWriteEndsTheAttemptAsTimedOut() throws Exception {
        rig.onClockRead(writer, () -> {
            rig.nowUs.addAndGet(UpstreamRig.ATTEMPT_TIME_US);
            rig.deadlines.runExpired();
        });
        Host.daemon(() -> host.getInputStream().transferTo(OutputStream.nullOutputStream()));
        assertEnded(AttemptEnd.TIMED_OUT);
    }

    /** The time-out comes after the head of the answer: the time-out counts, and the answer is dropped. */
    @Test
    void timeoutWhileTheAnswerIsReadDropsTheAnswer() throws Exception {
        rig.onClockRead(null, () -> {
            rig.nowUs.addAndGet(UpstreamRig.ATTEMPT_TIME_US);
            rig.deadlines.runExpired();
        });
        Host.daemon(() -> host.getInputStream().transferTo(OutputStream.nullOutputStream()));
        writer.join();
        write(host, Host.ok("late"));
        assertEnded(AttemptEnd.TIMED_OUT);
    }

    /** The time-out comes after the answer is reported: the answer counts, and its connection stays open. */
    @Test
    void timeoutAfterTheAnswerKeepsTheAnswerAndTheConnection() throws Exception {
        rig.onAttemptEnd = ended -> {
            rig.onAttemptEnd = next -> { };
            rig.nowUs.addAndGet(UpstreamRig.ATTEMPT_TIME_US);
            rig.deadlines.runExpired();
            attempt.abort(AttemptEnd.TIMED_OUT);
            mayGoOn.countDown();
        };
        Host.daemon(() -> host.getInputStream().transferTo(OutputStream.nullOutputStream()));
        writer.join();
        write(host, Host.ok("in time"));
        assertThat(rig.next()).isEqualTo(new UpstreamRig.Ended(attempt, AttemptEnd.SERVED, "in time"));
        await(mayGoOn);
        rig.pool.send(rig.attempt("s0", Long.MAX_VALUE));
        write(host, Host.ok("next"));
        assertThat(rig.next().body()).as("on the same connection").isEqualTo("next");
    }
}
