package dapplequay.net;

/**
 * Shares out the memory that bodies may take while they are read and passed on. As less is free, each body gets less,
 * down to a minimum that is always granted: a slow peer keeps what its body was granted for as long as it takes, and
 * many of them must not use up the heap. All sizes are in bytes. Thread-safe.
 */
final class BodyMemory {
    /** The most and the least that one body is granted, unless it asks for less. */
    static final int MAX_GRANT = 64 * 1024;
    static final int MIN_GRANT = 8 * 1024;
    /** The share of the heap that bodies may take before each gets the minimum. */
    private static final double HEAP_SHARE = 0.25;
    /** One body is granted at most this share of what is free. */
    private static final double GRANT_SHARE = 1.0 / 16;

    private final long budget;
    private long granted;

    /** {@code budget}: from how many granted bytes on each body gets the minimum. */
    BodyMemory(long budget) {
        this.budget = budget;
    }

    /** Returns the memory for bodies in this process, by the size of its heap. */
    static BodyMemory ofHeap() {
        return new BodyMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    /** Grants a body {@code wanted} bytes or, if memory is short, a smaller power of two; see {@link #release}. */
    synchronized int reserve(int wanted) {
        long share = Math.max(MIN_GRANT, (long) ((budget - granted) * GRANT_SHARE));
        int grant = wanted <= share ? wanted : (int) Math.min(wanted, Long.highestOneBit(share));
        granted += grant;
        return grant;
    }

    /** Takes back what {@link #reserve} has granted. */
    synchronized void release(int grant) {
        granted -= grant;
    }

    synchronized long granted() {
        return granted;
    }
}
