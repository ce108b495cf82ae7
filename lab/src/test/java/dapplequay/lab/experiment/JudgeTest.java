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
 * Checks that the judge detects a violation of each rule, and reports none for scripted sidecars that comply. Hosts 0
 * and 1 are in one pod, hosts 2 and 3 in another.
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

    /** Long enough for a busy machine; only tests that are about deadlines use shorter ones. */
    private static final String LONG_DEADLINES = "aim = \"9s\"\ndeadline = \"9s\"\n";

    private static Verdict judge(ScriptedSidecar.Script script) throws Exception {
        return judge(script, "", LONG_DEADLINES, sidecars(3, true, 2_500_000));
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
            Lifetimes lifetimes = new Lifetimes();
            long start = EventLoop.nowUs() + 100_000;
            lifetimes.begin(0, start - 1_000_000).readyUs = start;
            fleet.scheduleFaults(FaultScript.draw(spec, faults, 1), start);
            Generator generator = new Generator(load, Schedule.draw(load, 1, 1), List.of(sidecar.address()), 100);
            generator.start(start);
            LoadResult result = generator.await();
            fleet.close();
            return Judge.judge(new Judge.Run(spec, load, sidecars, result, fleet.log(), lifetimes));
        }
    }

    private static void assertOnlyViolated(Verdict verdict, String... rules) {
        verdict.rules().forEach((name, rule) -> {
            if (List.of(rules).contains(name)) {
                assertThat(rule.violations()).as(name + " is violated").isPositive();
            } else {
                assertThat(rule.violations()).as(name + " is not violated; " + rule.examples()).isZero();
            }
        });
    }

    @Test
    void forwardingSidecarViolatesNoRule() throws Exception {
        Verdict verdict = judge((self, request, number) -> self.forward(number % 4, request));
        assertOnlyViolated(verdict);
        assertThat(verdict.figure("worth_in_time")).isEqualTo(1);
        assertThat(verdict.figure("visits_per_request")).isEqualTo(1);
    }

    @Test
    void refusalWithRetryAfterViolatesNoRule() throws Exception {
        Verdict verdict = judge((self, request, number) -> ScriptedSidecar.refusal("Retry-After: 0.5\r\n"));
        assertOnlyViolated(verdict);
        assertThat(verdict.figure("refused")).isEqualTo(1);
        assertThat(verdict.figure("worth_in_time")).isZero();
    }

    @Test
    void repeatWithinPodAndWindowViolatesNoRule() throws Exception {
        Verdict verdict = judge((self, request, number) -> {
            self.forward(0, request);
            return self.forward(1, request);
        });
        assertOnlyViolated(verdict);
        assertThat(verdict.figure("doubled")).isZero();
    }

    @Test
    void missingAnswerIsDetected() throws Exception {
        Verdict verdict = judge((self, request, number) -> number == 3 ? null : self.forward(0, request), "",
                "aim = \"1s\"\ndeadline = \"1s\"\n", sidecars(3, true, 2_500_000));
        assertOnlyViolated(verdict, "answered");
        assertThat(verdict.figure("lost")).isGreaterThanOrEqualTo(1);
    }

    @Test
    void answerAfterTheClientsDeadlineIsDetected() throws Exception {
        Verdict verdict = judge((self, request, number) -> {
            String answer = self.forward(0, request);
            Thread.sleep(number == 2 ? 1070 : 0);
            return answer;
        }, "", "aim = \"1s\"\ndeadline = \"1s\"\n", sidecars(3, true, 2_500_000));
        assertOnlyViolated(verdict, "answered");
    }

    @Test
    void fabricatedAnswerIsDetected() throws Exception {
        assertOnlyViolated(judge((self, request, number) -> "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
                "genuine");
    }

    @Test
    void answerToAnotherRequestIsDetected() throws Exception {
        String[] kept = new String[1];
        assertOnlyViolated(judge((self, request, number) -> {
            String answer = self.forward(0, request);
            kept[0] = kept[0] == null ? answer : kept[0];
            return kept[0];
        }), "genuine");
    }

    @Test
    void refusalOfAServedRequestIsDetected() throws Exception {
        assertOnlyViolated(judge((self, request, number) -> {
            self.forward(0, request);
            return ScriptedSidecar.refusal("Retry-After: 1\r\n");
        }), "refusal");
    }

    @Test
    void refusalWithoutRetryAfterIsDetected() throws Exception {
        assertOnlyViolated(judge((self, request, number) -> ScriptedSidecar.refusal("")), "retry_after");
    }

    @Test
    void repeatInAnotherPodIsDetectedAndCountedAsDoubled() throws Exception {
        Verdict verdict = judge((self, request, number) -> {
            self.forward(0, request);
            return self.forward(2, request);
        });
        assertOnlyViolated(verdict, "repeat");
        assertThat(verdict.figure("doubled")).isEqualTo(20);
    }

    @Test
    void repeatAfterTheWindowIsDetected() throws Exception {
        assertOnlyViolated(judge((self, request, number) -> {
            self.forward(0, request);
            Thread.sleep(400);
            return self.forward(0, request);
        }, "", LONG_DEADLINES + "window = \"100ms\"\n", sidecars(3, true, 2_500_000)), "repeat");
    }

    @Test
    void repeatOfAFragileRequestIsDetected() throws Exception {
        assertOnlyViolated(judge((self, request, number) -> {
            self.forward(0, request);
            return self.forward(0, request);
        }, "", LONG_DEADLINES + "repeats = \"fragile\"\n", sidecars(3, true, 2_500_000)), "repeat");
    }

    @Test
    void attemptsOverTheCapAreDetected() throws Exception {
        assertOnlyViolated(judge((self, request, number) -> {
            self.forward(0, request);
            self.forward(1, request);
            return self.forward(0, request);
        }, "", LONG_DEADLINES, sidecars(2, true, 2_500_000)), "attempts");
    }

    @Test
    void forbiddenSecondCopyIsDetected() throws Exception {
        ScriptedSidecar.Script script = (self, request, number) -> {
            String slow = request.replace("?w=2000", "?w=200000");
            CompletableFuture<String> first = self.forwardAsync(0, slow);
            Thread.sleep(20);
            self.forward(1, slow);
            return first.get();
        };
        assertOnlyViolated(judge(script, "", LONG_DEADLINES, sidecars(3, false, 2_500_000)), "copies");
        assertOnlyViolated(judge(script, "", LONG_DEADLINES, sidecars(3, true, 2_500_000)));
    }

    @Test
    void requestToADrainingHostAfterTheGraceIsDetected() throws Exception {
        String drain = "[[fault]]\nkind = \"drain\"\nat = \"50ms\"\nfor = \"5s\"\nhosts = [0]\n";
        // Refusals of the host, forwarded unchanged, lack the Retry-After that a sidecar must send.
        assertOnlyViolated(judge((self, request, number) -> self.forward(0, request), drain, LONG_DEADLINES,
                sidecars(3, true, 200_000)), "drain", "retry_after");
        assertOnlyViolated(judge((self, request, number) -> {
            String answer = self.list.contains("DRAINING") ? "" : self.forward(0, request);
            return answer.startsWith("HTTP/1.1 200") ? answer : self.forward(2, request);
        }, drain, LONG_DEADLINES, sidecars(3, true, 200_000)));
    }

    @Test
    void overloadedColdHostIsDetected() throws Exception {
        String restart = "[[fault]]\nkind = \"restart\"\nat = \"0s\"\nhosts = [0]\n";
        ScriptedSidecar.Script floods = (self, request, number) ->
                self.forward(number < 2 ? 2 : 0, request.replace("?w=2000", "?w=300000"));
        Verdict verdict = judge(floods, restart, LONG_DEADLINES, sidecars(3, true, 2_500_000));
        assertThat(verdict.violations("cold")).isPositive();
        assertThat(verdict.figure("hosts_fallen")).isEqualTo(1);
        Verdict calm = judge((self, request, number) -> self.forward(number % 4, request), restart, LONG_DEADLINES,
                sidecars(3, true, 2_500_000));
        assertThat(calm.violations("cold")).isZero();
        assertThat(calm.figure("hosts_fallen")).isZero();
    }

    @Test
    void crashAndExcessMemoryAreDetected() throws Exception {
        TomlFile doc = TomlFile.parse("test.toml", FLEET + CLASS);
        FleetSpec spec = FleetSpec.read(doc.root().table("fleet"), 1, 1);
        Profile load = Profile.read(doc.root().table("load"), Path.of(".")).withRateFor(0.5, 1);
        try (Fleet fleet = new Fleet(spec, 1);
                ScriptedSidecar sidecar = new ScriptedSidecar(fleet,
                        (self, request, number) -> self.forward(0, request))) {
            Generator generator = new Generator(load, Schedule.draw(load, 1, 1), List.of(sidecar.address()), 1);
            generator.start(EventLoop.nowUs());
            LoadResult result = generator.await();
            Lifetimes lifetimes = new Lifetimes();
            lifetimes.begin(0, 0).end = Lifetimes.End.CRASHED;
            lifetimes.begin(0, 1).peakMemoryKb = 101 * 1024;
            Verdict verdict = Judge.judge(
                    new Judge.Run(spec, load, sidecars(3, true, 0), result, fleet.log(), lifetimes));
            assertThat(verdict.violations("crash")).isEqualTo(1);
            assertThat(verdict.violations("memory")).isEqualTo(1);
        }
    }
}
