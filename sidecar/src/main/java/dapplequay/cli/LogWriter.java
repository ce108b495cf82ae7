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
 * Writes log lines on a separate thread. The reader of the log may block, and writes with it: threads that serve, keep
 * time or shut down must not block with them. Lines beyond a bound are dropped, and their number is logged once
 * writing proceeds.
 */
final class LogWriter extends Handler {
    private static final int WRITE_BATCH_CHARS = 8 * 1024;

    private final OutputStream out;
    private final int maxQueuedChars;
    private final Deque<String> queue = new ArrayDeque<>();
    private int queuedChars;
    private long droppedLines;
    private boolean isWriting;

    /** {@code maxQueuedChars} bounds the characters waiting to be written; a single line may be longer. */
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

    /** Waits until all lines are written, at most {@code maxWaitMs}; returns false if some are not. */
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
                    // There is nowhere to report it: these lines are lost, and writing goes on with the next.
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
        // Lines are written as soon as possible; awaitWritten waits for that.
    }

    @Override
    public void close() {
        // The shutdown hook logs until the process exits: this handler stays open until then.
    }
}
