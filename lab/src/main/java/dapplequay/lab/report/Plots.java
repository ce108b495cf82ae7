package dapplequay.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.AxesChartStyler;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws a report's plots as SVG from the contents of {@code report.json} alone. */
final class Plots {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 270;
    private static final Color INK = new Color(0x33, 0x3d, 0x47);
    private static final Color GRID = new Color(0xe3, 0xe6, 0xe9);
    private static final Color[] LINES = {new Color(0x2b, 0x6c, 0xb0), new Color(0xc0, 0x56, 0x21),
            new Color(0x2f, 0x85, 0x5a), new Color(0x80, 0x5a, 0xd5), new Color(0xb8, 0x32, 0x80),
            new Color(0x71, 0x80, 0x96), new Color(0x97, 0x7a, 0x1c), new Color(0x23, 0x4e, 0x52)};

    private Plots() { }

    /** Plots latency over time. Buckets without answers are left out, as their latency is unknown and not 0 ms. */
    static String latency(JsonNode run) {
        XYChart chart = chart("Latency by time due, ms", "s");
        chart.getStyler().setYAxisLogarithmic(true);
        JsonNode over = run.path("over_time");
        double least = Double.MAX_VALUE;
        double most = 0;
        for (String name : List.of("p50", "p90", "max")) {
            List<Double> times = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            int i = 0;
            for (JsonNode value : over.path("latency_ms").path(name)) {
                if (value.asDouble() > 0) {
                    times.add(i * over.path("bucket_s").asDouble());
                    values.add(Math.max(0.01, value.asDouble()));
                    least = Math.min(least, value.asDouble());
                    most = Math.max(most, value.asDouble());
                }
                i++;
            }
            line(chart, name, times, values);
        }
        setDecadeRange(chart, least, most);
        return svg(chart);
    }

    /** Sets the y axis to whole decades, as a logarithmic axis has labels only there. */
    private static void setDecadeRange(XYChart chart, double least, double most) {
        if (most > 0) {
            chart.getStyler().setYAxisMin(Math.pow(10, Math.floor(Math.log10(Math.max(0.01, least)))));
            chart.getStyler().setYAxisMax(Math.pow(10, Math.ceil(Math.log10(most))));
        }
    }

