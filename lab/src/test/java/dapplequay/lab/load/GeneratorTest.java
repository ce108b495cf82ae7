package dapplequay.lab.load;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.lab.Daemons;
import dapplequay.lab.loop.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class GeneratorTest {
    /** A server whose answers a test scripts; a thread for each connection. */
    private interface AnswerScript {
        void answer(Socket socket, int request) throws Exception;
    }

    private static ServerSocket startServer(AnswerScript script) throws IOException {
        ServerSocket listener = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());
        AtomicInteger requests = new AtomicInteger();
        Daemons.start(() -> {
            while (true) {
                Socket socket = listener.accept();
                Daemons.start(() -> {
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                    while (in.readLine() != null) {
                        while (!in.readLine().isEmpty()) { }
                        script.answer(socket, requests.getAndIncrement());
                    }
                });
            }
        });
        return listener;
    }

    private static void answerOk(Socket socket) throws IOException {
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
    }

    private static LoadResult runLoad(Profile profile, int connectionsMax, ServerSocket target) throws Exception {
        Generator generator = new Generator(profile, Schedule.draw(profile, 1, 1),
                List.of((InetSocketAddress) target.getLocalSocketAddress()), connectionsMax);
        generator.start(EventLoop.nowUs() + 100_000);
        return generator.await();
    }

    @Test
    void aServerPauseShowsInOpenLoopLatencyButNotInClosedLoopLatency() throws Exception {
        AtomicLong pausesUntil = new AtomicLong();
        try (ServerSocket server = startServer((socket, request) -> {
            long now = System.nanoTime();
            if (request % 5000 == 1500) {
                pausesUntil.set(now + 1_000_000_000L);
            }
            long left = pausesUntil.get() - now;
            if (left > 0) {
                Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
            }
            answerOk(socket);
        })) {
            LoadResult result = runLoad(Profile.plain(500, 10_000_000), 2000, server);
            // A run in which the generator itself fell behind is repeated, as its latency is not the server's.
            for (int again = 0; again < 2 && result.isBehind(); again++) {
                result = runLoad(Profile.plain(500, 10_000_000), 2000, server);
            }
            Histogram latency = result.latency();
            assertThat(result.scheduled()).isEqualTo(5000);
            assertThat(result.answered()).isEqualTo(5000);
            assertThat(latency.getMaxValue()).isGreaterThan(950_000);
            assertThat(latency.getValueAtPercentile(99)).isGreaterThan(400_000);
            long slow = latency.getCountBetweenValues(100_000, 10_000_000);
            assertThat(slow).as("about nine tenths of the 500 requests due during the pause").isBetween(400L, 620L);
            long upper = latency.getCountBetweenValues(550_000, 10_000_000);
            assertThat((double) upper / slow).as("latencies spread evenly below 1 s").isBetween(0.35, 0.65);
            Histogram closed = result.closedLoopLatency();
            assertThat(closed.getValueAtPercentile(99)).as("hidden from a closed-loop client")
                    .isLessThan(200_000);
            assertThat(closed.getCountBetweenValues(100_000, 10_000_000)).isBetween(1L, 5L);
        }
    }

    @Test
    void aTargetThatAcceptsNothingIsReportedAsBehind() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Profile profile = new Profile(100, 1_000_000, Shape.plain(Shape.Kind.STEADY), null, List.of(), List.of(),
                    0, 0, 0, false, 1, 500_000, 0, 0, 10_000);
            LoadResult result = runLoad(profile, 50, deaf);
            assertThat(result.scheduled()).isEqualTo(100);
            assertThat(result.answered()).isZero();
            assertThat(result.isBehind()).isTrue();
            assertThat(result.unsent()).isPositive();
            assertThat(result.behindWhy()).contains("were never sent");
        }
    }

    @Test
    void tooFewConnectionsForTheRateAreReportedAsBehind() throws Exception {
        try (ServerSocket slow = startServer((socket, request) -> {
            Thread.sleep(100);
            answerOk(socket);
        })) {
            LoadResult result = runLoad(Profile.plain(200, 1_000_000), 4, slow);
            assertThat(result.scheduled()).isEqualTo(200);
            assertThat(result.isBehind()).isTrue();
            assertThat(result.latency().getMaxValue()).as("latency includes the wait for a connection")
                    .isGreaterThan(2_000_000);
        }
    }

    @Test
    void aRequestOnAReusedConnectionThatClosesIsSentAgain() throws Exception {
        try (ServerSocket server = startServer((socket, request) -> {
            if (request % 2 == 1) {
                socket.close();
            } else {
                answerOk(socket);
            }
        })) {
            LoadResult result = runLoad(Profile.plain(20, 1_000_000), 1, server);
            assertThat(result.outcomes()).containsOnlyKeys("200");
            assertThat(result.connectionsOpened()).isGreaterThan(10);
        }
    }

    @Test
    void answersAreCountedByOutcome() throws Exception {
        try (ServerSocket server = startServer((socket, request) -> {
            String[] answers = {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "no http at all\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"};
            socket.getOutputStream().write(answers[request % 3].getBytes(StandardCharsets.US_ASCII));
        })) {
            LoadResult result = runLoad(Profile.plain(30, 1_000_000), 1, server);
            assertThat(result.outcomes()).containsEntry("503", 10L).containsEntry("200", 10L)
                    .containsEntry(ClientAttempt.UNREADABLE, 10L);
        }
    }

    @Test
    void logsOfSeveralGeneratorsAreMergedBySecond(@TempDir Path folder) throws Exception {
        Histogram one = new Histogram(3_600_000_000L, 3);
        one.setStartTimeStamp(5_000);
        one.setEndTimeStamp(6_000);
        one.recordValue(1000);
        HistogramLogs.write(List.of(one), folder.resolve("a.hlog"));
        List<Histogram> read = HistogramLogs.read(folder.resolve("a.hlog"));
        Histogram other = one.copy();
        other.setStartTimeStamp(5_400);
        Histogram later = one.copy();
        later.setStartTimeStamp(7_000);
        List<Histogram> merged = HistogramLogs.merge(List.of(read, List.of(other, later)));
        assertThat(merged).hasSize(2);
        assertThat(merged.get(0).getTotalCount()).isEqualTo(2);
    }
}
