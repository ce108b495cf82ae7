package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.net.Sidecar;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reloads valid and invalid files at a running sidecar, which keeps its configuration when a file is invalid. */
class ReloadTest {
    @TempDir
    private Path folder;
    private Path file;
    private String validText;
    private Reload reload;
    private final StringBuilder logged = new StringBuilder();
    private final Logger logger = Logger.getLogger(Reload.class.getName());
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            logged.append(new SimpleFormatter().formatMessage(line)).append('\n');
        }

        @Override
        public void flush() { }

        @Override
        public void close() { }
    };

    @BeforeEach
    void start() throws Exception {
        validText = Files.readString(Path.of("example/config.json")).replace("127.0.0.1:7070", "127.0.0.1:0");
        file = Files.writeString(folder.resolve("config.json"), validText);
        Sidecar sidecar = new Sidecar(Config.read(file, Map.of()));
        reload = new Reload(file, Map.of(), sidecar, Config.fields(file));
        logger.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(handler);
    }

    private String reloadWith(String text) throws Exception {
        logged.setLength(0);
        Files.writeString(file, text);
        reload.run();
        return logged.toString();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', value = {
        "\"deadline_us\": 2000000|\"deadline_us\": 0|deadline_us", "\"deadline_us\": 2000000, ||deadline_us",
        "\"deadline_us\": 2000000|\"deadline_us\": -5|deadline_us",
        "\"deadline_us\": 2000000|\"deadline_us\": 1e99|deadline_us",
        "\"deadline_us\": 2000000|\"deadline_us\": \"2\"|deadline_us",
        "\"deadline_us\": 2000000|\"deadline_us\": 2.5|deadline_us",
        "\"deadline_us\": 2000000|\"deadline_us\": null|deadline_us", "\"aim_us\": 500000|\"aim_us\": 0|aim_us",
        "\"send_cap\": 3|\"send_cap\": 0|send_cap", "\"send_cap\": 3, ||send_cap",
        "\"share\": 0.6|\"share\": -1|share", "\"share\": 0.6|\"share\": 7|share",
        "\"balancers\": 1|\"balancers\": 0|balancers",
        "[\"north\", \"south\"]|[\"south\", \"north\"]|zones", "\"name\": \"quote\"|\"name\": \"pay\"|pay twice",
        "\"group\": \"cell\", ||group", "\"window_us\": 4000000,||window_us", "\"seed\": \"00c0ffee00c0ffee\",||seed",
        "\"discovery\": \"127.0.0.1:8500\",||discovery", "\"services\": [|\"services\": [],\"x\": [|classes",
        "{||unreadable",
    })
    void anInvalidFileIsRejectedNamingTheFileAndTheKey(String oldText, String replace, String expectedKey)
            throws Exception {
        assertThat(validText).contains(oldText);
        assertThat(reloadWith(validText
                .replaceFirst(java.util.regex.Pattern.quote(oldText), replace == null ? "" : replace)))
                .contains("kept as it was", file.toString(), expectedKey).hasLineCount(1);
        assertThat(reloadWith(validText)).as("the last valid file is still in use").contains("read again");
    }

    @Test
    void anEmptyOrTruncatedFileIsRejected() throws Exception {
        assertThat(reloadWith("")).contains("kept as it was", file.toString());
        assertThat(reloadWith(validText.substring(0, validText.length() / 2)))
                .contains("kept as it was", file.toString());
    }

    @Test
    void settingsThatTakeARestartAreNamed() throws Exception {
        assertThat(reloadWith(validText.replace("\"sockets\": 1024", "\"sockets\": 512"))).contains("restart: limits");
    }
}
