package dapplequay.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines by a thread of its own. Whoever reads the log may be stuck, and then each write waits: the threads
 * that serve, keep time or end the process must not wait with it. Lines beyond a bound are dropped, and their number
 * is told once lines are taken again.
 */
final class LogWriter extends Handler {
    /** So much is handed to the system at once, characters. */
    private static final int PIECE = 8 * 1024;

    private final OutputStream out;
    private final int most;
    private final Deque<String> waiting = new ArrayDeque<>();
    private int held;
    private long dropped;
    private boolean isWriting;

    /** {@code most}: characters held for a reader that is late; a single line may be longer. */
    LogWriter(OutputStream out, int most, Formatter formatter) {
        this.out = out;
        this.most = most;
        setFormatter(formatter);
    }

    void start() {
        Thread thread = new Thread(this::writeAll, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            String line = line(record);
            synchronized (this) {
                if (waiting.isEmpty() || held + line.length() <= most) {
                    waiting.add(line);
                    held += line.length();
                } else {
                    dropped++;
                }
                notifyAll();
            }
        }
    }

    private String line(LogRecord record) {
        try {
            return getFormatter().format(record);
        } catch (RuntimeException e) {
            return "a log line could not be formed: " + e + '\n';
        }
    }

    /** Waits until all lines are with the system, but no longer than this; false where some are not. */
    synchronized boolean awaitWritten(long atMostMs) throws InterruptedException {
        long until = System.nanoTime() + atMostMs * 1_000_000;
        while (isWriting || !waiting.isEmpty()) {
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                return false;
            }
            wait(leftMs);
        }
        return true;
    }

    private void writeAll() {
        try {
            while (true) {
                try {
                    out.write(next().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                } catch (IOException | RuntimeException | OutOfMemoryError e) {
                    // There is nowhere to tell it: these lines are lost, the next ones are tried.
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String next() throws InterruptedException {
        isWriting = false;
        notifyAll();
        while (waiting.isEmpty()) {
            wait();
        }
        isWriting = true;
        StringBuilder piece = new StringBuilder();
        while (!waiting.isEmpty() && piece.length() < PIECE) {
            String line = waiting.poll();
            held -= line.length();
            piece.append(line);
        }
        if (waiting.isEmpty() && dropped > 0) {
            piece.append(dropped).append(" log lines were dropped, as nobody read the log\n");
            dropped = 0;
        }
        return piece.toString();
    }

    @Override
    public void flush() {
        // Lines are written as they come; awaitWritten waits for that.
    }

    @Override
    public void close() {
        // The lines of an ending come last, from a hook: this is closed with the process.
    }
}
