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
    /** A round that meets a fault ends the walk: then the first would. */
    @Test
    void walksRoundAfterRoundUnderAnySettings() throws Exception {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        WarmUp walk = new WarmUp(SettingsReader.of(example.get("settings"), "example"),
                new DeadlineQueue(new UnixClock()));
        assertThat(walk.run()).isGreaterThan(20);
    }

    /** The start would have ended with it, though serving does not hang on the walk. */
    @Test
    void memoryThatRunsOutEndsTheWalkAlone() throws Exception {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        AtomicLong asked = new AtomicLong();
        WarmUp walk = new WarmUp(SettingsReader.of(example.get("settings"), "example"), new DeadlineQueue(() -> {
            if (asked.incrementAndGet() > 200) {
                throw new OutOfMemoryError("made up");
            }
            return asked.get();
        }));
        assertThat(walk.run()).isBetween(1, 200);
    }
}
