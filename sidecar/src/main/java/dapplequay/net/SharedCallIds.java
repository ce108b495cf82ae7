package dapplequay.net;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The ids of recent requests at all processes that accept clients from one listening socket: a table in a file that
 * each of them maps. An id has its place in one of a few neighbouring slots; where all of these are taken, the oldest
 * is replaced. A slot is one word, so that it changes at once: the high bits are a part of the id's hash, the low ones
 * the second in which it was added, by {@link System#nanoTime}, which the processes of a machine have in common.
 * Thread-safe.
 */
final class SharedCallIds {
    private static final Logger LOG = Logger.getLogger(SharedCallIds.class.getName());
    private static final long RETENTION_S = TimeUnit.MICROSECONDS.toSeconds(RecentCallIds.MAX_RETENTION_US);
    private static final int SLOTS_PER_ID = 8;
    private static final int BUCKETS = 1 << 12;
    private static final int SLOT_BYTES = Long.BYTES;
    private static final long EMPTY_SLOT = 0;
    /** The low bits of a slot, for seconds; the others are those of the hash. */
    private static final int TIME_BITS = 24;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final int FILE_BYTES = BUCKETS * SLOTS_PER_ID * SLOT_BYTES;
    /** Spreads ids that differ in few bits over all bits of the hash. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long WARM_UP_ID = -1;
    private static final VarHandle LONGS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /** Null if the ids are not shared, or can't be any more. */
    private volatile ByteBuffer table;

    private SharedCallIds(ByteBuffer table) {
        this.table = table;
    }

    /** Returns a table that holds nothing, for a process that accepts clients alone. */
    static SharedCallIds none() {
        return new SharedCallIds(null);
    }

    /** Opens the table of the listening socket with this port. Where that is not possible, the ids are not shared. */
    static SharedCallIds open(Path folder, int port) {
        Path file = folder.resolve("dapplequay-" + port + ".ids");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            // Written, not only extended: a mapped page that the disk has no room for would fail when it is touched.
            for (long size = channel.size(); size < FILE_BYTES; size = channel.size()) {
                channel.write(ByteBuffer.allocate((int) (FILE_BYTES - size)), size);
            }
            SharedCallIds ids = new SharedCallIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES));
            ids.warmUp();
            return ids;
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            LOG.log(Level.WARNING, "ids are not shared with other processes: {0}", e.toString());
            return none();
        }
    }

    /** Links what accesses the table, so that no client waits for it. */
    private void warmUp() {
        addIfNew(WARM_UP_ID);
        remove(WARM_UP_ID);
    }

    /** Adds an id; returns false if a process has added it recently. */
    boolean addIfNew(long id) {
        ByteBuffer slots = table;
        try {
            return slots == null || addIfNew(slots, hash(id), nowS());
        } catch (InternalError e) {
            disable(e);
            return true;
        }
    }

    private static boolean addIfNew(ByteBuffer slots, long hash, long nowS) {
        long added = hash & ~TIME_MASK | nowS & TIME_MASK;
        while (true) {
            int oldest = 0;
            long oldestSlot = EMPTY_SLOT;
            long oldestAgeS = -1;
            for (int i = 0; i < SLOTS_PER_ID; i++) {
                long slot = (long) LONGS.getVolatile(slots, offset(hash, i));
                long ageS = slot == EMPTY_SLOT ? Long.MAX_VALUE : nowS - slot & TIME_MASK;
                if (isOf(slot, hash) && ageS <= RETENTION_S) {
                    return false;
                }
                if (ageS > oldestAgeS) {
                    oldest = i;
                    oldestSlot = slot;
                    oldestAgeS = ageS;
                }
            }
            if (LONGS.compareAndSet(slots, offset(hash, oldest), oldestSlot, added)) {
                return true;
            }
        }
    }

    /** Removes an id, as its request never ran. */
    void remove(long id) {
        ByteBuffer slots = table;
        long hash = hash(id);
        try {
            for (int i = 0; slots != null && i < SLOTS_PER_ID; i++) {
                long slot = (long) LONGS.getVolatile(slots, offset(hash, i));
                if (isOf(slot, hash)) {
                    LONGS.compareAndSet(slots, offset(hash, i), slot, EMPTY_SLOT);
                }
            }
        } catch (InternalError e) {
            disable(e);
        }
    }

    /** Called if the file can't be accessed any more, as it was cut short. */
    private void disable(InternalError cause) {
        table = null;
        LOG.log(Level.WARNING, "ids are no longer shared with other processes: {0}", cause.toString());
    }

    private static long nowS() {
        return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    }

    private static long hash(long id) {
        long mixed = (id ^ id >>> 32) * HASH_MULTIPLIER;
        mixed = (mixed ^ mixed >>> 29) * HASH_MULTIPLIER;
        return mixed ^ mixed >>> 32;
    }

    /** The bucket follows from the low bits of the hash, which are not in the slot. */
    private static int offset(long hash, int slot) {
        int bucket = (int) hash & BUCKETS - 1;
        return (bucket * SLOTS_PER_ID + slot) * SLOT_BYTES;
    }

    private static boolean isOf(long slot, long hash) {
        return slot != EMPTY_SLOT && (slot & ~TIME_MASK) == (hash & ~TIME_MASK);
    }
}