    /** Plots requests by outcome as stacked areas; the top line is the total that was due. */
    static String outcomes(JsonNode run) {
        XYChart chart = chart("Outcomes by time due, requests a second", "s");
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Area);
        chart.getStyler().setYAxisMin(0.0);
        JsonNode over = run.path("over_time");
        List<String> names = new ArrayList<>();
        List<List<Double>> sums = new ArrayList<>();
        List<Double> sum = new ArrayList<>();
        for (Iterator<Map.Entry<String, JsonNode>> it = over.path("outcomes_per_s").fields(); it.hasNext();) {
            Map.Entry<String, JsonNode> next = it.next();
            int i = 0;
            for (JsonNode value : next.getValue()) {
                if (i == sum.size()) {
                    sum.add(0.0);
                }
                sum.set(i, sum.get(i) + value.asDouble());
                i++;
            }
            names.add(next.getKey());
            sums.add(List.copyOf(sum));
        }
        List<Double> times = times(over, sum.size());
        for (int i = names.size() - 1; i >= 0 && !times.isEmpty(); i--) {
            XYSeries series = chart.addSeries(names.get(i), times, sums.get(i));
            series.setMarker(SeriesMarkers.NONE);
            Color color = LINES[i % LINES.length];
            series.setLineColor(color);
            series.setFillColor(new Color(color.getRed(), color.getGreen(), color.getBlue(), 150));
        }
        return svg(chart);
    }

    static String held(JsonNode run) {
        XYChart chart = chart("Requests held by a host", "s");
        chart.getStyler().setYAxisMin(0.0);
        JsonNode over = run.path("over_time");
        for (Iterator<Map.Entry<String, JsonNode>> it = over.path("held_by_host").fields(); it.hasNext();) {
            Map.Entry<String, JsonNode> next = it.next();
            List<Double> values = values(next.getValue());
            line(chart, next.getKey(), times(over, values.size()), values);
        }
        return svg(chart);
    }

    static String load(JsonNode run) {
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT)
                .title("Requests that came to each host").build();
        style(chart.getStyler());
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setPlotGridVerticalLinesVisible(false);
        List<String> hosts = new ArrayList<>();
        List<Double> visits = new ArrayList<>();
        for (JsonNode host : run.path("hosts")) {
            hosts.add(host.path("host").asText());
            visits.add(host.path("visits").asDouble());
        }
        if (hosts.isEmpty()) {
            return "";
        }
        int step = Math.max(1, hosts.size() / 20);
        chart.getStyler().setXAxisMaxLabelCount(hosts.size() / step);
        chart.addSeries("visits", hosts, visits).setFillColor(LINES[0]);
        return svg(chart);
    }

    /** Plots when each fault was active, one horizontal bar for each. */
    static String faults(JsonNode run) {
        int count = run.path("faults").size();
        if (count == 0) {
            return "";
        }
        XYChart chart = chart("Faults", "s");
        chart.getStyler().setYAxisTicksVisible(false);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax((double) count + 1);
        chart.getStyler().setXAxisMin(0.0);
        chart.getStyler().setXAxisMax(Math.max(1, run.path("over_time").path("latency_ms").path("p50").size())
                * run.path("over_time").path("bucket_s").asDouble());
        int lane = count;
        int number = 1;
        for (JsonNode fault : run.path("faults")) {
            double at = fault.path("at_s").asDouble();
            int hosts = fault.path("hosts").size();
            String name = number + ". " + fault.path("kind").asText() + (hosts == 0 ? "" : " x" + hosts);
            XYSeries series = line(chart, name, List.of(at, at + fault.path("for_s").asDouble()),
                    List.of((double) lane, (double) lane));
            series.setLineStyle(new BasicStroke(6));
            lane--;
            number++;
        }
        return svg(chart);
    }

    /** Plots latency by percentile for each variant; the x axis is 1 / (1 - percentile), a decade for each nine. */
    static String percentiles(JsonNode root) {
        XYChart chart = chart("Latency by percentile, ms",
                "share that is faster: 10 = 90%, 100 = 99%, 1000 = 99.9%");
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisLogarithmic(true);
        JsonNode variants = root.path("variants").isArray() ? root.path("variants") : null;
        if (variants == null) {
            percentileLine(chart, "load", root.path("latency_ms"));
        } else {
            variants.forEach(v -> percentileLine(chart, v.path("name").asText(), v.path("latency_ms")));
        }
        List<JsonNode> all = new ArrayList<>();
        root.path("variants").forEach(v -> all.add(v.path("latency_ms")));
        if (all.isEmpty()) {
            all.add(root.path("latency_ms"));
        }
        setDecadeRange(chart, all.stream().mapToDouble(l -> l.path("p50").asDouble()).min().orElse(1),
                all.stream().mapToDouble(l -> l.path("p999").asDouble()).max().orElse(1));
        return svg(chart);
    }

    private static void percentileLine(XYChart chart, String name, JsonNode latency) {
        if (latency.path("max").asDouble() > 0) {
            line(chart, name, List.of(2.0, 10.0, 100.0, 1000.0), List.of(at(latency, "p50"), at(latency, "p90"),
                    at(latency, "p99"), at(latency, "p999")));
        }
    }

    private static double at(JsonNode latency, String name) {
        return Math.max(0.01, latency.path(name).asDouble());
    }

    private static XYChart chart(String title, String x) {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle(x).build();
        style(chart.getStyler());
        return chart;
    }

    private static void style(AxesChartStyler styler) {
        styler.setChartBackgroundColor(Color.WHITE);
        styler.setPlotBorderVisible(false);
        styler.setPlotGridLinesColor(GRID);
        styler.setChartFontColor(INK);
        styler.setChartTitleFont(new Font(Font.SANS_SERIF, Font.BOLD, 13));
        styler.setAxisTitleFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        styler.setAxisTickLabelsFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        styler.setLegendFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        styler.setLegendPosition(Styler.LegendPosition.OutsideE);
        styler.setLegendBorderColor(Color.WHITE);
        styler.setSeriesColors(LINES);
        styler.setAxisTicksLineVisible(false);
    }

    private static XYSeries line(XYChart chart, String name, List<Double> times, List<Double> values) {
        if (times.isEmpty()) {
            return null;
        }
        XYSeries series = chart.addSeries(name, times, values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineStyle(new BasicStroke(1.6f));
        return series;
    }

    private static List<Double> times(JsonNode over, int count) {
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            times.add(i * over.path("bucket_s").asDouble());
        }
        return times;
    }

    private static List<Double> values(JsonNode array) {
        List<Double> values = new ArrayList<>();
        array.forEach(value -> values.add(value.asDouble()));
        return values;
    }

    private static String svg(Chart<?, ?> chart) {
        boolean empty = chart.getSeriesMap().isEmpty();
        if (empty) {
            return "";
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            VectorGraphicsEncoder.saveVectorGraphic(chart, bytes,
                    VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        String text = bytes.toString(StandardCharsets.UTF_8);
        int from = text.indexOf("<svg");
        return from < 0 ? "" : text.substring(from);
    }
}
