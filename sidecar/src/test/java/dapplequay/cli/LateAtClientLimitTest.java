package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.cli.FaultScenario.Answer;
import dapplequay.cli.FaultScenario.Framing;
import dapplequay.cli.FaultScenario.Pace;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that come while other clients, which can't be closed, take all places that the limits allow. */
@Timeout(120)
class LateAtClientLimitTest extends ClosesWhatItOpened {
    private static final int SERVERS = 6;
    private static final int REQUESTS = 12;
    private static final int PAUSE_MS = 400;
    private static final int SERVICE_MS = 50;
    private static final int[] BUDGETS_MS = {600, 681, 734, 894};
    /** Takes 2.4 s at the pace of a steady answer. */
    private static final int LONG_ANSWER_BYTES = 200_000;
    private static final int HALF_BODY_BYTES = 30_000;
    /** More clients than the limits of these settings allow, beside the reserve for refusals. */
    private static final int HOLDING_CLIENTS = 70;
    private static final long PLAY_TIMEOUT_S = 40;

    @TempDir
    private Path folder;

    private static FaultScenario longAnswerOrContradiction(int number) {
        FaultScenario scenario = FaultScenario.orderly(number).withBudget(BUDGETS_MS[number % BUDGETS_MS.length]);
        return switch (number % 6) {
            case 2 -> scenario.withAnswer(Answer.BOTH_LENGTHS, Framing.CHUNKED, 18_000, SERVICE_MS);
            case 5 -> scenario.withRequest(Framing.LENGTH, HALF_BODY_BYTES).withPace(Pace.STEADY);
            default -> scenario.withAnswer(Answer.STEADY, Framing.values()[number % 3], LONG_ANSWER_BYTES, SERVICE_MS);
        };
    }

    private static void awaitAll(List<Future<FaultRecord>> played) throws Exception {
        for (Future<FaultRecord> one : played) {
            one.get(PLAY_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @CsvSource({"75,1024,1.0,1,true,false", "75,1024,0.25,3,false,false", "76,1024,1.0,4,true,false",
        "150,1024,0.5,3,true,true", "192,40,1.0,3,true,false", "192,40,0.25,1,false,false", "192,90,1.0,4,true,true"})
    void requestIsAnsweredInItsTimeWhileLongAnswersTakeAllPlaces(int memoryMb, int sockets, double cores, int sendCap,
            boolean isKeyed, boolean inheritsSocket) throws Exception {
        FaultFleet fleet = open(FaultFleet.of(folder, SERVERS, isKeyed, inheritsSocket, text -> text
                .replace("\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024", "\"cores\": " + cores
                        + ", \"memory_mb\": " + memoryMb + ", \"sockets\": " + sockets)
                .replace("\"send_cap\": 3", "\"send_cap\": " + sendCap)));
        List<Future<FaultRecord>> played = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            played.add(fleet.start(longAnswerOrContradiction(i)));
            Thread.sleep(PAUSE_MS);
        }
        awaitAll(played);
        assertThat(fleet.brokenRules()).isEmpty();
        assertThat(fleet.served()).isPositive();
    }

    private void holdPlace(int port, int number) throws Exception {
        Socket socket = open(new Socket(InetAddress.getLoopbackAddress(), port));
        OutputStream out = socket.getOutputStream();
        MessageReader reader = new MessageReader(socket.getInputStream());
        String head = "POST /order/1 HTTP/1.1\r\nX-Caller: shop-a\r\nX-Budget-Ms: 900\r\n" + "X-Call-Id: ";
        out.write((head + "a" + Integer.toHexString(number) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        reader.readResponseBody(reader.readResponseHead());
        out.write((head + "b" + Integer.toHexString(number) + "\r\nContent-Length: " + 2 * HALF_BODY_BYTES + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[HALF_BODY_BYTES]);
    }

    /** With 75 MB, and with 75 MB for each of two processes at one socket, a sidecar had places for two clients. */
    @ParameterizedTest
    @CsvSource({"75,false", "150,true"})
    void longAnswersAreServedSideBySideHoweverLittleMemoryThereIs(int memoryMb, boolean inheritsSocket)
            throws Exception {
        FaultFleet fleet = open(FaultFleet.of(folder, SERVERS, true, inheritsSocket,
                text -> text.replace("\"memory_mb\": 192", "\"memory_mb\": " + memoryMb)));
        List<Future<FaultRecord>> played = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            played.add(fleet.start(FaultScenario.orderly(i)
                    .withAnswer(Answer.STEADY, Framing.LENGTH, LONG_ANSWER_BYTES, SERVICE_MS)));
        }
        awaitAll(played);
        assertThat(fleet.brokenRules()).isEmpty();
        assertThat(fleet.served()).isEqualTo(REQUESTS);
    }

    @ParameterizedTest
    @ValueSource(ints = {80, 82})
    void requestIsAnsweredInItsTimeWhileHalfRequestsTakeAllPlaces(int memoryMb) throws Exception {
        FaultFleet fleet = open(FaultFleet.of(folder, SERVERS, false, false,
                text -> text.replace("\"memory_mb\": 192", "\"memory_mb\": " + memoryMb)));
        for (int i = 0; i < HOLDING_CLIENTS; i++) {
            int number = i;
            Host.daemon(() -> holdPlace(fleet.port(), number));
        }
        List<Future<FaultRecord>> played = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            played.add(fleet.start(FaultScenario.orderly(i).withBudget(BUDGETS_MS[i % BUDGETS_MS.length])));
            Thread.sleep(PAUSE_MS / 4);
        }
        awaitAll(played);
        assertThat(fleet.brokenRules()).isEmpty();
    }
}
