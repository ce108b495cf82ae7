package dapplequay.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats a report's main figures as plain text for a terminal. */
public final class Table {
    private static final List<String> FIGURES = List.of("worth_in_time", "late", "refused", "failed", "no_answer",
            "lost", "doubled", "worst_window", "cross_zone", "wasted_work", "handshakes_per_request",
            "cold_budget_used", "sidecar_memory_mb", "sidecar_cpu_us_per_request");

    private Table() { }

    public static String of(JsonNode root) {
        StringBuilder text = new StringBuilder();
        if (root.path("variants").isMissingNode()) {
            text.append(latencies(root));
            for (Iterator<Map.Entry<String, JsonNode>> it = root.path("outcomes").fields(); it.hasNext();) {
                Map.Entry<String, JsonNode> next = it.next();
                text.append(String.format(Locale.ROOT, "%-28s %10d%n", next.getKey(), next.getValue().asLong()));
            }
            return text.toString();
        }
        text.append(String.format(Locale.ROOT, "%-28s", ""));
        root.path("variants").forEach(v -> text.append(String.format(Locale.ROOT, " %14s", v.path("name").asText())));
        text.append(String.format("%n"));
        for (String figure : FIGURES) {
            text.append(String.format(Locale.ROOT, "%-28s", figure.replace('_', ' ')));
            for (JsonNode variant : root.path("variants")) {
                JsonNode value = variant.path("figures").path(figure);
                text.append(String.format(Locale.ROOT, " %14s",
                        value.isMissingNode() ? "-" : ReportHtml.number(value.path("mean").asDouble())));
            }
            text.append(String.format("%n"));
        }
        for (String at : List.of("p50", "p99", "max")) {
            text.append(String.format(Locale.ROOT, "%-28s", "latency ms " + at));
            root.path("variants").forEach(v -> text.append(String.format(Locale.ROOT, " %14s",
                    ReportHtml.number(v.path("latency_ms").path(at).asDouble()))));
            text.append(String.format("%n"));
        }
        text.append(String.format(Locale.ROOT, "%-28s", "rules broken"));
        root.path("variants").forEach(v -> text.append(String.format(Locale.ROOT, " %14d", v.path("broken").asLong())));
        text.append(String.format("%n"));
        for (JsonNode run : root.path("runs")) {
            run.path("rules").forEach(rule -> rule.path("examples").forEach(example -> text.append("  ")
                    .append(run.path("variant").asText()).append(", ").append(rule.path("asks").asText()).append(": ")
                    .append(example.asText()).append(String.format("%n"))));
        }
        return text.toString();
    }

    private static String latencies(JsonNode root) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-14s %9s %9s %9s %9s %9s%n", "ms", "p50",
                "p90", "p99", "p99.9", "max"));
        for (String what : List.of("latency_ms", "send_lag_ms", "closed_loop_ms")) {
            text.append(String.format(Locale.ROOT, "%-14s", what.replace("_ms", "").replace('_', ' ')));
            for (String at : List.of("p50", "p90", "p99", "p999", "max")) {
                text.append(String.format(Locale.ROOT, " %9s", ReportHtml.number(root.path(what).path(at).asDouble())));
            }
            text.append(String.format("%n"));
        }
        return text.toString();
    }
}
