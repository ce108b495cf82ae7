package dapplequay.net;

import dapplequay.http.Body;
import java.io.InterruptedIOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A pool of the arrays in which pieces of long bodies are copied. Each array lives long enough to reach the old
 * generation of the heap, so a new one for each body would fill it with garbage. {@link BodyMemory} limits their size.
 */
final class BodyBuffers {
    /** Largest number of body bytes in one piece. */
    static final int PIECE_BYTES = BodyMemory.MAX_GRANT;
    /** Largest number of free arrays of one size that are kept. */
    private static final int MAX_POOLED = 24;
    /** After a read that fills less than this part of the array, the transfer pauses so that more bytes accumulate. */
    private static final double SMALL_PIECE_SHARE = 0.75;
    /** The same for a chunked body, of which at most half as much arrives at once. */
    private static final double SMALL_CHUNKED_PIECE_SHARE = 0.25;
    /** The pause after a small piece; far less than the second that a peer would notice. */
    private static final long ACCUMULATE_MS = 70;

    /** The memory for all bodies of this process, short ones included. */
    static final BodyMemory MEMORY = BodyMemory.ofHeap();

    /** Free arrays by their capacity. */
    private static final Map<Integer, ArrayDeque<byte[]>> FREE = new HashMap<>();
    private static int inUse;

    private BodyBuffers() { }

    /**
     * Returns an array with room for framing before and after its content; see {@link ChunkedFraming#FRAMING_ROOM}.
     * Its {@link #capacity} is {@link #PIECE_BYTES}, or less if memory is short.
     */
    static byte[] acquire() {
        int capacity = MEMORY.reserve(PIECE_BYTES);
        synchronized (FREE) {
            inUse++;
            ArrayDeque<byte[]> free = FREE.get(capacity);
            byte[] piece = free == null ? null : free.poll();
            if (piece != null) {
                return piece;
            }
        }
        boolean isAllocated = false;
        try {
            byte[] piece = new byte[capacity + 2 * ChunkedFraming.FRAMING_ROOM];
            isAllocated = true;
            return piece;
        } finally {
            if (!isAllocated) {
                released(capacity);
            }
        }
    }

    /** Returns how many body bytes an array from {@link #acquire} can hold. */
    static int capacity(byte[] piece) {
        return piece.length - 2 * ChunkedFraming.FRAMING_ROOM;
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
     * requests wait for the processor, a long body gives way: it pauses for at least {@code minPauseMs} for each {@link
     * #PIECE_BYTES} in any case.
     *
     * @param capacity of the array that the piece was read into
     */
    static void pauseAfterPiece(int readBytes, int capacity, Body body, long minPauseMs)
            throws InterruptedIOException {
        if (body.isComplete()) {
            return;
        }
        double smallShare = body.framing() == Body.Framing.CHUNKED ? SMALL_CHUNKED_PIECE_SHARE : SMALL_PIECE_SHARE;
        int smallBytes = (int) (capacity * smallShare);
        boolean isSmall = readBytes < smallBytes && !body.hasFewerLeftThan(smallBytes);
        long pauseMs = Math.max(isSmall ? ACCUMULATE_MS : 0, minPauseMs * capacity / PIECE_BYTES);
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
        int capacity = capacity(piece);
        released(capacity);
        synchronized (FREE) {
            ArrayDeque<byte[]> free = FREE.computeIfAbsent(capacity, size -> new ArrayDeque<>());
            if (free.size() < MAX_POOLED) {
                free.push(piece);
            }
        }
    }

    private static void released(int capacity) {
        synchronized (FREE) {
            inUse--;
        }
        MEMORY.release(capacity);
    }
}
