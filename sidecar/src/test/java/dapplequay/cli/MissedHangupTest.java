package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MissedHangupTest {
    private static final long NEVER = Long.MAX_VALUE;

    @TempDir
    private Path folder;
    private Path file;
    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final AtomicLong shortageMs = new AtomicLong(NEVER);
    private final AtomicInteger reloads = new AtomicInteger();
    private MissedHangup missedHangup;

    @BeforeEach
    void setUp() throws IOException {
        file = Files.writeString(folder.resolve("config.json"), "1");
        missedHangup = new MissedHangup(new WatchedFile(file), nowMs::get,
                () -> shortageMs.get() == NEVER ? NEVER : nowMs.get() - shortageMs.get(), reloads::incrementAndGet);
    }

    private void pollFor(long ms) {
        for (long untilMs = nowMs.get() + ms; nowMs.get() < untilMs; nowMs.addAndGet(MissedHangup.POLL_INTERVAL_MS)) {
            missedHangup.poll();
        }
    }

    /** A new configuration has to count 4 s after the signal. */
    @Test
    void aChangeNearAThreadShortageIsReadInTime() throws IOException {
        Files.writeString(file, "22");
        pollFor(1_000);
        shortageMs.set(nowMs.get());
        pollFor(2_000);
        assertThat(reloads).hasValue(1);
        pollFor(60_000);
        assertThat(reloads).as("read once").hasValue(1);
    }

    @Test
    void aChangeWhoseSignalCameIsNotReadAgain() throws IOException {
        shortageMs.set(nowMs.get());
        Files.writeString(file, "22");
        missedHangup.signalReceived();
        pollFor(4_000);
        Files.writeString(file, "333");
        pollFor(600);
        missedHangup.signalReceived();
        pollFor(20_000);
        assertThat(reloads).hasValue(0);
    }

    /** An operator who edits the file without sending SIGHUP doesn't want it read yet. */
    @Test
    void aChangeWithoutAShortageNearItIsNotRead() throws IOException {
        Files.writeString(file, "22");
        pollFor(2 * MissedHangup.SHORTAGE_WINDOW_MS);
        shortageMs.set(nowMs.get());
        pollFor(20_000);
        Files.writeString(file, "333");
        pollFor(20_000);
        assertThat(reloads).hasValue(0);
    }
}
