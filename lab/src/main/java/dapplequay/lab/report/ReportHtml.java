package dapplequay.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Writes a report as one self-contained HTML page, which loads no other resource. */
public final class ReportHtml {
    private static final Logger LOG = Logger.getLogger(ReportHtml.class.getName());
    private static final String STYLE = """
            body{font:15px/1.45 system-ui,sans-serif;color:#222b33;max-width:1560px;margin:24px auto;padding:0 20px}
            h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:30px 0 8px}h3{font-size:15px;margin:18px 0 6px}
            table{border-collapse:collapse;margin:6px 0 14px}
            td,th{padding:3px 12px 3px 0;text-align:right;border-bottom:1px solid #e3e6e9;
            font-variant-numeric:tabular-nums}
            td:first-child,th:first-child{text-align:left}th{font-weight:600}
            .bad{color:#b02a1e;font-weight:600}.good{color:#2f855a}.note{color:#5a6773}
            .plots{display:flex;flex-wrap:wrap;gap:8px 20px}.plots svg{max-width:100%;height:auto}
            .side{display:flex;gap:28px;flex-wrap:wrap}.side>div{flex:1 1 600px;min-width:0}
            """;

    private ReportHtml() { }

    /** Writes {@code report.html} to this folder. */
    public static void write(JsonNode root, Path folder) throws IOException {
        String title = root.path("title").asText("").isEmpty() ? "dapplequay laboratory: " + root.path("kind").asText()
                : root.path("title").asText();
        Files.writeString(folder.resolve("report.html"), page(title, body(title, root)));
    }

