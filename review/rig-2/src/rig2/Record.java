package rig2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, one line each, with the time in milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the start. */
    double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%9.1f  %s%n", nowMs(), String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
