package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import dapplequay.time.DeadlineQueue;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Relays a long response as it arrives, and no faster than the client reads it, on the thread that reads from the host.
 * The read from the host times out every {@link #CHECK_INTERVAL_MS}: then the thread checks whether the client is still
 * connected and whether the response is overdue.
 */
final class ResponseRelay {
    private static final Logger LOG = Logger.getLogger(ResponseRelay.class.getName());
    /** Read timeout for the host, after which the relay checks whether the response is still worth waiting for. */
    static final int CHECK_INTERVAL_MS = 50;
    /** How long after the request's deadline a response ends that is not a long one; up to 0.5 s is allowed. */
    private static final long SHORT_RESPONSE_GRACE_US = 300_000;
    /** A response of unknown length that has come at this pace so far may be a long one, in bytes a second. */
    private static final long LONG_RESPONSE_BYTES_PER_S = 16_000;
    /** Time without anything from the host after which a transfer is aborted; a host may take seconds for a piece. */
    private static final long HOST_TIMEOUT_US = 10_000_000;

    private final Socket client;
    private final ClientInput clientInput;
    private final LingeringClose clientClose;
    private final DeadlineQueue deadlines;
    private final LongSupplier pauseMs;
    private final ProgressWatchdog.StallTimeout stallTimeout;
    private long startUs;
    /** Time that was spent writing to the client: if it reads slowly, that is no delay of the host. */
    private long clientWriteUs;
    private long relayedBytes;

    /** {@code pauseMs} is how long to pause after a piece in favour of other requests, milliseconds. */
    ResponseRelay(Socket client, ClientInput clientInput, LingeringClose clientClose, DeadlineQueue deadlines,
            LongSupplier pauseMs) {
        this.client = client;
        this.clientInput = clientInput;
        this.clientClose = clientClose;
        this.deadlines = deadlines;
        this.pauseMs = pauseMs;
        stallTimeout = new ProgressWatchdog.StallTimeout(deadlines);
    }

    /**
     * Returns true if all of the response was relayed. If it fails, the client's connection is closed so that the
     * client sees a truncated response: the body is shorter than its length, its last chunk is missing, or, if the body
     * extends to the end of the connection, the connection is reset.
     *
     * @param message    makes the head and the first bytes of the body, as the client gets them
     * @param start      these first bytes; released once they are written
     * @param chunked    whether the client gets the body in chunks
     * @param deadlineUs the request's deadline, microseconds
     */
    boolean relay(Supplier<byte[]> message, ResponseStart start, Body body, boolean chunked, long deadlineUs) {
        clientClose.setResetOnClose(body.length() < 0 && !chunked);
        startUs = deadlines.now();
        relayedBytes = start.bytes().length;
        byte[] piece = null;
        try (ProgressWatchdog watchdog = new ProgressWatchdog(deadlines, stallTimeout, clientClose::close)) {
            SlowPeerWriter.limitSendBuffer(client, body);
            writeStart(message, start);
            piece = BodyBuffers.acquire();
            PiecePacer pacer = new PiecePacer(BodyBuffers.capacity(piece), body.framing());
            while (!body.isComplete()) {
                stallTimeout.progressed();
                int read = readPiece(body, piece, deadlineUs);
                stallTimeout.progressed();
                ChunkedFraming.Span framed = ChunkedFraming.frameIfChunked(piece, read, chunked, body.isComplete());
                writeToClient(piece, framed.from(), framed.length());
                relayedBytes += read;
                if (!body.isComplete() && isOverdue(body, deadlineUs)) {
                    throw new IOException("short response was not complete in time");
                }
                PiecePacer.pause(pacer.pauseMs(read, body, pauseMs.getAsLong()));
            }
            clientClose.setResetOnClose(false);
            return true;
        } catch (IOException | OutOfMemoryError e) {
            clientClose.close();
            LOG.log(Level.FINE, "relay of a long response failed: {0}", e);
            return false;
        } finally {
            if (piece != null) {
                BodyBuffers.release(piece);
            }
        }
    }

    /** A method of its own, so that no stack frame holds the message for as long as the transfer takes. */
    private void writeStart(Supplier<byte[]> message, ResponseStart start) throws IOException {
        byte[] first = message.get();
        writeToClient(first, 0, first.length);
        start.release();
    }

    private void writeToClient(byte[] bytes, int offset, int length) throws IOException {
        long writeStartUs = deadlines.now();
        SlowPeerWriter.write(client, bytes, offset, length, stallTimeout::progressed);
        clientWriteUs += deadlines.now() - writeStartUs;
    }

    private int readPiece(Body body, byte[] piece, long deadlineUs) throws IOException {
        long readStartUs = deadlines.now();     // the host is not to blame for the time that the client took before
        while (true) {
            try {
                return Math.max(0, body.read(piece, ChunkedFraming.FRAMING_ROOM, BodyBuffers.capacity(piece)));
            } catch (SocketTimeoutException e) {
                if (!clientInput.isClientPresent()) {
                    throw new EOFException("client closed the connection");
                }
                if (isOverdue(body, deadlineUs) || deadlines.now() - readStartUs >= HOST_TIMEOUT_US) {
                    throw new IOException("host stalled within the response");
                }
                stallTimeout.progressed();          // a stalled host is handled here; the watchdog is for the client
            }
        }
    }

    /**
     * Returns whether the response ends because its time is over. Of a body over 64 KiB only the first byte is timed;
     * any other has to be complete in time, whether or not its host still writes. Where neither a length nor the size
     * of a chunk tells, its pace so far shows which of the two it may be. A slow client is no cause.
     */
    private boolean isOverdue(Body body, long deadlineUs) {
        long nowUs = deadlines.now() - clientWriteUs;
        if (nowUs < deadlineUs + SHORT_RESPONSE_GRACE_US) {
            return false;
        }
        if (body.knownLength() > MessageReader.SHORT_BODY_BYTES) {
            return relayedBytes == 0;
        }
        boolean hasLongPace = relayedBytes * 1_000_000 >= LONG_RESPONSE_BYTES_PER_S * (nowUs - startUs);
        return body.length() >= 0 || !hasLongPace;
    }
}
