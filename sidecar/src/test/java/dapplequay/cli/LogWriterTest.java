package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A log whose reader blocks until the test releases it. */
@Timeout(30)
class LogWriterTest {
    private static final int MAX_QUEUED_CHARS = 1_000;

    private final CountDownLatch readerBlocked = new CountDownLatch(1);
    private final CountDownLatch readerReleased = new CountDownLatch(1);
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private final LogWriter log = new LogWriter(new OutputStream() {
        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            readerBlocked.countDown();
            try {
                readerReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            read.write(bytes, from, length);
        }
    }, MAX_QUEUED_CHARS, new SimpleFormatter() {
        @Override
        public String format(LogRecord line) {
            if (line.getMessage().isEmpty()) {
                throw new IllegalStateException("empty message");
            }
            return line.getMessage() + '\n';
        }
    });

    private void publish(String line) {
        log.publish(new LogRecord(Level.INFO, line));
    }

    @Test
    void loggingDoesNotWaitForAStuckReaderAndDroppedLinesAreCounted() throws Exception {
        log.start();
        publish("first");
        readerBlocked.await();
        for (int i = 0; i < MAX_QUEUED_CHARS; i++) {
            publish("line " + i);
        }
        publish("");
        assertThat(log.awaitWritten(1)).isFalse();
        readerReleased.countDown();
        assertThat(log.awaitWritten(20_000)).isTrue();
        String text = read.toString(StandardCharsets.UTF_8);
        assertThat(text).startsWith("first\nline 0\nline 1\n").hasSizeLessThan(2 * MAX_QUEUED_CHARS);
        int kept = (int) text.lines().filter(line -> line.startsWith("line ")).count();
        assertThat(kept).isGreaterThan(50);
        assertThat(text).endsWith(MAX_QUEUED_CHARS - kept + 1 + " log lines were dropped, as nobody read the log\n");
    }

    @Test
    void aLineThatFailsToFormatDoesNotStopTheLog() throws Exception {
        log.start();
        readerReleased.countDown();
        publish("");
        publish("next");
        assertThat(log.awaitWritten(20_000)).isTrue();
        assertThat(read.toString(StandardCharsets.UTF_8)).contains("could not be formed", "empty message", "next\n");
    }
}
