package dapplequay.lab.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.lab.fleet.FaultScript;
import dapplequay.lab.fleet.FaultSpec;
import dapplequay.lab.fleet.Fleet;
import dapplequay.lab.fleet.FleetSpec;
import dapplequay.lab.load.Generator;
import dapplequay.lab.load.LoadResult;
import dapplequay.lab.load.Profile;
import dapplequay.lab.load.Schedule;
import dapplequay.lab.loop.EventLoop;
import dapplequay.lab.text.TomlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * For each rule a sidecar that breaks it, and others that keep it: a judge that can't fail is a defect. Hosts 0
 * and 1 are of one pod, hosts 2 and 3 of another.
 */
@Timeout(90)
class JudgeTest {
    private static final String FLEET = """
            [fleet]
            hosts = 4
            zones = ["z"]
            pod_size = 2
            list_delay = "10ms"
            work_ms = [2, 2]
            """;
    private static final String CLASS = """
            [load]
            rate = 40
            for = "500ms"
            shape = "steady"
            patience = 1
            [[load.class]]
            name = "place-order"
            work_ms = [2, 2]
            """;

    /** Long enough for a machine that is busy with something else: what is short is so for a test's sake. */
    private static final String PATIENT = "aim = \"9s\"\ndeadline = \"9s\"\n";

    private static Verdict judge(ScriptedSidecar.Script script) throws Exception {
        return judge(script, "", PATIENT, sidecars(3, true, 2_500_000));
    }

    private static ExperimentSpec.SidecarsSpec sidecars(int sendCap, boolean copies, long graceUs) {
        return new ExperimentSpec.SidecarsSpec(1, 100, 100, sendCap, copies, 250_000, graceUs, 0);
    }

    private static Verdict judge(ScriptedSidecar.Script script, String faultsText, String classText,
                                 ExperimentSpec.SidecarsSpec sidecars) throws Exception {
        TomlFile doc = TomlFile.parse("test.toml", FLEET + faultsText + CLASS + classText);
        FleetSpec spec = FleetSpec.read(doc.root().table("fleet"), 1, 1);
        List<FaultSpec> faults = new ArrayList<>();
        doc.root().tables("fault").forEach(table -> faults.add(FaultSpec.read(table, spec)));
        Profile load = Profile.read(doc.root().table("load"), Path.of("."));
        doc.rejectUnknownKeys();
        try (Fleet fleet = new Fleet(spec, 1); ScriptedSidecar sidecar = new ScriptedSidecar(fleet, script)) {
            Lives lives = new Lives();
            long start = EventLoop.nowUs() + 100_000;
            lives.begin(0, start - 1_000_000).readyUs = start;
            fleet.play(FaultScript.draw(spec, faults, 1), start);
            Generator generator = new Generator(load, Schedule.draw(load, 1, 1), List.of(sidecar.address()), 100);
            generator.start(start);
            LoadResult result = generator.await();
            fleet.close();
            return Judge.judge(new Judge.Run(spec, load, sidecars, result, fleet.log(), lives));
        }
    }

    private static void assertOnlyBroken(Verdict verdict, String... rules) {
        verdict.rules().forEach((name, rule) -> {
            if (List.of(rules).contains(name)) {
                assertThat(rule.broken()).as(name + " is broken").isPositive();
            } else {
                assertThat(rule.broken()).as(name + " is kept; " + rule.examples()).isZero();
            }
        });
    }

    @Test
    void oneThatPassesAnswersOnKeepsAllRules() throws Exception {
        Verdict verdict = judge((self, request, number) -> self.ask(number % 4, request));
        assertOnlyBroken(verdict);
        assertThat(verdict.figure("worth_in_time")).isEqualTo(1);
        assertThat(verdict.figure("visits_per_request")).isEqualTo(1);
    }

    @Test
    void oneThatRefusesAtOnceAndSaysWhenToComeBackKeepsAllRules() throws Exception {
        Verdict verdict = judge((self, request, number) -> ScriptedSidecar.refusal("Retry-After: 0.5\r\n"));
        assertOnlyBroken(verdict);
        assertThat(verdict.figure("refused")).isEqualTo(1);
        assertThat(verdict.figure("worth_in_time")).isZero();
    }

    @Test
    void aRepeatInThePodWithinItsWindowIsNoFault() throws Exception {
        Verdict verdict = judge((self, request, number) -> {
            self.ask(0, request);
            return self.ask(1, request);
        });
        assertOnlyBroken(verdict);
        assertThat(verdict.figure("doubled")).isZero();
    }

    @Test
    void silenceIsCaught() throws Exception {
        Verdict verdict = judge((self, request, number) -> number == 3 ? null : self.ask(0, request), "",
                "aim = \"1s\"\ndeadline = \"1s\"\n", sidecars(3, true, 2_500_000));
        assertOnlyBroken(verdict, "answered");
        assertThat(verdict.figure("lost")).isGreaterThanOrEqualTo(1);
    }

    @Test
    void anAnswerAfterTheClientsTimeIsCaught() throws Exception {
        Verdict verdict = judge((self, request, number) -> {
            String answer = self.ask(0, request);
            Thread.sleep(number == 2 ? 1070 : 0);
            return answer;
        }, "", "aim = \"1s\"\ndeadline = \"1s\"\n", sidecars(3, true, 2_500_000));
        assertOnlyBroken(verdict, "answered");
    }

