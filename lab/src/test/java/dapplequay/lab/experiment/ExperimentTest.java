package dapplequay.lab.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import dapplequay.lab.report.Compare;
import dapplequay.lab.report.ReportHtml;
import dapplequay.lab.report.ReportJson;
import dapplequay.lab.text.InvalidFileException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs an experiment with real sidecars as child processes, and checks its results and report. */
@Timeout(180)
class ExperimentTest {
    private static final String TEXT = """
            [run]
            title = "two ways"
            [fleet]
            hosts = 4
            work_ms = [5, 15]
            pod_size = 2
            [sidecars]
            count = 2
            [load]
            rate = 60
            for = "5s"
            retries = 1
            [[load.class]]
            name = "place-order"
            work_ms = [5, 15]
            [[load.tenant]]
            name = "shop-a"
            [[wave]]
            at = "1s"
            signal = "%s"
            share = 0.5
            [[variant]]
            name = "sidecars"
            command = '%s'
            [[variant]]
            name = "straight"
            direct = true
            """;

    @TempDir
    private Path folder;

    private Path file(String text) throws Exception {
        return Files.writeString(folder.resolve("e.toml"), text);
    }

    private static String command() {
        return "exec " + Path.of(System.getProperty("java.home"), "bin", "java") + " -XX:TieredStopAtLevel=1 -Xss256k"
                + " -Xmx64m -cp " + System.getProperty("java.class.path") + " dapplequay.cli.Main serve";
    }

    @Test
    void runStartsRestartsAndJudgesSidecars() throws Exception {
        ExperimentSpec spec = ExperimentSpec.read(file(TEXT.formatted("TERM", command())), 5L);
        List<String> progressLines = new ArrayList<>();
        List<Runner.FinishedRun> runs = new Runner(spec, Path.of("."), folder, line -> {
            synchronized (progressLines) {
                progressLines.add(line);
            }
        }).run(1);
        assertThat(runs).extracting(run -> run.variant().name()).containsExactly("sidecars", "straight");
        Runner.FinishedRun sidecarRun = runs.get(0);
        assertThat(sidecarRun.lifetimes().all()).as("two starts and one restart").hasSize(3);
        assertThat(sidecarRun.lifetimes().all()).noneMatch(lifetime -> lifetime.end == Lifetimes.End.CRASHED);
        assertThat(sidecarRun.verdict().figure("worth_in_time")).isGreaterThan(0.5);
        assertThat(sidecarRun.verdict().figure("doubled")).isZero();
        assertThat(sidecarRun.verdict().violations("genuine") + sidecarRun.verdict().violations("repeat")).isZero();
        assertThat(sidecarRun.verdict().figure("sidecar_memory_mb")).isPositive();
        assertThat(runs.get(1).verdict().figure("worth_in_time")).isGreaterThan(0.5);
        assertThat(runs.get(1).lifetimes()).isNull();
        assertThat(progressLines).anyMatch(line -> line.contains("due"));

        ReportJson.write(ReportJson.experiment(spec, runs), folder);
        JsonNode report = ReportJson.read(folder);
        assertThat(report.path("scheduled").asLong()).isPositive();
        assertThat(report.path("variants")).hasSize(2);
        assertThat(report.path("runs").get(0).path("rules").path("answered").path("broken").isNumber()).isTrue();
        for (String field : List.of("sent", "answered", "behind", "latency_ms", "send_lag_ms", "outcomes")) {
            assertThat(report.has(field)).as(field).isTrue();
        }
        for (String percentile : List.of("p50", "p90", "p99", "p999", "max")) {
            assertThat(report.path("latency_ms").path(percentile).asDouble()).isPositive();
        }
        ReportHtml.write(report, folder);
        String page = Files.readString(folder.resolve("report.html"));
        assertThat(page).contains("two ways").contains("rules broken")
                .doesNotContain("src=").doesNotContain("http-equiv");
        assertThat(Compare.rows(report, report)).isNotEmpty()
                .allMatch(row -> Double.isNaN(row.ratio()) || row.ratio() == 1);
        ReportHtml.compare(report, "one", report, "other", folder);
        assertThat(Files.readString(folder.resolve("compare.html"))).contains("one beside other");
    }

    @Test
    void sidecarThatFailsToStartFailsTheRunAndNamesItsLog() throws Exception {
        ExperimentSpec spec = ExperimentSpec.read(file(TEXT.formatted("KILL", "exec false")), 5L);
        assertThatThrownBy(() -> new Runner(spec, Path.of("."), folder, line -> { }).run(1))
                .hasMessageContaining("did not get ready").hasMessageContaining("n0.log");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '#', value = {"at = \"1s\"# at = \"soon\"#e.toml:19: wave[0].at is not a duration",
        "count = 2#count = 0#e.toml:8: sidecars.count must lie between 1 and 500",
        "count = 2#cuont = 2#e.toml:8: sidecars.cuont is no known key",
        "[[load.class]]#[[load.klass]]#load.class is missing",
        "share = 0.5#share = 2#e.toml:21: wave[0].share must lie", "direct = true#direct = 1#variant[1].direct must be",
        "name = \"straight\"#name = \"sidecars\"#is given twice", "pod_size = 2#views = 1#must not be fewer"})
    void invalidFileIsReportedWithLineAndKey(String find, String replace, String message) throws Exception {
        String text = TEXT.formatted("TERM", "x").replace(find, replace);
        assertThatThrownBy(() -> ExperimentSpec.read(file(text), null)).isInstanceOf(InvalidFileException.class)
                .hasMessageContaining(message);
    }

    @Test
    void waveRestartsItsShareInBatchesInSeededOrder() {
        List<Wave> waves = List.of(new Wave(1_000_000, "TERM", 0.75, 2, 500_000, 0));
        List<Wave.Step> steps = Wave.steps(waves, 8, 3);
        assertThat(steps).extracting(Wave.Step::atUs).containsExactly(1_000_000L, 1_000_000L, 1_500_000L, 1_500_000L,
                2_000_000L, 2_000_000L);
        assertThat(steps).extracting(Wave.Step::sidecar).doesNotHaveDuplicates();
        assertThat(Wave.steps(waves, 8, 3)).isEqualTo(steps);
        assertThat(Wave.steps(waves, 8, 4)).isNotEqualTo(steps);
    }
}
