package dapplequay.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Compares two reports figure by figure. */
public final class Compare {
    /** One figure of both reports; NaN where a report lacks it. */
    public record Row(String name, double first, double second) {
        /** Returns the second value divided by the first; NaN if the first is 0 or either is missing. */
        public double ratio() {
            return first == 0 ? Double.NaN : second / first;
        }
    }

    private Compare() { }

    /** Returns all figures of either report: those of the first in its order, then those of the second alone. */
    public static List<Row> rows(JsonNode first, JsonNode second) {
        Map<String, Double> firstFigures = flat(first);
        Map<String, Double> secondFigures = flat(second);
        List<Row> rows = new ArrayList<>();
        firstFigures.forEach((name, value) ->
                rows.add(new Row(name, value, secondFigures.getOrDefault(name, Double.NaN))));
        secondFigures.forEach((name, value) -> {
            if (!firstFigures.containsKey(name)) {
                rows.add(new Row(name, Double.NaN, value));
            }
        });
        return rows;
    }

    private static Map<String, Double> flat(JsonNode root) {
        Map<String, Double> flat = new LinkedHashMap<>();
        for (String name : List.of("scheduled", "sent", "answered", "connections_opened")) {
            flat.put(name, root.path(name).asDouble());
        }
        root.path("outcomes").fields().forEachRemaining(e ->
                flat.put("outcome " + e.getKey(), e.getValue().asDouble()));
        latencies("", root, flat);
        for (JsonNode variant : root.path("variants")) {
            String name = variant.path("name").asText() + ": ";
            flat.put(name + "rules broken", variant.path("broken").asDouble());
            variant.path("figures").fields().forEachRemaining(e ->
                    flat.put(name + e.getKey().replace('_', ' '), e.getValue().path("mean").asDouble()));
            latencies(name, variant, flat);
        }
        return flat;
    }

    private static void latencies(String name, JsonNode node, Map<String, Double> flat) {
        for (String what : List.of("latency_ms", "send_lag_ms")) {
            for (String at : List.of("p50", "p90", "p99", "p999", "max")) {
                flat.put(name + what.replace('_', ' ') + " " + at, node.path(what).path(at).asDouble());
            }
        }
    }

    /** Returns the comparison as a plain-text table. */
    public static String text(JsonNode first, String firstName, JsonNode second, String secondName) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-44s %12s %12s %8s%n", "figure",
                shortened(firstName), shortened(secondName), "ratio"));
        for (Row row : rows(first, second)) {
            text.append(String.format(Locale.ROOT, "%-44s %12s %12s %8s%n", row.name(), cell(row.first()),
                    cell(row.second()),
                    Double.isNaN(row.ratio()) ? "" : String.format(Locale.ROOT, "%.2f", row.ratio())));
        }
        return text.toString();
    }

    private static String shortened(String name) {
        return name.length() <= 12 ? name : name.substring(name.length() - 12);
    }

    private static String cell(double value) {
        return Double.isNaN(value) ? "-" : ReportHtml.number(value);
    }

    static String html(JsonNode first, String firstName, JsonNode second, String secondName) {
        StringBuilder table = new StringBuilder("<table><tr><th>figure<th>" + ReportHtml.escape(firstName) + "<th>"
                + ReportHtml.escape(secondName) + "<th>ratio");
        for (Row row : rows(first, second)) {
            table.append("<tr><td>").append(ReportHtml.escape(row.name())).append("<td>").append(cell(row.first()))
                    .append("<td>").append(cell(row.second())).append("<td>")
                    .append(Double.isNaN(row.ratio()) ? "" : ReportHtml.number(row.ratio()));
        }
        return table.append("</table>").toString();
    }
}
