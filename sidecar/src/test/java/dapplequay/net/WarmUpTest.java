package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import dapplequay.time.DeadlineQueue;
import dapplequay.time.UnixClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    /** A failure ends the warm-up, in the first round if it does not depend on the round. */
    @Test
    void runsRoundsWithTheExampleSettings() throws Exception {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        WarmUp warmUp = new WarmUp(SettingsReader.of(example.get("settings"), "example"),
                new DeadlineQueue(new UnixClock()));
        assertThat(warmUp.run()).isGreaterThan(20);
    }

    /** The failure ended the start, although serving does not depend on the warm-up. */
    @Test
    void lackOfMemoryEndsOnlyTheWarmUp() throws Exception {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        AtomicLong clockReadings = new AtomicLong();
        WarmUp warmUp = new WarmUp(SettingsReader.of(example.get("settings"), "example"), new DeadlineQueue(() -> {
            if (clockReadings.incrementAndGet() > 200) {
                throw new OutOfMemoryError("made up");
            }
            return clockReadings.get();
        }));
        assertThat(warmUp.run()).isBetween(1, 200);
    }
}
