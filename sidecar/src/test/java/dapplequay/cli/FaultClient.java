package dapplequay.cli;

import dapplequay.cli.FaultScenario.Departure;
import dapplequay.cli.FaultScenario.Framing;
import dapplequay.cli.FaultScenario.Pace;
import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Plays the client of one scenario and records what it sees. */
final class FaultClient {
    /** The share of its request that a client writes which leaves within it. */
    private static final double PART_WRITTEN = 0.7;
    /** A client that leaves writes no longer than this, as a sidecar may not read. */
    private static final long MAX_WRITE_MS = 250;
    private static final int PIECE_BYTES = 32 * 1024;
    private static final int SLOW_PIECE_BYTES = 8 * 1024;
    private static final long STEADY_PAUSE_MS = 50;
    private static final long LUMP_PAUSE_MS = 400;
    private static final int LUMP_BYTES = 90_000;
    /** How long a client waits for the next byte of an answer, so that a late answer is told from none. */
    private static final int READ_TIMEOUT_MS = 15_000;

    private final int port;
    private final FaultRecord record;
    private final FaultScenario scenario;
    private final String callId;
    private final String extraFields;

    /** {@code extraFields}: further header lines, each with its CRLF. */
    FaultClient(int port, FaultRecord record, String callId, String extraFields) {
        this.extraFields = extraFields;
        this.port = port;
        this.record = record;
        scenario = record.scenario;
        this.callId = callId;
    }

    void play() throws Exception {
        if (scenario.departure() == Departure.STAYS) {
            playStaying();
        } else {
            playLeaving();
        }
    }

    private void playStaying() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            Host.daemon(() -> writeRequest(socket.getOutputStream(), 1));
            readAnswer(new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES));
        }
    }

    private void playLeaving() throws Exception {
        boolean isWithin = scenario.departure() == Departure.WITHIN_ITS_REQUEST;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            CountDownLatch isWritten = new CountDownLatch(1);
            Host.daemon(() -> {
                writeRequest(socket.getOutputStream(), isWithin ? PART_WRITTEN : 1);
                socket.getOutputStream().write(new byte[scenario.behindBytes()]);
                isWritten.countDown();
            });
            isWritten.await(MAX_WRITE_MS, TimeUnit.MILLISECONDS);
            Thread.sleep(scenario.stayMs());
        } finally {
            record.closedAt = Instant.now();
            record.closedNs = System.nanoTime();
        }
        if (scenario.againMs() >= 0) {
            Thread.sleep(scenario.againMs());
            comeAgain();
        }
    }

    /** The same id comes again: it may be answered in any way, but must not run twice. */
    private void comeAgain() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            write(socket.getOutputStream(), head("Content-Length: 0"));
            new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES).readResponseHead();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String head(String framing) {
        return "POST /order/1 HTTP/1.1\r\nX-Call-Id: " + callId + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: "
                + scenario.budgetMs() + "\r\n" + extraFields + FaultServer.FIELD + ": " + scenario.number() + "\r\n"
                + framing + "\r\n\r\n";
    }

    /** Writes this share of the request's body, and its end if the share is 1. */
    private void writeRequest(OutputStream out, double share) throws Exception {
        boolean isChunked = scenario.requestFraming() == Framing.CHUNKED;
        record.firstByteNs = System.nanoTime();
        write(out, head(isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + scenario.requestBytes()));
        int pieceBytes = scenario.requestPace() == Pace.AT_ONCE ? PIECE_BYTES
                : scenario.requestPace() == Pace.STEADY ? SLOW_PIECE_BYTES : LUMP_BYTES;
        long pauseMs = scenario.requestPace() == Pace.AT_ONCE ? 0
                : scenario.requestPace() == Pace.STEADY ? STEADY_PAUSE_MS : LUMP_PAUSE_MS;
        for (int left = (int) (scenario.requestBytes() * share); left > 0; left -= pieceBytes) {
            int bytes = Math.min(left, pieceBytes);
            String content = "x".repeat(bytes);
            write(out, isChunked ? Integer.toHexString(bytes) + "\r\n" + content + "\r\n" : content);
            if (pauseMs > 0 && left > pieceBytes) {
                Thread.sleep(pauseMs);
            }
        }
        if (share == 1) {
            write(out, isChunked ? "0\r\n\r\n" : "");
            record.lastByteNs = System.nanoTime();
        }
    }

    private void readAnswer(MessageReader reader) {
        try {
            if (!reader.awaitData()) {
                return;
            }
            record.answerBeganNs = System.nanoTime();
            Head head = reader.readResponseHead();
            record.status = Integer.parseInt(head.startLine[1]);
            Body body = reader.responseBody(head);
            byte[] piece = new byte[PIECE_BYTES];
            for (int read = body.read(piece, 0, piece.length); read >= 0; read = body.read(piece, 0, piece.length)) {
                record.answerBytes += read;
            }
            record.isAnswerWhole = true;
        } catch (BadMessageException e) {
            record.status = -1;
        } catch (IOException e) {
            record.isAnswerWhole = false;       // broke off
        } finally {
            record.answerEndedNs = System.nanoTime();
        }
    }
}
