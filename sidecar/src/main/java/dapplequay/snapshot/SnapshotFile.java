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
    private static final int MAX_HEADER_BYTES = 1024;

    private final Path folder;
    private final Path file;
    private final Path temporaryFile;
    private final Path rejectedFile;
    private final FileOperations files;

    /** {@code name}: letters, digits, dots, dashes and underscores. */
    public SnapshotFile(Path folder, String name) {
        this(folder, name, new FileOperations());
    }

    SnapshotFile(Path folder, String name, FileOperations files) {
        if (!name.matches("[A-Za-z0-9_][A-Za-z0-9_.-]{0,99}")) {
            throw new IllegalArgumentException("not a name for a file: " + name);
        }
        this.folder = folder;
        this.files = files;
        file = folder.resolve(name + ".list");
        temporaryFile = folder.resolve(name + ".list.new");
        rejectedFile = folder.resolve(name + ".list.bad");
    }

    /** The last one kept, or null where there is none that can be used. */
    public Snapshot read() {
        try {
            byte[] bytes = files.read(file, Snapshot.MOST_BYTES + MAX_HEADER_BYTES);
            if (bytes == null) {
                return null;
            }
            Snapshot.Read read = Snapshot.decode(bytes);
            if (read.snapshot() != null) {
                return read.snapshot();
            }
            reject(read.fault());
        } catch (IOException e) {
            reject(e.getMessage());
        }
        return null;
    }

    private void reject(String reason) {
        LOG.log(Level.WARNING, "{0} is not used and kept as {1}: {2}",
                new Object[] {file, rejectedFile.getFileName(), reason});
        try {
            files.rename(file, rejectedFile);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "{0} stays where it is: {1}", new Object[] {file, e.toString()});
        }
    }

    /** Keeps this one in place of the last; IOException where that failed, and then the last one is still there. */
    public void write(Snapshot snapshot) throws IOException {
        files.create(temporaryFile);
        files.write(temporaryFile, snapshot.encode());
        files.sync(temporaryFile);
        files.rename(temporaryFile, file);
        files.syncFolder(folder);
    }
}
