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
    private static final int WRITE_BATCH_CHARS = 8 * 1024;

    private final OutputStream out;
    private final int maxQueuedChars;
    private final Deque<String> queue = new ArrayDeque<>();
    private int queuedChars;
    private long droppedLines;
    private boolean isWriting;

    /** {@code most}: characters held for a reader that is late; a single line may be longer. */
    LogWriter(OutputStream out, int maxQueuedChars, Formatter formatter) {
        this.out = out;
        this.maxQueuedChars = maxQueuedChars;
        setFormatter(formatter);
    }

    void start() {
        Thread thread = new Thread(this::writeLoop, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            String line = formatLine(record);
            synchronized (this) {
                if (queue.isEmpty() || queuedChars + line.length() <= maxQueuedChars) {
                    queue.add(line);
                    queuedChars += line.length();
                } else {
                    droppedLines++;
                }
                notifyAll();
            }
        }
    }

    private String formatLine(LogRecord record) {
        try {
            return getFormatter().format(record);
        } catch (RuntimeException e) {
            return "a log line could not be formed: " + e + '\n';
        }
    }

    /** Waits until all lines are with the system, but no longer than this; false where some are not. */
    synchronized boolean awaitWritten(long maxWaitMs) throws InterruptedException {
        long deadlineNs = System.nanoTime() + maxWaitMs * 1_000_000;
        while (isWriting || !queue.isEmpty()) {
            long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
            if (remainingMs <= 0) {
                return false;
            }
            wait(remainingMs);
        }
        return true;
    }

    private void writeLoop() {
        try {
            while (true) {
                try {
                    out.write(awaitBatch().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                } catch (IOException | RuntimeException | OutOfMemoryError e) {
                    // There is nowhere to tell it: these lines are lost, the next ones are tried.
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String awaitBatch() throws InterruptedException {
        isWriting = false;
        notifyAll();
        while (queue.isEmpty()) {
            wait();
        }
        isWriting = true;
        StringBuilder batch = new StringBuilder();
        while (!queue.isEmpty() && batch.length() < WRITE_BATCH_CHARS) {
            String line = queue.poll();
            queuedChars -= line.length();
            batch.append(line);
        }
        if (queue.isEmpty() && droppedLines > 0) {
            batch.append(droppedLines).append(" log lines were dropped, as nobody read the log\n");
            droppedLines = 0;
        }
        return batch.toString();
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