    /** Writes {@code compare.html}: a table that compares the figures, then both reports side by side. */
    public static void compare(JsonNode first, String firstName, JsonNode second, String secondName, Path folder)
            throws IOException {
        String body = "<h1>" + escape(firstName) + " beside " + escape(secondName) + "</h1>"
                + Compare.html(first, firstName, second, secondName) + "<div class=side><div>" + body(firstName, first)
                + "</div><div>" + body(secondName, second) + "</div></div>";
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("compare.html"), page("comparison", body));
    }

    private static String page(String title, String body) {
        return "<!doctype html>\n<html lang=en><meta charset=utf-8><meta name=viewport content=\"width=device-width\">"
                + "<title>" + escape(title) + "</title><style>" + STYLE + "</style>\n" + body + "\n</html>\n";
    }

    private static String body(String title, JsonNode root) {
        StringBuilder body = new StringBuilder();
        body.append("<h1>").append(escape(title)).append("</h1>");
        body.append("<p class=note>").append(root.path("scheduled").asLong()).append(" requests due, ")
                .append(root.path("sent").asLong()).append(" sent, ").append(root.path("answered").asLong())
                .append(" answered. Latency counts from when a request was due.</p>");
        if (root.path("behind").asBoolean()) {
            body.append("<p class=bad>The generator fell behind: ").append(escape(root.path("behind_why").asText()))
                    .append(". What it could not send on time counts as late.</p>");
        }
        if (root.path("kind").asText().equals("load")) {
            body.append(latencies(List.of(root), node -> "load")).append(outcomes(root));
            body.append("<div class=plots>").append(drawOrNote(Plots::percentiles, root))
                    .append(drawOrNote(Plots::latency, root)).append(drawOrNote(Plots::outcomes, root))
                    .append("</div>");
            return body.toString();
        }
        List<JsonNode> variants = new ArrayList<>();
        root.path("variants").forEach(variants::add);
        body.append("<h2>Figures by variant</h2>").append(figures(variants));
        body.append("<h2>Latency, ms</h2>").append(latencies(variants, v -> v.path("name").asText()));
        body.append("<div class=plots>").append(drawOrNote(Plots::percentiles, root)).append("</div>");
        for (JsonNode run : root.path("runs")) {
            body.append("<h2>").append(escape(run.path("variant").asText())).append(", seed ")
                    .append(run.path("seed").asLong()).append("</h2>").append(rules(run)).append("<div class=plots>");
            for (Function<JsonNode, String> plot : List.<Function<JsonNode, String>>of(Plots::faults, Plots::latency,
                    Plots::outcomes, Plots::held, Plots::load)) {
                body.append(drawOrNote(plot, run));
            }
            body.append("</div>");
        }
        return body.toString();
    }

    /** Returns the plot, or a note if drawing fails (as on a machine without fonts), so that the figures still show. */
    private static String drawOrNote(Function<JsonNode, String> plot, JsonNode of) {
        try {
            return plot.apply(of);
        } catch (RuntimeException | LinkageError | InternalError e) {
            LOG.log(Level.FINE, "could not draw plot", e);
            return "<p class=note>No plot: " + escape(String.valueOf(e.getMessage())) + "</p>";
        }
    }

    private static String figures(List<JsonNode> variants) {
        StringBuilder table = new StringBuilder("<table><tr><th>figure");
        variants.forEach(v -> table.append("<th>").append(escape(v.path("name").asText())));
        table.append("<tr><td>rules broken");
        for (JsonNode variant : variants) {
            long broken = variant.path("broken").asLong();
            table.append(broken == 0 ? "<td class=good>0" : "<td class=bad>" + broken);
        }
        Set<String> names = new LinkedHashSet<>();
        variants.forEach(v -> v.path("figures").fieldNames().forEachRemaining(names::add));
        for (String name : names) {
            table.append("<tr><td>").append(escape(name.replace('_', ' ')));
            for (JsonNode variant : variants) {
                JsonNode figure = variant.path("figures").path(name);
                if (figure.isMissingNode()) {
                    table.append("<td>-");
                    continue;
                }
                table.append("<td>").append(number(figure.path("mean").asDouble()));
                if (variant.path("runs").asInt() > 1) {
                    table.append(" <span class=note>").append(number(figure.path("least").asDouble()))
                            .append(" to ").append(number(figure.path("most").asDouble())).append("</span>");
                }
            }
        }
        return table.append("</table>").toString();
    }

    private static String latencies(List<JsonNode> of, Function<JsonNode, String> name) {
        StringBuilder table = new StringBuilder("<table><tr><th><th>p50<th>p90<th>p99<th>p99.9<th>max");
        for (JsonNode node : of) {
            for (String what : List.of("latency_ms", "send_lag_ms", "closed_loop_ms")) {
                table.append("<tr><td>").append(escape(name.apply(node))).append(' ').append(switch (what) {
                    case "latency_ms" -> "latency";
                    case "send_lag_ms" -> "send lag";
                    default -> "as a closed loop would see it";
                });
                for (String at : List.of("p50", "p90", "p99", "p999", "max")) {
                    table.append("<td>").append(number(node.path(what).path(at).asDouble()));
                }
            }
        }
        return table.append("</table>").toString();
    }

    private static String outcomes(JsonNode root) {
        StringBuilder table = new StringBuilder("<table><tr><th>outcome<th>requests");
        for (Iterator<Map.Entry<String, JsonNode>> it = root.path("outcomes").fields(); it.hasNext();) {
            Map.Entry<String, JsonNode> next = it.next();
            table.append("<tr><td>").append(escape(next.getKey())).append("<td>").append(next.getValue().asLong());
        }
        return table.append("</table>").toString();
    }

    private static String rules(JsonNode run) {
        StringBuilder table = new StringBuilder("<table><tr><th>rule<th>broken<th>");
        for (Iterator<Map.Entry<String, JsonNode>> it = run.path("rules").fields(); it.hasNext();) {
            Map.Entry<String, JsonNode> next = it.next();
            long broken = next.getValue().path("broken").asLong();
            table.append("<tr><td>").append(escape(next.getValue().path("asks").asText()))
                    .append(broken == 0 ? "<td class=good>0" : "<td class=bad>" + broken)
                    .append("<td style=\"text-align:left\" class=note>");
            JsonNode examples = next.getValue().path("examples");
            table.append(examples.isEmpty() ? "" : escape(examples.get(0).asText()));
        }
        return table.append("</table>").toString();
    }

    static String number(double value) {
        double size = Math.abs(value);
        String form = size != 0 && size < 0.01 ? "%.4f" : size < 10 ? "%.3f" : size < 1000 ? "%.1f" : "%.0f";
        return size == 0 ? "0" : String.format(Locale.ROOT, form, value);
    }

    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
