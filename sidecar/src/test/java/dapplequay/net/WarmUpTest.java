package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import dapplequay.time.Deadlines;
import dapplequay.time.UnixClock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    /** A round that meets a fault ends the walk: then the first would. */
    @Test
    void walksRoundAfterRoundUnderAnySettings() throws Exception {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        WarmUp walk = new WarmUp(SettingsReader.of(example.get("settings"), "example"),
                new Deadlines(new UnixClock()));
        assertThat(walk.run()).isGreaterThan(20);
    }
}
