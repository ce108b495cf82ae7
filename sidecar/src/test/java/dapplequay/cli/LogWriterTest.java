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

/** A log whose reader is stuck, until the test lets it go on. */
@Timeout(30)
class LogWriterTest {
    private static final int MOST = 1_000;

    private final CountDownLatch stuck = new CountDownLatch(1);
    private final CountDownLatch goesOn = new CountDownLatch(1);
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private final LogWriter log = new LogWriter(new OutputStream() {
        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            stuck.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            read.write(bytes, from, length);
        }
    }, MOST, new SimpleFormatter() {
        @Override
        public String format(LogRecord line) {
            if (line.getMessage().isEmpty()) {
                throw new IllegalStateException("nothing to say");
            }
            return line.getMessage() + '\n';
        }
    });

    private void say(String line) {
        log.publish(new LogRecord(Level.INFO, line));
    }

    @Test
    void nobodyWaitsForAReaderThatIsStuckAndWhatIsDroppedIsTold() throws Exception {
        log.start();
        say("first");
        stuck.await();
        for (int i = 0; i < MOST; i++) {
            say("line " + i);
        }
        say("");
        assertThat(log.awaitWritten(1)).isFalse();
        goesOn.countDown();
        assertThat(log.awaitWritten(20_000)).isTrue();
        String text = read.toString(StandardCharsets.UTF_8);
        assertThat(text).startsWith("first\nline 0\nline 1\n").hasSizeLessThan(2 * MOST);
        int kept = (int) text.lines().filter(line -> line.startsWith("line ")).count();
        assertThat(kept).isGreaterThan(50);
        assertThat(text).endsWith(MOST - kept + 1 + " log lines were dropped, as nobody read the log\n");
    }

    @Test
    void aLineThatCanNotBeFormedEndsNothing() throws Exception {
        log.start();
        goesOn.countDown();
        say("");
        say("next");
        assertThat(log.awaitWritten(20_000)).isTrue();
        assertThat(read.toString(StandardCharsets.UTF_8)).contains("could not be formed", "nothing to say", "next\n");
    }
}
