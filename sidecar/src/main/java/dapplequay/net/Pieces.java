package dapplequay.net;

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
