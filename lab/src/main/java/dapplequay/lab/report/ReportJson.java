package dapplequay.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplequay.lab.experiment.ExperimentSpec;
import dapplequay.lab.experiment.Runner;
import dapplequay.lab.experiment.Verdict;
import dapplequay.lab.fleet.FaultScript;
import dapplequay.lab.load.LoadResult;
import dapplequay.lab.text.InvalidFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Writes and reads {@code report.json}; its format is described in docs/LAB.md. */
public final class ReportJson {
    static final int VERSION = 1;
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int MAX_EXAMPLES = 5;

    private ReportJson() { }

    /** Returns the report of a run of the load generator alone. */
    public static ObjectNode load(LoadResult result) {
        ObjectNode root = JSON.createObjectNode();
        root.put("version", VERSION).put("kind", "load");
        add(root, List.of(result));
        overTime(root, new Series(result, null));
        return root;
    }

    /** Returns the report of an experiment: all runs, and summaries for each variant and overall. */
    public static ObjectNode experiment(ExperimentSpec spec, List<Runner.FinishedRun> runs) {
        ObjectNode root = JSON.createObjectNode();
        root.put("version", VERSION).put("kind", "experiment").put("title", spec.title()).put("seed", spec.seed());
        add(root, runs.stream().map(Runner.FinishedRun::result).toList());
        Map<String, List<Runner.FinishedRun>> byVariant = new LinkedHashMap<>();
        runs.forEach(run -> byVariant.computeIfAbsent(run.variant().name(), n -> new ArrayList<>()).add(run));
        ArrayNode variants = root.putArray("variants");
        byVariant.forEach((name, of) -> variants.add(variant(name, of)));
        ArrayNode list = root.putArray("runs");
        runs.forEach(run -> list.add(run(run)));
        return root;
    }

    private static ObjectNode variant(String name, List<Runner.FinishedRun> runs) {
        ObjectNode node = JSON.createObjectNode();
        node.put("name", name).put("runs", runs.size());
        node.put("broken", runs.stream().mapToLong(run -> run.verdict().violations()).sum());
        add(node, runs.stream().map(Runner.FinishedRun::result).toList());
        ObjectNode figures = node.putObject("figures");
        for (String figure : runs.get(0).verdict().figures().keySet()) {
            double[] values = runs.stream().mapToDouble(run -> run.verdict().figure(figure)).toArray();
            double mean = java.util.Arrays.stream(values).average().orElse(0);
            figures.putObject(figure).put("mean", mean)
                    .put("least", java.util.Arrays.stream(values).min().orElse(0))
                    .put("most", java.util.Arrays.stream(values).max().orElse(0));
        }
        return node;
    }

    private static ObjectNode run(Runner.FinishedRun run) {
        ObjectNode node = JSON.createObjectNode();
        node.put("variant", run.variant().name()).put("seed", run.seed());
        add(node, List.of(run.result()));
        run.verdict().figures().forEach(node.putObject("figures")::put);
        ObjectNode rules = node.putObject("rules");
        for (Map.Entry<String, Verdict.Rule> rule : run.verdict().rules().entrySet()) {
            ObjectNode one = rules.putObject(rule.getKey());
            one.put("asks", rule.getValue().requirement()).put("broken", rule.getValue().violations());
            ArrayNode examples = one.putArray("examples");
            rule.getValue().examples().stream().limit(MAX_EXAMPLES).forEach(examples::add);
        }
        ArrayNode faults = node.putArray("faults");
        for (FaultScript.Step step : run.script().steps()) {
            if (step.begins()) {
                ObjectNode fault = faults.addObject();
                fault.put("kind", step.fault().kind().configName()).put("at_s", step.fault().startUs() / 1e6)
                        .put("for_s", step.fault().durationUs() / 1e6);
                ArrayNode hosts = fault.putArray("hosts");
                step.hosts().forEach(hosts::add);
            }
        }
        Series series = new Series(run.result(), run.log());
        overTime(node, series);
        ArrayNode hosts = node.putArray("hosts");
        for (int i = 0; i < series.visits.length; i++) {
            hosts.addObject().put("host", i)
                    .put("visits", series.visits[i]).put("handshakes", run.log().counts(i).handshakes)
                    .put("connections_most", run.log().counts(i).maxConnections)
                    .put("probes", run.log().counts(i).probes)
                    .put("work_s", run.log().counts(i).workDoneUs / 1e6)
                    .put("wasted_s", run.log().counts(i).wastedWorkUs / 1e6);
        }
        return node;
    }

