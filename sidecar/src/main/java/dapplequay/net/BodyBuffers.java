package dapplequay.net;

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
