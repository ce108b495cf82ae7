package dapplequay.snapshot;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The single steps of replacing a file durably; a test overrides them to simulate a crash between any two. */
class FileOperations {
    /** Returns the file's content, or null if it does not exist; IOException if it is longer than {@code maxBytes}. */
    byte[] read(Path file, long maxBytes) throws IOException {
        try {
            if (Files.size(file) > maxBytes) {
                throw new IOException("oversized: " + Files.size(file) + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    void create(Path file) throws IOException {
        Files.deleteIfExists(file);
        Files.createFile(file);
    }

    void write(Path file, byte[] bytes) throws IOException {
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.WRITE)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                out.write(remaining);
            }
        }
    }

    void sync(Path file) throws IOException {
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.WRITE)) {
            out.force(true);
        }
    }

    void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Makes a rename durable: it is on disk only once its folder has been synced. */
    void syncFolder(Path folder) throws IOException {
        try (FileChannel in = FileChannel.open(folder, StandardOpenOption.READ)) {
            in.force(true);
        }
    }
}