    private static void overTime(ObjectNode node, Series series) {
        ObjectNode overTime = node.putObject("over_time");
        overTime.put("bucket_s", Series.BUCKET_S);
        lists(overTime.putObject("latency_ms"), series.latencyMs);
        lists(overTime.putObject("outcomes_per_s"), series.outcomes);
        lists(overTime.putObject("held_by_host"), series.held);
    }

    private static void lists(ObjectNode node, Map<String, List<Double>> lists) {
        lists.forEach((name, values) -> {
            ArrayNode array = node.putArray(name);
            values.forEach(value -> array.add(Math.round(value * 100) / 100.0));
        });
    }

    /** Adds the counts, latencies and outcomes of all these runs together, which every report has. */
    private static void add(ObjectNode node, List<LoadResult> results) {
        Histogram latency = LoadResult.histogram();
        Histogram sendLag = LoadResult.histogram();
        Histogram closedLoop = LoadResult.histogram();
        Map<String, Long> outcomes = new TreeMap<>();
        List<String> behindReasons = new ArrayList<>();
        for (LoadResult result : results) {
            latency.add(result.latency());
            sendLag.add(result.sendLag());
            closedLoop.add(result.closedLoopLatency());
            result.outcomes().forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
            if (result.isBehind()) {
                behindReasons.add(result.behindWhy());
            }
        }
        node.put("scheduled", results.stream().mapToLong(LoadResult::scheduled).sum());
        node.put("sent", results.stream().mapToLong(LoadResult::sent).sum());
        node.put("answered", results.stream().mapToLong(LoadResult::answered).sum());
        node.put("behind", !behindReasons.isEmpty()).put("behind_why", String.join("; ", behindReasons));
        node.put("connections_opened", results.stream().mapToLong(LoadResult::connectionsOpened).sum());
        percentiles(node.putObject("latency_ms"), latency);
        percentiles(node.putObject("send_lag_ms"), sendLag);
        percentiles(node.putObject("closed_loop_ms"), closedLoop);
        ObjectNode outcomesNode = node.putObject("outcomes");
        outcomes.forEach(outcomesNode::put);
    }

    static void percentiles(ObjectNode node, Histogram histogram) {
        node.put("p50", histogram.getValueAtPercentile(50) / 1e3)
                .put("p90", histogram.getValueAtPercentile(90) / 1e3)
                .put("p99", histogram.getValueAtPercentile(99) / 1e3)
                .put("p999", histogram.getValueAtPercentile(99.9) / 1e3)
                .put("max", histogram.getMaxValue() / 1e3);
    }

    public static void write(ObjectNode root, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("report.json"), JSON.writeValueAsString(root) + "\n");
    }

    /**
     * Reads the report in this folder; throws InvalidFileException if it is missing, not JSON or of another version.
     */
    public static JsonNode read(Path folder) {
        Path file = folder.resolve("report.json");
        try {
            JsonNode root = JSON.readTree(Files.readString(file));
            if (root.path("version").asInt() != VERSION) {
                throw new InvalidFileException(file.toString(), 1, "version", "is not " + VERSION);
            }
            return root;
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new InvalidFileException(file.toString(), e.getLocation().getLineNr(), "", "is not JSON");
        } catch (IOException e) {
            throw new InvalidFileException(file.toString(), 1, "", "no report there");
        }
    }
}
