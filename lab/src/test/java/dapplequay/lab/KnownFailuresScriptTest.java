package dapplequay.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests how {@code .ci/run} handles the list of known failures; a stub script replaces Maven. */
@Timeout(60)
class KnownFailuresScriptTest {
    private static final String PASSES = "echo 'Tests run: 1, Failures: 0'";
    private static final String FAILS = "echo 'Tests run: 1, Failures: 1'; exit 1";
    private static final String FAILS_IN_ROUND_THREE = "echo x >> rounds; [ $(wc -l < rounds) -lt 3 ] && { " + PASSES
            + "; exit 0; }; " + FAILS;

    private record Outcome(int status, List<String> lines) { }

    @TempDir
    private Path folder;

    @BeforeEach
    void copyScript() throws IOException {
        Files.createDirectories(folder.resolve(".ci"));
        Files.copy(Path.of(".ci/run"), folder.resolve(".ci/run"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Runs {@code .ci/run}; {@code singleTestScript} stands for the run of a listed test, and the full run passes. */
    private Outcome run(String singleTestScript, String... lines) throws Exception {
        Files.write(folder.resolve("KNOWN-RED.txt"), List.of(lines));
        Path maven = Files.writeString(folder.resolve("mvn"), "#!/bin/bash\ncase \"$*\" in *verify*) " + PASSES
                + "; exit 0 ;; esac\n" + singleTestScript + "\n");
        assertThat(maven.toFile().setExecutable(true)).isTrue();
        ProcessBuilder builder = new ProcessBuilder("bash", ".ci/run").directory(folder.toFile()).redirectErrorStream(true);
        builder.environment().put("PATH", folder + ":" + System.getenv("PATH"));
        Process process = builder.start();
        List<String> output = new String(process.getInputStream().readAllBytes(),
                StandardCharsets.UTF_8).lines().toList();
        return new Outcome(process.waitFor(), output);
    }

    @Test
    void moreThanThreeKnownFailuresAreAllowed() throws Exception {
        Outcome outcome = run(FAILS, "A#a | x, `-Dtest=A` | 1", "B#b | x, `-Dtest=B` | 1", "", "# a word", "C#c | x, `-Dtest=C` | 1",
                "D#d | x, `-Dtest=D` | 1");
        assertThat(outcome.status()).isZero();
        assertThat(outcome.lines()).filteredOn(line -> line.endsWith("fails, as listed")).hasSize(4);
    }

    @Test
    void entryWithoutCountMustBeRemovedOnceItPasses() throws Exception {
        Outcome outcome = run(PASSES, "A#a | x, `-Dtest=A` | 1");
        assertThat(outcome.status()).isOne();
        assertThat(outcome.lines()).contains("known red: A#a: passes now: take its line out");
    }

    @Test
    void entryWithCountIsRepeatedUntilItFails() throws Exception {
        Outcome outcome = run(FAILS_IN_ROUND_THREE, "A#a | x, `-Dtest=A` | 1 | 1 of 2");
        assertThat(outcome.status()).isZero();
        assertThat(outcome.lines()).contains("known red: A#a: fails, as listed (1 of 2; now in round 3)");
    }

    /** A test that fails in 1 of 2 runs passes 7 rounds in a row with a probability below 1 in 100. */
    @Test
    void entryWithCountMustBeRemovedOnceEnoughRoundsPass() throws Exception {
        Outcome outcome = run(PASSES, "A#a | x, `-Dtest=A` | 1 | 1 of 2");
        assertThat(outcome.status()).isOne();
        assertThat(outcome.lines()).contains(
                "known red: A#a: passes now (7 of 7 rounds, listed as failed in 1 of 2): take its line out");
    }

    /** The rounds that could tell would take too long, so that two are run, which show that the entry is not out of date. */
    @Test
    void rareFailureIsNotTakenForFixed() throws Exception {
        Outcome outcome = run(PASSES, "A#a | x, `-Dtest=A` | 1 | 1 of 50");
        assertThat(outcome.status()).isZero();
        assertThat(outcome.lines()).contains(
                "known red: A#a: passed 2 of 2 rounds, listed as failed in 1 of 50: too few to tell");
    }

    /** Entries of the bench can't be run here, as the bench is not available. */
    @Test
    void benchEntryIsPrintedWithoutBeingRun() throws Exception {
        Outcome outcome = run(FAILS, "day roll+crowd, seed 6 | x, `lbreal SITE --rough roll+crowd --seed 6` | 1 | 1 of 4");
        assertThat(outcome.status()).isZero();
        assertThat(outcome.lines()).contains("known red: day roll+crowd, seed 6 : played by hand, not here");
        assertThat(run(FAILS, "day roll+crowd, seed 6 | x | 1").status()).isOne();
    }

    @Test
    void incompleteEntryFailsTheScript() throws Exception {
        for (String line : List.of("A#a | x | 1", "A#a | x, `-Dtest=A` |", "A | x, `-Dtest=A` | 1",
                "A#a | x, `-Dtest=A` | 1 | now and then", "A#a | x, `-Dtest=A` | 1 | 0 of 4", "A#a | x, `-Dtest=A` | 1 | 4 of 4")) {
            Outcome outcome = run(FAILS, line);
            assertThat(outcome.status()).as(line).isOne();
            assertThat(outcome.lines()).as(line).singleElement().asString().startsWith("KNOWN-RED.txt: not ");
        }
    }
}
