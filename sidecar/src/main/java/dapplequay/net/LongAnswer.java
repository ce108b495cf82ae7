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
final class LongAnswer {
    private static final Logger LOG = Logger.getLogger(LongAnswer.class.getName());
    /** Of a host's silence: then it is looked whether there is still something to wait for, ms. */
    static final int LOOK_MS = 50;
    /** So long after the request's time, us, an answer ends that its host has not gone on with; 0.5 s is allowed. */
    private static final long GRACE_US = 300_000;
    /** Peers take seconds over a piece of a long body; where nothing moves for so long, us, nothing will. */
    private static final long STALL_US = 10_000_000;

    private final Socket client;
    private final ClientInput input;
    private final LingeringClose ending;
    private final Deadlines deadlines;
    private final LongSupplier pauseMs;
    private long hostMovedUs;
    private long passed;

    /** {@code pauseMs}: how long to pause after a piece, for the sake of others, ms. */
    LongAnswer(Socket client, ClientInput input, LingeringClose ending, Deadlines deadlines, LongSupplier pauseMs) {
        this.client = client;
        this.input = input;
        this.ending = ending;
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
    boolean pass(byte[] begun, int held, Body body, boolean chunked, long dueUs) {
        byte[] piece = Pieces.take();
        Progress.Moves moves = new Progress.Moves(deadlines, STALL_US);
        ending.setResetOnClose(body.length() < 0 && !chunked);
        hostMovedUs = deadlines.now();
        passed = held;
        try (Progress stuck = new Progress(deadlines, moves, ending::close)) {
            client.getOutputStream().write(begun);
            while (!body.isWhole()) {
                moves.moved();
                int read = next(body, piece, moves, dueUs);
                moves.moved();
                Chunks.Span out = Chunks.span(piece, read, chunked, body.isWhole());
                client.getOutputStream().write(piece, out.from(), out.length());
                passed += read;
                Pieces.gather(read, body, pauseMs.getAsLong());
            }
            ending.setResetOnClose(false);
            return true;
        } catch (IOException e) {
            LOG.log(Level.FINE, "long answer broke: {0}", e.toString());
            ending.close();
            return false;
        } finally {
            Pieces.give(piece);
        }
    }

    private int next(Body body, byte[] piece, Progress.Moves moves, long dueUs) throws IOException {
        while (true) {
            try {
                int read = Math.max(0, body.read(piece, Chunks.ROOM, Pieces.SIZE));
                hostMovedUs = deadlines.now();
                return read;
            } catch (SocketTimeoutException e) {
                if (!input.isClientPresent()) {
                    throw new EOFException("the client has left");
                }
                if (isGivenUp(body, dueUs)) {
                    throw new IOException("the host stands still");
                }
                moves.moved();          // only the client can be stuck: the host is looked after here
            }
        }
    }

    /**
     * The host's silence is its own: whatever it had sent while the client was slow would have been read. Of a body
     * over 64 KiB the first bytes alone are timed, and of one that goes on moving nobody can say that it will not get
     * there.
     */
    private boolean isGivenUp(Body body, long dueUs) {
        long now = deadlines.now();
        boolean isTimed = passed <= (body.length() > MessageReader.MAX_BODY ? 0 : MessageReader.MAX_BODY);
        return isTimed && hostMovedUs <= dueUs && now >= dueUs + GRACE_US || now - hostMovedUs >= STALL_US;
    }
}
