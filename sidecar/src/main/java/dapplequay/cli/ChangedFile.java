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
final class ChangedFile {
    private static final long LOOK_MS = 100;

    /** What a file looks like from outside; the key tells one that was put in its place. */
    private record Look(long modifiedNs, long size, Object key) { }

    private final Path file;
    private Look read;
    private Look before;

    /** What differs from the file that there is now has changed. */
    ChangedFile(Path file) {
        this.file = file;
        read = before = look();
    }

    /** Calls {@code changed} after each change, until the thread is interrupted. */
    void watch(Runnable changed) {
        try {
            while (true) {
                Thread.sleep(LOOK_MS);
                if (hasChanged()) {
                    changed.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The file as it is now counts as read. */
    synchronized void taken() {
        read = before = look();
    }

    /** One look at the file: whether it is another, and whole as far as that shows. */
    synchronized boolean hasChanged() {
        Look now = look();
        boolean changed = now != null && now.equals(before) && !now.equals(read);
        read = changed ? now : read;
        before = now;
        return changed;
    }

    private Look look() {
        try {
            BasicFileAttributes is = Files.readAttributes(file, BasicFileAttributes.class);
            return new Look(is.lastModifiedTime().to(java.util.concurrent.TimeUnit.NANOSECONDS), is.size(),
                    Objects.requireNonNullElse(is.fileKey(), ""));
        } catch (IOException e) {
            return null;                // it will be back
        }
    }
}