    @Test
    void anAnswerThatNoHostGaveIsCaught() throws Exception {
        assertOnlyBroken(judge((self, request, number) -> "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), "genuine");
    }

    @Test
    void anAnswerToAnotherRequestIsCaught() throws Exception {
        String[] kept = new String[1];
        assertOnlyBroken(judge((self, request, number) -> {
            String answer = self.ask(0, request);
            kept[0] = kept[0] == null ? answer : kept[0];
            return kept[0];
        }), "genuine");
    }

    @Test
    void aRefusalOfWhatHasRunIsCaught() throws Exception {
        assertOnlyBroken(judge((self, request, number) -> {
            self.ask(0, request);
            return ScriptedSidecar.refusal("Retry-After: 1\r\n");
        }), "refusal");
    }

    @Test
    void aRefusalWithoutAdviceIsCaught() throws Exception {
        assertOnlyBroken(judge((self, request, number) -> ScriptedSidecar.refusal("")), "retry_after");
    }

    @Test
    void aRepeatInAnotherPodIsCaughtAndCountedAsDoubled() throws Exception {
        Verdict verdict = judge((self, request, number) -> {
            self.ask(0, request);
            return self.ask(2, request);
        });
        assertOnlyBroken(verdict, "repeat");
        assertThat(verdict.figure("doubled")).isEqualTo(20);
    }

    @Test
    void aRepeatAfterTheWindowIsCaught() throws Exception {
        assertOnlyBroken(judge((self, request, number) -> {
            self.ask(0, request);
            Thread.sleep(400);
            return self.ask(0, request);
        }, "", PATIENT + "window = \"100ms\"\n", sidecars(3, true, 2_500_000)), "repeat");
    }

    @Test
    void aRepeatOfWhatMustNotBeRepeatedIsCaught() throws Exception {
        assertOnlyBroken(judge((self, request, number) -> {
            self.ask(0, request);
            return self.ask(0, request);
        }, "", PATIENT + "repeats = \"fragile\"\n", sidecars(3, true, 2_500_000)), "repeat");
    }

    @Test
    void tooManyAttemptsAreCaught() throws Exception {
        assertOnlyBroken(judge((self, request, number) -> {
            self.ask(0, request);
            self.ask(1, request);
            return self.ask(0, request);
        }, "", PATIENT, sidecars(2, true, 2_500_000)), "attempts");
    }

    @Test
    void aSecondCopyIsCaughtWhereTheSettingsForbidIt() throws Exception {
        ScriptedSidecar.Script script = (self, request, number) -> {
            String slow = request.replace("?w=2000", "?w=200000");
            CompletableFuture<String> first = self.askMeanwhile(0, slow);
            Thread.sleep(20);
            self.ask(1, slow);
            return first.get();
        };
        assertOnlyBroken(judge(script, "", PATIENT, sidecars(3, false, 2_500_000)), "copies");
        assertOnlyBroken(judge(script, "", PATIENT, sidecars(3, true, 2_500_000)));
    }

    @Test
    void workToADrainingHostAfterTheGraceIsCaught() throws Exception {
        String drain = "[[fault]]\nkind = \"drain\"\nat = \"50ms\"\nfor = \"5s\"\nhosts = [0]\n";
        // The host's own refusals, passed on as they are, lack the advice that a sidecar's must have.
        assertOnlyBroken(judge((self, request, number) -> self.ask(0, request), drain, PATIENT,
                sidecars(3, true, 200_000)), "drain", "retry_after");
        assertOnlyBroken(judge((self, request, number) -> {
            String answer = self.list.contains("DRAINING") ? "" : self.ask(0, request);
            return answer.startsWith("HTTP/1.1 200") ? answer : self.ask(2, request);
        }, drain, PATIENT, sidecars(3, true, 200_000)));
    }

    @Test
    void aColdHostThatIsFloodedIsCaught() throws Exception {
        String restart = "[[fault]]\nkind = \"restart\"\nat = \"0s\"\nhosts = [0]\n";
        ScriptedSidecar.Script floods = (self, request, number) ->
                self.ask(number < 2 ? 2 : 0, request.replace("?w=2000", "?w=300000"));
        Verdict verdict = judge(floods, restart, PATIENT, sidecars(3, true, 2_500_000));
        assertThat(verdict.broken("cold")).isPositive();
        assertThat(verdict.figure("hosts_fallen")).isEqualTo(1);
        Verdict calm = judge((self, request, number) -> self.ask(number % 4, request), restart, PATIENT,
                sidecars(3, true, 2_500_000));
        assertThat(calm.broken("cold")).isZero();
        assertThat(calm.figure("hosts_fallen")).isZero();
    }

    @Test
    void crashesAndMemoryAreCaught() throws Exception {
        TomlFile doc = TomlFile.parse("test.toml", FLEET + CLASS);
        FleetSpec spec = FleetSpec.read(doc.root().table("fleet"), 1, 1);
        Profile load = Profile.read(doc.root().table("load"), Path.of(".")).withRateFor(0.5, 1);
        try (Fleet fleet = new Fleet(spec, 1);
                ScriptedSidecar sidecar = new ScriptedSidecar(fleet, (self, request, number) -> self.ask(0, request))) {
            Generator generator = new Generator(load, Schedule.draw(load, 1, 1), List.of(sidecar.address()), 1);
            generator.start(EventLoop.nowUs());
            LoadResult result = generator.await();
            Lives lives = new Lives();
            lives.begin(0, 0).end = Lives.End.CRASHED;
            lives.begin(0, 1).mostMemoryKb = 101 * 1024;
            Verdict verdict = Judge.judge(new Judge.Run(spec, load, sidecars(3, true, 0), result, fleet.log(), lives));
            assertThat(verdict.broken("crash")).isEqualTo(1);
            assertThat(verdict.broken("memory")).isEqualTo(1);
        }
    }
}
