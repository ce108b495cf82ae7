package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OperatorsTest {
    @TempDir
    private Path folder;

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("sidecar.toml"), text);
    }

    @Test
    void theDeployedFileIsValidAndSetsNothing() {
        assertThat(Operators.read(Path.of("deploy/sidecar.toml"))).isEqualTo(Operators.NONE);
    }

    @Test
    void theStateFolderIsRead() throws IOException {
        assertThat(Operators.read(file("[state]\nfolder = \"" + folder + "\"\n")).stateFolder()).isEqualTo(folder);
    }

    @Test
    void everyErrorIsReportedWithItsLine() throws IOException {
        Path file = file("# ours\nfoldr = 1\n\n[state]\nfolder = \"/nowhere/at/all\"\nkeep = true\n");
        assertThatThrownBy(() -> Operators.read(file)).isInstanceOf(SettingsException.class)
                .hasMessageContaining(file + ":2: unknown key foldr")
                .hasMessageContaining(file + ":5: state.folder is no folder: /nowhere/at/all")
                .hasMessageContaining(file + ":6: unknown key state.keep");
        assertThatThrownBy(() -> Operators.read(file("[state]\nfolder = 3\n")))
                .hasMessageContaining(":2: state.folder is not a path: 3");
        assertThatThrownBy(() -> Operators.read(file("state = 3\n"))).hasMessageContaining(":1: state is not a table");
        assertThatThrownBy(() -> Operators.read(file("[state]\nfolder = \n"))).hasMessageContaining(":2: ");
        assertThatThrownBy(() -> Operators.read(folder.resolve("none"))).hasMessageContaining("no such file");
    }
}
