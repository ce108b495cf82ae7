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
 * What one sidecar was told, kept in a folder that one process at a time writes to: who holds the lock beside it. A
 * process that finds it held serves all the same, says so, and asks for it again before each write. Writing is done
 * by a thread of its own; {@link #keep} never waits.
 */
public final class StateFolder implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(StateFolder.class.getName());
    private static final long EVERY_US = 50_000;
    private static final long AFTER_FAILURE_US = 1_000_000;

    private final SnapshotFile file;
    private final Path lockFile;
    private final LongSupplier clock;
    private final WriteScheduler pace = new WriteScheduler(EVERY_US, AFTER_FAILURE_US);
    private Supplier<byte[]> list;
    private boolean ended;
    private FileLock lock;
    private Thread writer;

    /** {@code name}: of the sidecar, as a file's; {@code clock}: Unix time in microseconds. */
    public StateFolder(Path folder, String name, LongSupplier clock) {
        file = new SnapshotFile(folder, name);
        lockFile = folder.resolve(name + ".lock");
        this.clock = clock;
    }

    /** What the life before kept, or null. */
    public Snapshot read() {
        return file.read();
    }

    /** The list was heard; {@code text} gives it in discovery's form when it is written. */
    public synchronized void keep(Supplier<byte[]> text) {
        list = text;
        pace.listChanged();
        if (writer == null && !ended) {
            writer = new Thread(this::run, "state");
            writer.setDaemon(true);
            writer.start();
        }
        notifyAll();
    }

    private void run() {
        try {
            while (awaitDue()) {
                write();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until there is something to write; false once it was closed. */
    private synchronized boolean awaitDue() throws InterruptedException {
        while (!ended) {
            long now = clock.getAsLong();
            if (pace.nextWriteUs() <= now) {
                return true;
            }
            wait(pace.nextWriteUs() == Long.MAX_VALUE ? 0 : (pace.nextWriteUs() - now) / 1_000 + 1);
        }
        return false;
    }

    private void write() {
        Supplier<byte[]> text;
        synchronized (this) {
            pace.writeStarted(clock.getAsLong());
            text = list;
        }
        try {
            if (!holdsLock()) {
                throw new IOException(lockFile + " is held by another process, and nothing is written over its state");
            }
            file.write(new Snapshot(clock.getAsLong(), text.get()));
        } catch (IOException | RuntimeException e) {
            synchronized (this) {
                if (pace.writeFailed(clock.getAsLong())) {
                    LOG.log(Level.SEVERE, "the list is not kept: {0}", e.toString());
                }
            }
        }
    }

    private boolean holdsLock() throws IOException {
        if (lock != null) {
            return true;
        }
        FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            LOG.log(Level.FINE, "held by this process", e);
        }
        if (lock == null) {
            channel.close();
        }
        return lock != null;
    }

    /** Writes what is not written yet, and gives the lock back. */
    @Override
    public void close() throws InterruptedException {
        Thread last;
        boolean dirty;
        synchronized (this) {
            ended = true;
            notifyAll();
            last = writer;
        }
        if (last != null) {
            last.join();
        }
        synchronized (this) {
            dirty = pace.nextWriteUs() != Long.MAX_VALUE;
        }
        if (dirty) {
            write();
        }
        if (lock != null) {
            try {
                lock.acquiredBy().close();
            } catch (IOException e) {
                LOG.log(Level.WARNING, "lock not given back", e);
            }
        }
    }
}
