package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import dapplequay.facade.Decision;
import dapplequay.facade.HostLoad;
import dapplequay.http.Head;
import dapplequay.management.DiscoveryMetrics;
import dapplequay.management.RequestCounts;
import dapplequay.settings.SettingsReader;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class UpstreamPoolTest {
    private static final SettingsReader.Setup SETUP =
            new SettingsReader.Setup(null, Map.of(), Map.of(), 10_000_000, 30_000_000);

    private static void restoreList(Endpoints table, int port, String state) {
        try {
            table.restore(Endpoints.parse(("{\"rev\":1,\"all\":true,"
                    + "\"targets\":[{\"uid\":\"s1\",\"endpoint\":\"127.0.0.1:"
                    + port + "\",\"az\":\"a\",\"state\":\"" + state + "\"}]}").getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static UpstreamPool pool(Endpoints table, DeadlineQueue deadlines, BlockingQueue<AttemptEnd> ends) {
        UpstreamPool pool = new UpstreamPool(table, deadlines, () -> SETUP, 10, new RequestCounts(),
                new DiscoveryMetrics());
        pool.setDispatcher(new RequestDispatcher(null, pool) {
            @Override
            void attemptStarted(Attempt attempt) { }

            @Override
            void attemptEnded(Attempt attempt, AttemptEnd end, HostLoad load, Head head, byte[] body) {
                ends.add(end);
            }
        });
        return pool;
    }

    private static Attempt attempt(UpstreamPool pool) throws IOException {
        Head head = Head.parseRequest("POST /pay HTTP/1.1".getBytes(StandardCharsets.US_ASCII));
        ClientRequest request = new ClientRequest(head, new byte[0], null, "pay", null, null, 10_000_000);
        return new Attempt(new UpstreamRig.ConnectionlessExchange(1, request),
                new Decision.Send(0, "s1", 10_000_000), pool.now());
    }

    /** Else bytes after a response would count as the next response; a new connection would cost the host time. */
    @Test
    void connectionIsReusedOnlyAfterTheSettleTime() throws Exception {
        Endpoints table = new Endpoints();
        BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
        List<Long> receivedUs = new CopyOnWriteArrayList<>();
        try (Host host = new Host((head, seen) -> {
            receivedUs.add(System.nanoTime() / 1000);
            return Host.ok("done");
        })) {
            restoreList(table, host.port(), "SERVING");
            UpstreamPool pool = pool(table, new DeadlineQueue(() -> System.nanoTime() / 1000), ends);
            List<Socket> used = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                pool.send(attempt(pool));
                assertThat(ends.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(AttemptEnd.SERVED);
                used.add(host.next().socket());
            }
            assertThat(receivedUs.get(1) - receivedUs.get(0)).isGreaterThanOrEqualTo(UpstreamPool.SETTLE_US);
            assertThat(receivedUs.get(2) - receivedUs.get(1)).isGreaterThanOrEqualTo(UpstreamPool.SETTLE_US);
            assertThat(used).containsOnly(used.get(0));
        }
    }

    /** Instances kept all connections of their busiest moment; hosts at their limit then refused other instances. */
    @Test
    void spareConnectionIsClosedSoonAndTheLastOneIsKept() throws Exception {
        Endpoints table = new Endpoints();
        BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
        AtomicLong now = new AtomicLong(1_000_000);
        DeadlineQueue deadlines = new DeadlineQueue(now::get);
        Semaphore answers = new Semaphore(0);
        try (Host host = new Host((head, seen) -> {
            answers.acquire();
            return Host.ok("done");
        })) {
            restoreList(table, host.port(), "SERVING");
            UpstreamPool pool = pool(table, deadlines, ends);
            List<Socket> used = new ArrayList<>();
            for (long pauseUs : new long[] {0, UpstreamPool.SPARE_IDLE_US + 1}) {
                now.addAndGet(pauseUs);
                deadlines.runExpired();
                for (int i = 0; i < 2; i++) {           // two at a time
                    pool.send(attempt(pool));
                    used.add(host.next().socket());
                }
                answers.release(2);
                for (int i = 0; i < 2; i++) {
                    assertThat(ends.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(AttemptEnd.SERVED);
                }
            }
            assertThat(used.get(1)).isNotSameAs(used.get(0));
            assertThat(used.get(2)).isIn(used.get(0), used.get(1));
            assertThat(used.get(3)).as("the spare connection was closed").isNotIn(used.get(0), used.get(1));
        }
    }

    /** The list changes when the connecting thread reads the clock, between the decision and the connect. */
    @Test
    void attemptIsNotSentIfItsHostBeginsToDrainDuringTheConnect() throws Exception {
        Endpoints table = new Endpoints();
        BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
        try (Host host = new Host((head, seen) -> Host.ok("done"))) {
            restoreList(table, host.port(), "SERVING");
            DeadlineQueue deadlines = new DeadlineQueue(() -> {
                if (Thread.currentThread().getName().startsWith("upstream")) {
                    restoreList(table, host.port(), "DRAINING");
                }
                return System.nanoTime() / 1000;
            });
            UpstreamPool pool = pool(table, deadlines, ends);
            pool.send(attempt(pool));
            assertThat(ends.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(AttemptEnd.NOT_SENT);
            assertThat(host.closed.poll(Host.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            assertThat(host.received).isEmpty();
        }
    }
}
