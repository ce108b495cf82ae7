package dapplequay.lab.load;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.HdrHistogram.EncodableHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.HdrHistogram.HistogramLogWriter;

/** Reads and writes HdrHistogram logs with one histogram a second, in microseconds. */
public final class HistogramLogs {
    private HistogramLogs() { }

    public static void write(List<Histogram> secondHistograms, Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        try {
            HistogramLogWriter log = new HistogramLogWriter(file.toFile());
            log.outputLogFormatVersion();
            log.outputLegend();
            for (Histogram second : secondHistograms) {
                log.outputIntervalHistogram(second);
            }
            log.close();
        } catch (FileNotFoundException e) {
            throw new IOException(file + " can't be written", e);
        }
    }

    public static List<Histogram> read(Path file) throws IOException {
        List<Histogram> secondHistograms = new ArrayList<>();
        try (HistogramLogReader log = new HistogramLogReader(file.toFile())) {
            for (EncodableHistogram next = log.nextIntervalHistogram(); next != null;
                    next = log.nextIntervalHistogram()) {
                secondHistograms.add((Histogram) next);
            }
        } catch (FileNotFoundException e) {
            throw new IOException(file + ": no histogram log", e);
        }
        return secondHistograms;
    }

    /** Merges logs of generators that ran at the same time: adds up the histograms of each Unix second. */
    public static List<Histogram> merge(List<List<Histogram>> logs) {
        TreeMap<Long, Histogram> bySecond = new TreeMap<>();
        for (List<Histogram> log : logs) {
            for (Histogram next : log) {
                bySecond.merge(Math.floorDiv(next.getStartTimeStamp(), 1000L), next, (one, addend) -> {
                    one.add(addend);
                    return one;
                });
            }
        }
        return new ArrayList<>(bySecond.values());
    }
}
