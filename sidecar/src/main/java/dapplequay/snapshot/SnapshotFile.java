package dapplequay.snapshot;

import dapplequay.state.Snapshot;
import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One instance's snapshot in a folder: written beside, synced, renamed, and the folder synced, so that after an
 * end at any moment there is the old one or the new one, never half of either. What can't be read is named in the
 * log and kept aside; it never stops a start.
 */
public final class SnapshotFile {
    private static final Logger LOG = Logger.getLogger(SnapshotFile.class.getName());
    private static final int HEAD_ROOM = 1024;

    private final Path folder;
    private final Path file;
    private final Path beside;
    private final Path aside;
    private final Disk disk;

    /** {@code name}: letters, digits, dots, dashes and underscores. */
    public SnapshotFile(Path folder, String name) {
        this(folder, name, new Disk());
    }

    SnapshotFile(Path folder, String name, Disk disk) {
        if (!name.matches("[A-Za-z0-9_][A-Za-z0-9_.-]{0,99}")) {
            throw new IllegalArgumentException("not a name for a file: " + name);
        }
        this.folder = folder;
        this.disk = disk;
        file = folder.resolve(name + ".list");
        beside = folder.resolve(name + ".list.new");
        aside = folder.resolve(name + ".list.bad");
    }

    /** The last one kept, or null where there is none that can be used. */
    public Snapshot read() {
        try {
            byte[] bytes = disk.read(file, Snapshot.MAX_LIST_BYTES + HEAD_ROOM);
            if (bytes == null) {
                return null;
            }
            Snapshot.DecodeResult read = Snapshot.decode(bytes);
            if (read.snapshot() != null) {
                return read.snapshot();
            }
            setAside(read.fault());
        } catch (IOException e) {
            setAside(e.getMessage());
        }
        return null;
    }

    private void setAside(String why) {
        LOG.log(Level.WARNING, "{0} is not used and kept as {1}: {2}", new Object[] {file, aside.getFileName(), why});
        try {
            disk.rename(file, aside);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "{0} stays where it is: {1}", new Object[] {file, e.toString()});
        }
    }

    /** Keeps this one in place of the last; IOException where that failed, and then the last one is still there. */
    public void write(Snapshot snapshot) throws IOException {
        disk.create(beside);
        disk.write(beside, snapshot.encode());
        disk.sync(beside);
        disk.rename(beside, file);
        disk.syncFolder(folder);
    }
}
