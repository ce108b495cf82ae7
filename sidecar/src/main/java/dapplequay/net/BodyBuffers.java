package dapplequay.net;

import dapplequay.http.Body;
import java.io.InterruptedIOException;
import java.util.ArrayDeque;

/**
 * Arrays that pieces of long bodies are carried in, used again and again: each lives long enough to reach the old part
 * of the heap, and a new one for each body would fill that with what nobody needs.
 */
final class BodyBuffers {
    /** Bytes of a body in one piece. */
    static final int PIECE_BYTES = 64 * 1024;
    /** What is kept while nobody needs it. */
    private static final int MAX_POOLED = 24;
    /** A piece smaller than this is waited on for more, so long; far less than the second that a peer would notice. */
    private static final int SMALL_PIECE_BYTES = PIECE_BYTES * 3 / 4;
    /** The same for a body in chunks, of which no more than half as much comes at once. */
    private static final int SMALL_CHUNKED_PIECE_BYTES = PIECE_BYTES / 4;
    private static final long ACCUMULATE_MS = 70;

    private static final ArrayDeque<byte[]> FREE = new ArrayDeque<>();
    private static int inUse;

    private BodyBuffers() { }

    /** One with room for framing before and behind its bytes; see {@link ChunkedFraming#ROOM}. */
    static byte[] acquire() {
        synchronized (FREE) {
            inUse++;
            byte[] piece = FREE.poll();
            return piece != null ? piece : new byte[PIECE_BYTES + 2 * ChunkedFraming.FRAMING_ROOM];
        }
    }

    /** Whether a long body passes at the moment. */
    static boolean areInUse() {
        synchronized (FREE) {
            return inUse > 0;
        }
    }

    /**
     * Lets bytes come together behind a small piece of a long body: each piece costs two calls of the system and a
     * change of threads, whatever its size, and a body in pieces of a packet takes three times the processor time.
     * Where short requests wait for the processor, a long body gives way: it pauses for {@code leastMs} in any case.
     */
    static void pauseAfterPiece(int readBytes, Body body, long minPauseMs) throws InterruptedIOException {
        if (body.isWhole()) {
            return;
        }
        int smallBytes = body.framing() == Body.Framing.CHUNKED ? SMALL_CHUNKED_PIECE_BYTES : SMALL_PIECE_BYTES;
        boolean isSmall = readBytes < smallBytes && !body.isNearlyWhole(smallBytes);
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

    /** The caller does not use it any more. */
    static void release(byte[] piece) {
        synchronized (FREE) {
            inUse--;
            if (FREE.size() < MAX_POOLED) {
                FREE.push(piece);
            }
        }
    }
}
