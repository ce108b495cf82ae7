package dapplequay.net;

import dapplequay.http.Body;
import java.io.InterruptedIOException;
import java.util.ArrayDeque;

/**
 * A pool of the arrays in which pieces of long bodies are copied. Each array lives long enough to reach the old
 * generation of the heap, so a new one for each body would fill it with garbage.
 */
final class BodyBuffers {
    /** Largest number of body bytes in one piece. */
    static final int PIECE_BYTES = 64 * 1024;
    /** Largest number of free arrays that are kept. */
    private static final int MAX_POOLED = 24;
    /** After a piece smaller than this, the transfer pauses so that more bytes accumulate. */
    private static final int SMALL_PIECE_BYTES = PIECE_BYTES * 3 / 4;
    /** The same for a chunked body, of which at most half as much arrives at once. */
    private static final int SMALL_CHUNKED_PIECE_BYTES = PIECE_BYTES / 4;
    /** The pause after a small piece; far less than the second that a peer would notice. */
    private static final long ACCUMULATE_MS = 70;

    private static final ArrayDeque<byte[]> FREE = new ArrayDeque<>();
    private static int inUse;

    private BodyBuffers() { }

    /** Returns an array with room for framing before and after its content; see {@link ChunkedFraming#FRAMING_ROOM}. */
    static byte[] acquire() {
        synchronized (FREE) {
            inUse++;
            byte[] piece = FREE.poll();
            return piece != null ? piece : new byte[PIECE_BYTES + 2 * ChunkedFraming.FRAMING_ROOM];
        }
    }

    /** Returns whether a long body is being transferred. */
    static boolean areInUse() {
        synchronized (FREE) {
            return inUse > 0;
        }
    }

    /**
     * Pauses after a small piece of a long body so that more bytes accumulate. Each piece costs two system calls and a
     * thread switch, whatever its size; a body in packet-sized pieces takes three times the processor time. If short
     * requests wait for the processor, a long body gives way: it pauses for at least {@code minPauseMs} in any case.
     */
    static void pauseAfterPiece(int readBytes, Body body, long minPauseMs) throws InterruptedIOException {
        if (body.isComplete()) {
            return;
        }
        int smallBytes = body.framing() == Body.Framing.CHUNKED ? SMALL_CHUNKED_PIECE_BYTES : SMALL_PIECE_BYTES;
        boolean isSmall = readBytes < smallBytes && !body.hasFewerLeftThan(smallBytes);
        long pauseMs = Math.max(isSmall ? ACCUMULATE_MS : 0, minPauseMs);
        if (pauseMs > 0) {
            try {
                Thread.sleep(pauseMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new InterruptedIOException("interrupted within a body");
            }
        }
    }

    /** Returns an array to the pool; the caller must not use it any more. */
    static void release(byte[] piece) {
        synchronized (FREE) {
            inUse--;
            if (FREE.size() < MAX_POOLED) {
                FREE.push(piece);
            }
        }
    }
}
