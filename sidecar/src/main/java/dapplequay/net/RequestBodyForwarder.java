package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import java.io.IOException;

/**
 * Passes on the part of a long request's body that is not kept for another attempt. Runs on the client's thread, and
 * reads no faster than the upstream accepts the body.
 */
final class RequestBodyForwarder {
    /** A streamed body that does not progress for this long is aborted; peers may take seconds for one piece. */
    private static final long STALL_TIMEOUT_US = 10_000_000;

    private final ClientListener listener;
    private final ClientInput input;
    private final MessageReader reader;
    private final RequestBodyReader bodyReader;
    private final Runnable onClientStalled;

    /** {@code onClientStalled} is called once the client has not sent anything for too long. */
    RequestBodyForwarder(ClientListener listener, ClientInput input, MessageReader reader,
            RequestBodyReader bodyReader, Runnable onClientStalled) {
        this.listener = listener;
        this.input = input;
        this.reader = reader;
        this.bodyReader = bodyReader;
        this.onClientStalled = onClientStalled;
    }

    /**
     * Passes the rest of the body on to the exchange's current attempt, until the body or the exchange ends.
     *
     * @param onBodyComplete called when the last byte has been read, before it is passed on
     * @throws IOException if the client has left, or its body is malformed
     */
    void forward(Exchange exchange, Body body, Runnable onBodyComplete) throws IOException {
        byte[] piece = BodyBuffers.acquire();
        ProgressWatchdog.StallTimeout stallTimeout =
                new ProgressWatchdog.StallTimeout(listener.deadlines(), STALL_TIMEOUT_US);
        try (ProgressWatchdog watchdog = new ProgressWatchdog(listener.deadlines(), stallTimeout,
                () -> abortStalled(exchange))) {
            Attempt attempt = null;
            while (!body.isComplete() && !exchange.isClaimed()) {
                int count = Math.max(0, bodyReader.read(body, piece, ChunkedFraming.FRAMING_ROOM,
                        BodyBuffers.capacity(piece)));
                boolean last = body.isComplete();
                if (last) {
                    onBodyComplete.run();
                }
                attempt = committedAttempt(exchange, attempt, last);
                if (attempt == null || last && !beginFinalWrite(attempt)) {
                    return;
                }
                stallTimeout.progressed();
                ChunkedFraming.Span span = ChunkedFraming.frameIfChunked(piece, count, exchange.request.isChunked(),
                        last);
                if (!attempt.connection().writePiece(attempt, piece, span, last)) {
                    return;
                }
                stallTimeout.progressed();
                if (last) {
                    attempt.connection().uploadEnded(true);
                }
                BodyBuffers.pauseAfterPiece(count, BodyBuffers.capacity(piece), body, listener.streamPauseMs());
            }
        } finally {
            BodyBuffers.release(piece);
        }
    }

    private void abortStalled(Exchange exchange) {
        if (bodyReader.isWaiting()) {
            onClientStalled.run();
        } else {
            listener.dispatcher().abortStalledUpload(exchange);
        }
    }

    /**
     * Returns the attempt to which the exchange is committed, connecting it if necessary; null once the exchange is
     * claimed. Called only with the first unbuffered piece in hand: after sending it no other attempt can follow.
     */
    private Attempt committedAttempt(Exchange exchange, Attempt current, boolean isBodyComplete) throws IOException {
        Attempt attempt = current;
        while (attempt == null || !exchange.commit(attempt)) {
            attempt = exchange.awaitReadyAttempt();
            if (attempt == null) {
                return null;
            }
            input.checkPresent(reader, isBodyComplete);
            if (!attempt.connection().connectForUpload()) {
                attempt = null;
            }
        }
        return attempt;
    }

    /** Called right before the last piece is written, from which on the request may run; false if it must not be. */
    private boolean beginFinalWrite(Attempt attempt) throws IOException {
        input.checkPresent(reader, true);
        return listener.dispatcher().beginFinalWrite(attempt);
    }
}
