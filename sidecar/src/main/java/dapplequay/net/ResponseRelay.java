package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import dapplequay.time.Deadlines;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A long answer, passed on as it comes and no faster than the client takes it, by the thread that reads its host. That
 * host's reads time out each {@link #LOOK_MS}: whoever waits for it looks then for the client, and at the time.
 */
final class ResponseRelay {
    private static final Logger LOG = Logger.getLogger(ResponseRelay.class.getName());
    /** Of a host's silence: then it is looked whether there is still something to wait for, ms. */
    static final int CHECK_INTERVAL_MS = 50;
    /** So long after the request's time, us, an answer ends that its host has not gone on with; 0.5 s is allowed. */
    private static final long STALLED_GRACE_US = 300_000;
    /** Peers take seconds over a piece of a long body; where nothing moves for so long, us, nothing will. */
    private static final long STALL_TIMEOUT_US = 10_000_000;

    private final Socket client;
    private final ClientInput clientInput;
    private final OrderlyClose clientClose;
    private final Deadlines deadlines;
    private final LongSupplier pauseMs;
    private long hostProgressUs;
    private long relayedBytes;

    /** {@code pauseMs}: how long to pause after a piece, for the sake of others, ms. */
    ResponseRelay(Socket client, ClientInput clientInput, OrderlyClose clientClose, Deadlines deadlines, LongSupplier pauseMs) {
        this.client = client;
        this.clientInput = clientInput;
        this.clientClose = clientClose;
        this.deadlines = deadlines;
        this.pauseMs = pauseMs;
    }

    /**
     * True if all of it was passed on. Where it breaks, the client's connection is closed so that this shows: its
     * length falls short, its last chunk is missing, or, where only the end of the connection ends it, that end is a
     * reset.
     *
     * @param begun   its head, and what has come of the body, as the client gets them
     * @param held    of the body that is in {@code begun}, bytes
     * @param chunked whether the client gets it in chunks
     * @param dueUs   when the request's time ends
     */
    boolean relay(byte[] start, int startBodyBytes, Body body, boolean chunked, long deadlineUs) {
        byte[] piece = BodyBuffers.acquire();
        ProgressWatchdog.StallTimeout stallTimeout = new ProgressWatchdog.StallTimeout(deadlines, STALL_TIMEOUT_US);
        clientClose.breaksOff(body.length() < 0 && !chunked);
        hostProgressUs = deadlines.now();
        relayedBytes = startBodyBytes;
        try (ProgressWatchdog watchdog = new ProgressWatchdog(deadlines, stallTimeout, clientClose::close)) {
            client.getOutputStream().write(start);
            while (!body.isWhole()) {
                stallTimeout.progressed();
                int read = readPiece(body, piece, stallTimeout, deadlineUs);
                stallTimeout.progressed();
                ChunkedFraming.Span framed = ChunkedFraming.frameIfChunked(piece, read, chunked, body.isWhole());
                client.getOutputStream().write(piece, framed.from(), framed.length());
                relayedBytes += read;
                BodyBuffers.pauseAfterPiece(read, body, pauseMs.getAsLong());
            }
            clientClose.breaksOff(false);
            return true;
        } catch (IOException e) {
            LOG.log(Level.FINE, "long answer broke: {0}", e.toString());
            clientClose.close();
            return false;
        } finally {
            BodyBuffers.release(piece);
        }
    }

    private int readPiece(Body body, byte[] piece, ProgressWatchdog.StallTimeout stallTimeout, long deadlineUs) throws IOException {
        while (true) {
            try {
                int read = Math.max(0, body.read(piece, ChunkedFraming.FRAMING_ROOM, BodyBuffers.PIECE_BYTES));
                hostProgressUs = deadlines.now();
                return read;
            } catch (SocketTimeoutException e) {
                if (!clientInput.isThere()) {
                    throw new EOFException("the client has left");
                }
                if (isHostStalled(body, deadlineUs)) {
                    throw new IOException("the host stands still");
                }
                stallTimeout.progressed();          // only the client can be stuck: the host is looked after here
            }
        }
    }

    /**
     * The host's silence is its own: whatever it had sent while the client was slow would have been read. Of a body
     * over 64 KiB the first bytes alone are timed, and of one that goes on moving nobody can say that it will not get
     * there.
     */
    private boolean isHostStalled(Body body, long deadlineUs) {
        long now = deadlines.now();
        boolean isTimed = relayedBytes <= (body.length() > MessageReader.MAX_BODY ? 0 : MessageReader.MAX_BODY);
        return isTimed && hostProgressUs <= deadlineUs && now >= deadlineUs + STALLED_GRACE_US || now - hostProgressUs >= STALL_TIMEOUT_US;
    }
}
