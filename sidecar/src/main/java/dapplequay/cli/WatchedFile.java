package dapplequay.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;

/**
 * Has a file read again when it has changed: what stands in for SIGHUP in a process that was started with that signal
 * ignored (by nohup, or a shell that ignores it), as neither the JVM nor a shell can take such a signal back. A file is
 * read once it has looked the same twice in a row, so that one being written is not met half-way.
 */
final class WatchedFile {
    private static final long POLL_INTERVAL_MS = 100;

    /** What a file looks like from outside; the key tells one that was put in its place. */
    private record FileState(long modifiedNs, long size, Object key) { }

    private final Path file;
    private FileState loaded;
    private FileState previous;

    /** What differs from the file that there is now has changed. */
    WatchedFile(Path file) {
        this.file = file;
        loaded = previous = readState();
    }

    /** Calls {@code changed} after each change, until the thread is interrupted. */
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

    /** The file as it is now counts as read. */
    synchronized void markLoaded() {
        loaded = previous = readState();
    }

    /** One look at the file: whether it is another, and whole as far as that shows. */
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
            return null;                // it will be back
        }
    }
}
