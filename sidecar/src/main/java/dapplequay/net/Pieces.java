package dapplequay.net;

import dapplequay.http.Body;
import java.io.InterruptedIOException;
import java.util.ArrayDeque;

/**
 * Arrays that pieces of long bodies are carried in, used again and again: each lives long enough to reach the old part
 * of the heap, and a new one for each body would fill that with what nobody needs.
 */
final class Pieces {
    /** Bytes of a body in one piece. */
    static final int SIZE = 64 * 1024;
    /** What is kept while nobody needs it. */
    private static final int KEPT = 24;
    /** A piece smaller than this is waited on for more, so long; far less than the second that a peer would notice. */
    private static final int GATHERED = SIZE * 3 / 4;
    /** The same for a body in chunks, of which no more than half as much comes at once. */
    private static final int CHUNKS_GATHERED = SIZE / 4;
    private static final long GATHER_MS = 70;

    private static final ArrayDeque<byte[]> FREE = new ArrayDeque<>();
    private static int inUse;

    private Pieces() { }

    /** One with room for framing before and behind its bytes; see {@link Chunks#ROOM}. */
    static byte[] take() {
        synchronized (FREE) {
            inUse++;
            byte[] piece = FREE.poll();
            return piece != null ? piece : new byte[SIZE + 2 * Chunks.ROOM];
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
    static void gather(int read, Body body, long leastMs) throws InterruptedIOException {
        if (body.isComplete()) {
            return;
        }
        int gathered = body.framing() == Body.Framing.CHUNKED ? CHUNKS_GATHERED : GATHERED;
        boolean small = read < gathered && !body.hasFewerLeftThan(gathered);
        long pauseMs = Math.max(small ? GATHER_MS : 0, leastMs);
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
    static void give(byte[] piece) {
        synchronized (FREE) {
            inUse--;
            if (FREE.size() < KEPT) {
                FREE.push(piece);
            }
        }
    }
}
