package dapplequay.lab.text;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.lab.fleet.FaultSpec;
import dapplequay.lab.fleet.FleetSpec;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TomlFileTest {
    private static void readFleet(String text) {
        TomlFile file = TomlFile.parse("f.toml", text.replace("|", "\n"));
        FleetSpec fleet = FleetSpec.read(file.root().table("fleet"), 1, 1);
        file.root().tables("fault").forEach(table -> FaultSpec.read(table, fleet));
        file.rejectUnknownKeys();
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "[fleet]|hosts = 9|hsots = 3; f.toml:3: fleet.hsots is no known key here",
        "[fleet]|hosts = 0; f.toml:2: fleet.hosts must lie between 1 and 2000, not 0",
        "[fleet]|hosts = 1.5; f.toml:2: fleet.hosts must be a whole number",
        "[fleet]|hosts = 'many'; f.toml:2: fleet.hosts must be a number",
        "[fleet]|list_delay = '3 parsecs'; f.toml:2: fleet.list_delay is not a duration",
        "[fleet]|list_delay = 3; f.toml:2: fleet.list_delay must be a text",
        "[fleet]|probes = 1; f.toml:2: fleet.probes must be true or false",
        "[fleet]|zones = []; f.toml:2: fleet.zones must name a zone",
        "[fleet]|work_ms = [3]; f.toml:2: fleet.work_ms must hold the least and the most work in ms",
        "[fleet]|hosts = 2|[[fleet.kind]]|name = 'a'|[[fleet.kind]]|speed = 1; f.toml:5: fleet.kind[1].name is missing",
        "[fleet]|hosts = 2|[[fault]]|kind = 'flood'|at = '1s'; f.toml:4: fault[0].kind must be one of",
        "[fleet]|hosts = 2|[[fault]]|kind = 'stop'; f.toml:3: fault[0].at is missing",
        "[fleet]|hosts = 2|[[fault]]|kind = 'stop'|at = '1s'|hosts = [2]; f.toml:6: fault[0].hosts must hold places",
        "[fleet]|hosts = 2|[[fault]]|kind = 'stop'|at = '1s'|zone = 'x'; f.toml:6: fault[0].zone is none of",
        "[fleet]|hosts = 2|[fault]|kind = 'stop'; f.toml:3: fault must be a list of tables",
        "[fleet]|hosts = ; f.toml:2: is not TOML",
        "hosts = 2|[fleet]|hosts = 3; f.toml:1: hosts is no known key here",
    })
    void errorsNameFileLineAndKey(String text, String message) {
        assertThatThrownBy(() -> readFleet(text)).isInstanceOf(InvalidFileException.class)
                .hasMessageStartingWith(message);
    }

    @Test
    void aMissingFileIsReported() {
        assertThatThrownBy(() -> TomlFile.read(Path.of("no/such.toml"))).hasMessage("no/such.toml:1: no such file");
    }

    @ParameterizedTest
    @CsvSource({"250ms, 250000", "1s, 1000000", "1.5s, 1500000", "2m, 120000000", "300us, 300"})
    void durationsAreParsedIntoMicroseconds(String text, long us) {
        assertThat(Durations.parseUs(text)).isEqualTo(us);
    }

    @ParameterizedTest
    @CsvSource({"1", "s", "-1s", "1h", "1e3ms", "1 0s"})
    void invalidDurationsAreRejected(String text) {
        assertThatThrownBy(() -> Durations.parseUs(text)).isInstanceOf(IllegalArgumentException.class);
    }
}
