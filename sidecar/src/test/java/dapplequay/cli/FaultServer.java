package dapplequay.cli;

import dapplequay.cli.FaultRecord.AttemptRecord;
import dapplequay.cli.FaultScenario.FirstAttempt;
import dapplequay.cli.FaultScenario.Framing;
import dapplequay.cli.FaultScenario.Reading;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.net.Host;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A server that treats each request as its scenario says, which the request names in the field {@link #FIELD}. */
final class FaultServer implements AutoCloseable {
    static final String FIELD = "X-Scenario";
    private static final int BACKLOG = 500;
    private static final int PIECE_BYTES = 16 * 1024;
    private static final int SLOW_PIECE_BYTES = 8 * 1024;
    private static final long SLOW_READ_PAUSE_MS = 8;
    private static final long STEADY_PAUSE_MS = 100;
    private static final long LUMP_PAUSE_MS = 700;
    private static final int LUMP_BYTES = 60_000;
    private static final int TRICKLE_BYTES = 20;
    private static final long TRICKLE_MS = 12_000;
    private static final int NOISE_BYTES = 2_000;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Map<String, FaultRecord> records;

    FaultServer(Map<String, FaultRecord> records) throws IOException {
        this.records = records;
        Host.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Host.daemon(() -> serve(socket));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            MessageReader reader = new MessageReader(socket.getInputStream(), MessageReader.MAX_BODY_BYTES);
            boolean goesOn = true;
            while (goesOn && reader.awaitData()) {
                AttemptRecord attempt = new AttemptRecord();
                Head head = reader.readRequestHead();
                FaultRecord record = records.get(head.get(FIELD));
                record.attempts.add(attempt);
                goesOn = serve(record, attempt, head, reader, socket.getOutputStream());
            }
        }
    }

    private boolean serve(FaultRecord record, AttemptRecord attempt, Head head, MessageReader reader, OutputStream out)
            throws Exception {
        FaultScenario scenario = record.scenario;
        if (scenario.firstAttempt() != FirstAttempt.SERVED && record.attempts.get(0) == attempt) {
            Thread.sleep(scenario.attemptDelayMs());
            if (scenario.firstAttempt() == FirstAttempt.TURNED_AWAY) {
                write(out, "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            }
            return false;
        }
        readBody(reader.requestBody(head), scenario.reading());
        attempt.hasRun = true;
        Thread.sleep(scenario.headDelayMs());
        attempt.headNs = System.nanoTime();
        answer(scenario, attempt, out);
        attempt.isAnswerWritten = true;
        return scenario.answerFraming() != Framing.CLOSE && scenario.answer() == FaultScenario.Answer.SHORT;
    }

    private static void readBody(Body body, Reading reading) throws Exception {
        byte[] piece = new byte[reading == Reading.SLOW ? SLOW_PIECE_BYTES : PIECE_BYTES];
        while (body.read(piece, 0, piece.length) >= 0) {
            if (reading == Reading.SLOW) {
                Thread.sleep(SLOW_READ_PAUSE_MS);
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void answer(FaultScenario scenario, AttemptRecord attempt, OutputStream out) throws Exception {
        int bytes = scenario.answerBytes();
        boolean isTrickle = scenario.answer() == FaultScenario.Answer.TRICKLE;
        Framing framing = isTrickle && scenario.answerFraming() == Framing.LENGTH ? Framing.CHUNKED
                : scenario.answerFraming();
        String field = switch (framing) {
            case LENGTH -> "Content-Length: " + bytes + "\r\n";
            case CHUNKED -> "Transfer-Encoding: chunked\r\n";
            case CLOSE -> "";
        };
        String contradiction = scenario.answer() == FaultScenario.Answer.BOTH_LENGTHS
                ? "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n" : "";
        write(out, "HTTP/1.1 200 OK\r\n" + (contradiction.isEmpty() ? field : contradiction) + "\r\n");
        switch (scenario.answer()) {
            case STEADY -> writeBody(out, attempt, framing, bytes, SLOW_PIECE_BYTES, STEADY_PAUSE_MS);
            case LUMPS -> writeBody(out, attempt, framing, bytes, LUMP_BYTES, LUMP_PAUSE_MS);
            case TRICKLE -> trickle(out, attempt, framing);
            case HALF -> writePiece(out, attempt, framing, bytes / 2);
            default -> writeBody(out, attempt, framing, bytes, PIECE_BYTES, 0);
        }
        if (framing == Framing.CHUNKED && !isTrickle && scenario.answer() != FaultScenario.Answer.HALF) {
            write(out, "0\r\n\r\n");
        }
        if (scenario.answer() == FaultScenario.Answer.NOISE_BEHIND && framing != Framing.CLOSE) {
            write(out, "x".repeat(NOISE_BYTES));
        }
    }

    private static void trickle(OutputStream out, AttemptRecord attempt, Framing framing) throws Exception {
        for (long ms = 0; ms < TRICKLE_MS; ms += STEADY_PAUSE_MS) {
            writePiece(out, attempt, framing, TRICKLE_BYTES);
            Thread.sleep(STEADY_PAUSE_MS);
        }
    }

    private static void writeBody(OutputStream out, AttemptRecord attempt, Framing framing, int bytes, int pieceBytes,
            long pauseMs) throws Exception {
        for (int left = bytes; left > 0; left -= pieceBytes) {
            writePiece(out, attempt, framing, Math.min(left, pieceBytes));
            if (left > pieceBytes) {
                Thread.sleep(pauseMs);
            }
        }
    }

    private static void writePiece(OutputStream out, AttemptRecord attempt, Framing framing, int bytes)
            throws IOException {
        String content = "y".repeat(bytes);
        write(out, framing == Framing.CHUNKED ? Integer.toHexString(bytes) + "\r\n" + content + "\r\n" : content);
        attempt.lastWriteNs = System.nanoTime();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
