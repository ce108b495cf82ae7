package dapplequay.net;

import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import java.io.EOFException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Passes on the part of a long request's body that is not kept for another attempt. Runs on the client's thread, and
 * reads no faster than the upstream accepts the body.
 */
final class RequestBodyForwarder {
    /** Interval of the checks whether the request's time is over, if it seems to be while the client is waited for. */
    private static final long DUE_CHECK_US = 50_000;

    private final ClientListener listener;
    private final ClientInput input;
    private final MessageReader reader;
    private final RequestBodyReader bodyReader;
    private final Runnable onClientStalled;
    private BodyArrival arrival;
    private ProgressWatchdog.StallTimeout stallTimeout;
    private volatile boolean isReading;
    private volatile boolean isOverdue;

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
     * Does as {@link #forward}, and ends the exchange if the client has left, or its body is malformed or too slow.
     *
     * @param isRequestLate tells, at the end of the stream, whether it was ended as the client was too slow
     * @throws IOException if the client has left
     */
    void forwardOrReject(Exchange exchange, Body body, Runnable onBodyComplete, BooleanSupplier isRequestLate)
            throws IOException {
        try {
            forward(exchange, body, onBodyComplete);
        } catch (BadMessageException e) {
            listener.dispatcher().rejectUpload(exchange, ClientResponses.plainText(e.status, e.getMessage()));
        } catch (EOFException e) {
            if (!isRequestLate.getAsBoolean()) {
                listener.dispatcher().clientLeft(exchange);
                throw e;
            }
            listener.dispatcher().rejectUpload(exchange, ClientResponses.requestTimeout());
        } catch (IOException e) {
            listener.dispatcher().clientLeft(exchange);
            throw e;
        } finally {
            // This thread reports the attempt's end, if that was its task and nothing waits for the response yet.
            Attempt lastAttempt = exchange.attempt();
            if (lastAttempt != null && lastAttempt.connection() != null) {
                lastAttempt.connection().uploadEnded(false);
            }
        }
    }

    /**
     * Passes the rest of the body on to the exchange's current attempt, until the body or the exchange ends. Fails the
     * attempt once the request's time is over, as the client may have written the last byte although it was not read.
     *
     * @param onBodyComplete called when the last byte has been read, before it is passed on
     * @throws IOException if the client has left, or its body is malformed
     */
    private void forward(Exchange exchange, Body body, Runnable onBodyComplete) throws IOException {
        byte[] piece = BodyBuffers.acquire();
        PiecePacer pacer = new PiecePacer(BodyBuffers.capacity(piece), body.framing());
        arrival = new BodyArrival(listener.deadlines()::now, exchange.request.budgetUs(),
                exchange.timeline.timeBeganUs(), this::unreadBytes);
        stallTimeout = new ProgressWatchdog.StallTimeout(listener.deadlines());
        try (ProgressWatchdog watchdog = new ProgressWatchdog(listener.deadlines(), this::remainingUs,
                () -> expired(exchange))) {
            Attempt attempt = null;
            while (!body.isComplete() && !exchange.isClaimed()) {
                int count = readPiece(body, piece);
                boolean last = body.isComplete();
                if (last) {
                    exchange.timeline.lastByteRead(listener.deadlines().now());
                    onBodyComplete.run();
                }
                attempt = committedAttempt(exchange, attempt, last);
                if (attempt == null || last && !beginFinalWrite(attempt)) {
                    return;
                }
                stallTimeout.progressed();
                ChunkedFraming.Span span = ChunkedFraming.frameIfChunked(piece, count, exchange.request.isChunked(),
                        last);
                long writeStartUs = listener.deadlines().now();
                boolean isWritten = attempt.connection().writePiece(attempt, piece, span, last,
                        stallTimeout::progressed);
                exchange.timeline.add(RequestTimeline.Wait.SERVER, listener.deadlines().now() - writeStartUs);
                if (!isWritten) {
                    return;
                }
                stallTimeout.progressed();
                if (last) {
                    attempt.connection().uploadEnded(true);
                }
                long pauseMs = pacer.pauseMs(count, body, listener.streamPauseMs());
                if (pauseMs > 0) {
                    arrival.observe(body, input.available(), !reader.hasBufferedBytes());
                }
                PiecePacer.pause(pauseMs);
                exchange.timeline.add(RequestTimeline.Wait.PAUSE, TimeUnit.MILLISECONDS.toMicros(pauseMs));
            }
        } finally {
            BodyBuffers.release(piece);
        }
    }

    private int unreadBytes() {
        try {
            return input.available();
        } catch (IOException e) {
            return Integer.MAX_VALUE;       // the client may have written all
        }
    }

    private int readPiece(Body body, byte[] piece) throws IOException {
        int unreadBytes = input.available();
        arrival.observe(body, unreadBytes, !reader.hasBufferedBytes());
        arrival.readBegins(unreadBytes);
        isReading = true;
        int count = Math.max(0, bodyReader.read(body, piece, ChunkedFraming.FRAMING_ROOM,
                BodyBuffers.capacity(piece)));
        arrival.readEnded();
        isReading = false;
        return count;
    }

    /**
     * Returns how long the transfer may go on without another check, in microseconds. While it waits for the client,
     * the request's last byte is still to come.
     */
    private long remainingUs() {
        long dueLeftUs = arrival.dueUs() - listener.deadlines().now();
        return Math.min(stallTimeout.getAsLong(), isReading ? Math.max(dueLeftUs, DUE_CHECK_US) : dueLeftUs);
    }

    private void expired(Exchange exchange) {
        if (bodyReader.isWaiting() && stallTimeout.getAsLong() <= 0) {
            onClientStalled.run();
        } else {
            isOverdue = true;
            listener.dispatcher().abortOverdueUpload(exchange);
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
            if (isOverdue) {
                listener.dispatcher().rejectUpload(exchange, ClientResponses.failure(504));
                return null;
            }
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
        attempt.exchange.timeline.timeBegan(arrival.dueUs() - attempt.exchange.request.budgetUs());
        return listener.dispatcher().beginFinalWrite(attempt, arrival.dueUs());
    }
}
