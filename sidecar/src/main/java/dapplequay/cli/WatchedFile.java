package dapplequay.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;

/**
 * Detects changes of a file by polling. This replaces SIGHUP in a process that was started with that signal ignored (by
 * nohup, or a shell that ignores it), as neither the JVM nor a shell can undo that. A change counts once two polls in a
 * row see the same state, so that a file is not read while it is being written.
 */
final class WatchedFile {
    private static final long POLL_INTERVAL_MS = 100;

    /** Attributes that show a change; the file key differs if another file was moved into its place. */
    private record FileState(long modifiedNs, long size, Object key) { }

    private final Path file;
    private FileState loaded;
    private FileState previous;

    /** Takes the current state of the file as loaded. */
    WatchedFile(Path file) {
        this.file = file;
        loaded = previous = readState();
    }

    /** Runs {@code changed} after each change, until the thread is interrupted. */
    void watch(Runnable changed) {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MS);
                if (hasChanged()) {
                    changed.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the current state as loaded, so that it does not count as a change. */
    synchronized void markLoaded() {
        loaded = previous = readState();
    }

    /** Polls the file; true if it has changed since it was loaded and is the same as at the last poll. */
    synchronized boolean hasChanged() {
        FileState now = readState();
        boolean changed = now != null && now.equals(previous) && !now.equals(loaded);
        loaded = changed ? now : loaded;
        previous = now;
        return changed;
    }

    private FileState readState() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new FileState(attributes.lastModifiedTime().to(java.util.concurrent.TimeUnit.NANOSECONDS),
                    attributes.size(), Objects.requireNonNullElse(attributes.fileKey(), ""));
        } catch (IOException e) {
            return null;                // missing or unreadable for now, as while it is being replaced
        }
    }
}
