package dapplequay.snapshot;

import dapplequay.state.Snapshot;
import dapplequay.state.WriteScheduler;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Persists the list of one sidecar in a folder. Only the process that holds the lock file writes. A process that finds
 * it locked serves all the same, logs that, and tries to lock it again before each write. A separate thread writes;
 * {@link #scheduleWrite} never blocks.
 */
public final class StateFolder implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(StateFolder.class.getName());
    private static final long MIN_WRITE_INTERVAL_US = 50_000;
    private static final long RETRY_DELAY_US = 1_000_000;

    private final SnapshotFile file;
    private final Path lockFile;
    private final LongSupplier clock;
    private final WriteScheduler writeScheduler = new WriteScheduler(MIN_WRITE_INTERVAL_US, RETRY_DELAY_US);
    private Supplier<byte[]> latestList;
    private boolean isClosed;
    private FileLock lock;
    private Thread writer;

    /** {@code name} is the base name of the sidecar's files; {@code clock} returns Unix time in microseconds. */
    public StateFolder(Path folder, String name, LongSupplier clock) {
        file = new SnapshotFile(folder, name);
        lockFile = folder.resolve(name + ".lock");
        this.clock = clock;
    }

    /** Returns the snapshot that an earlier process wrote, or null. */
    public Snapshot read() {
        return file.read();
    }

    /** Schedules a write of the list; {@code list} is called at the time of the write and returns discovery's form. */
    public synchronized void scheduleWrite(Supplier<byte[]> list) {
        latestList = list;
        writeScheduler.listChanged();
        if (writer == null && !isClosed) {
            writer = new Thread(this::writeWhenDue, "state");
            writer.setDaemon(true);
            writer.start();
        }
        notifyAll();
    }

    private void writeWhenDue() {
        try {
            while (awaitNextWrite()) {
                write();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a write is due; returns false once this is closed. */
    private synchronized boolean awaitNextWrite() throws InterruptedException {
        while (!isClosed) {
            long now = clock.getAsLong();
            if (writeScheduler.nextWriteUs() <= now) {
                return true;
            }
            wait(writeScheduler.nextWriteUs() == Long.MAX_VALUE ? 0 : (writeScheduler.nextWriteUs() - now) / 1_000 + 1);
        }
        return false;
    }

    private void write() {
        Supplier<byte[]> list;
        synchronized (this) {
            writeScheduler.writeStarted(clock.getAsLong());
            list = latestList;
        }
        try {
            if (!acquireLock()) {
                throw new IOException(lockFile + " is held by another process, and nothing is written over its state");
            }
            file.write(new Snapshot(clock.getAsLong(), list.get()));
        } catch (IOException | RuntimeException e) {
            synchronized (this) {
                if (writeScheduler.writeFailed(clock.getAsLong())) {
                    LOG.log(Level.SEVERE, "the list is not kept: {0}", e.toString());
                }
            }
        }
    }

    private boolean acquireLock() throws IOException {
        if (lock != null) {
            return true;
        }
        FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            LOG.log(Level.FINE, "the lock is held elsewhere in this process", e);
        }
        if (lock == null) {
            channel.close();
        }
        return lock != null;
    }

    /** Writes a pending list, stops the writer thread and releases the lock. */
    @Override
    public void close() throws InterruptedException {
        Thread lastWriter;
        boolean isWritePending;
        synchronized (this) {
            isClosed = true;
            notifyAll();
            lastWriter = writer;
        }
        if (lastWriter != null) {
            lastWriter.join();
        }
        synchronized (this) {
            isWritePending = writeScheduler.nextWriteUs() != Long.MAX_VALUE;
        }
        if (isWritePending) {
            write();
        }
        if (lock != null) {
            try {
                lock.acquiredBy().close();
            } catch (IOException e) {
                LOG.log(Level.WARNING, "the lock could not be released", e);
            }
        }
    }
}
