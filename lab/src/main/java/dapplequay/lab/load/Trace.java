package dapplequay.lab.load;

import dapplequay.lab.text.InvalidFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a recorded load from a text file with one request a line: due time in milliseconds from the start, class,
 * tenant, and optionally work in milliseconds and idempotency key. {@code -} stands for an unknown value. Empty
 * lines and lines that begin with # are ignored. Due times may not decrease.
 *
 * <pre>
 * # due_ms class tenant [work_ms [key]]
 * 0.0 place-order shop-a 95.2 k1
 * 12.5 place-order shop-b
 * </pre>
 */
public final class Trace {
    /** One request; {@code workUs} is -1 and {@code key} null if unknown. */
    public record Line(long dueUs, int serviceIndex, int tenantIndex, long workUs, String key) { }

    private Trace() { }

    /** Reads all requests of the file; throws InvalidFileException for the first invalid line. */
    public static List<Line> read(Path file, Profile profile) {
        try {
            return parse(file.toString(), Files.readAllLines(file), profile);
        } catch (IOException e) {
            throw new InvalidFileException(file.toString(), 1, "", "unreadable: " + e.getMessage());
        }
    }

    static List<Line> parse(String file, List<String> text, Profile profile) {
        List<Line> lines = new ArrayList<>();
        long lastDueUs = 0;
        for (int i = 0; i < text.size(); i++) {
            String line = text.get(i).trim();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            String[] fields = line.split("\\s+");
            if (fields.length < 3 || fields.length > 5) {
                throw new InvalidFileException(file, i + 1, "",
                        "must hold due_ms, class, tenant and perhaps work_ms and key");
            }
            long dueUs = parseMsAsUs(file, i + 1, "due_ms", fields[0]);
            if (dueUs < lastDueUs) {
                throw new InvalidFileException(file, i + 1, "due_ms", "runs backwards: " + fields[0]);
            }
            lastDueUs = dueUs;
            int serviceIndex = profile.services().stream().map(Profile.Service::name).toList().indexOf(fields[1]);
            if (serviceIndex < 0 && !profile.services().isEmpty()) {
                throw new InvalidFileException(file, i + 1, "class", "is none of the profile's: " + fields[1]);
            }
            int tenantIndex = fields[2].equals("-") ? -1
                    : profile.tenants().stream().map(Profile.Tenant::name).toList().indexOf(fields[2]);
            if (tenantIndex < 0 && !fields[2].equals("-") && !profile.tenants().isEmpty()) {
                throw new InvalidFileException(file, i + 1, "tenant", "is none of the profile's: " + fields[2]);
            }
            long workUs = fields.length < 4 || fields[3].equals("-") ? -1
                    : parseMsAsUs(file, i + 1, "work_ms", fields[3]);
            lines.add(new Line(dueUs, Math.max(0, serviceIndex), tenantIndex, workUs,
                    fields.length < 5 || fields[4].equals("-") ? null : fields[4]));
        }
        return lines;
    }

    private static long parseMsAsUs(String file, int line, String field, String text) {
        try {
            double ms = Double.parseDouble(text);
            if (ms >= 0 && ms < 1e12) {
                return Math.round(ms * 1e3);
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new InvalidFileException(file, line, field, "is not a number of milliseconds: " + text);
    }
}
