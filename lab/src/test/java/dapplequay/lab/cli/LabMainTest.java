package dapplequay.lab.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(90)
class LabMainTest {
    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({"nonsense", "load", "load --target 127.0.0.1:1 --out x", "load --target here --rate 1 --for 1s --out x",
        "load --target 127.0.0.1:1 --rate 1 --for soon --out x", "check", "compare one", "run x.toml",
        "load --target 127.0.0.1:1 --rate 1 --for 1s --connections-max 0 --out x"})
    void badUsageExitsWithStatus2(String words) {
        assertThat(LabMain.run(words.split(" "))).isEqualTo(2);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '#', value = {"[fleet]|hosts = 3#0", "[load]|rate = 3#0", "[fleet]|hosts = 3|hists = 4#3",
        "[load]|rate = 'x'#3", "#3", "[fleet]|[load]|rate = 1#3", "[load]|shape = 'trace'|trace = 'none.txt'#3"})
    void invalidFileExitsWithStatus3(String text, int status) throws Exception {
        Path file = Files.writeString(folder.resolve("f.toml"),
                text == null ? "" : text.replace("|", "\n").replace('\'', '"'));
        assertThat(LabMain.run("check", file.toString())).isEqualTo(status);
    }

    @Test
    void demoFileIsAValidExperiment() throws Exception {
        Path file = folder.resolve("demo.toml");
        Files.write(file, LabMain.class.getResourceAsStream("/dapplequay/lab/demo.toml").readAllBytes());
        assertThat(LabMain.run("check", file.toString())).isZero();
    }

    @Test
    void generatorThatFallsBehindExitsWithStatus4() throws Exception {
        Path profile = Files.writeString(folder.resolve("p.toml"), "[load]\nshape = \"steady\"\ntimeout = \"300ms\"\n");
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int status = LabMain.run("load", "--target", "127.0.0.1:" + listener.getLocalPort(), "--rate", "100",
                    "--for", "500ms", "--profile", profile.toString(), "--connections-max", "20", "--out",
                    folder.toString());
            assertThat(status).isEqualTo(4);
        }
        JsonNode report = new ObjectMapper().readTree(Files.readString(folder.resolve("report.json")));
        assertThat(report.path("behind").asBoolean()).isTrue();
        assertThat(report.path("scheduled").asLong()).isEqualTo(50);
        assertThat(report.path("answered").asLong()).isZero();
        assertThat(report.path("over_time").path("latency_ms").has("p90")).isTrue();
        assertThat(folder.resolve("report.html")).exists();
        assertThat(folder.resolve("latency.hlog")).exists();
    }

    @Test
    void fleetPrintsItsAddressesAndExitsOnSigterm() throws Exception {
        Path file = Files.writeString(folder.resolve("f.toml"), "[fleet]\nhosts = 3\nviews = 2\n");
        Process fleet = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "dapplequay.lab.cli.LabMain", "fleet", file.toString()).start();
        try {
            JsonNode line = new ObjectMapper().readTree(fleet.inputReader().readLine());
            assertThat(line.path("discovery").asText()).startsWith("127.0.0.1:");
            assertThat(line.path("views")).hasSize(2);
            assertThat(line.path("hosts")).hasSize(3);
            fleet.destroy();
            assertThat(fleet.waitFor(30, TimeUnit.SECONDS)).isTrue();
        } finally {
            fleet.destroyForcibly();
        }
    }
}
