package dapplequay.lab.load;

import dapplequay.lab.text.InvalidFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A recorded run as a text, one request a line: when it was due in milliseconds from the start, its class, its
 * tenant, and if known its work in milliseconds and its key. {@code -} stands for what is not known; empty
 * lines and lines that begin with # are passed over; times may not run backwards.
 *
 * <pre>
 * # due_ms class tenant [work_ms [key]]
 * 0.0 place-order shop-a 95.2 k1
 * 12.5 place-order shop-b
 * </pre>
 */
public final class Trace {
    /** One line; {@code workUs} and {@code key} may be unknown: -1, null. */
    public record Line(long dueUs, int service, int tenant, long workUs, String key) { }

    private Trace() { }

    /** All lines of the file; BadFile names the first that is no good. */
    public static List<Line> read(Path file, Profile profile) {
        try {
            return parse(file.toString(), Files.readAllLines(file), profile);
        } catch (IOException e) {
            throw new InvalidFileException(file.toString(), 1, "", "unreadable: " + e.getMessage());
        }
    }

    static List<Line> parse(String file, List<String> text, Profile profile) {
        List<Line> lines = new ArrayList<>();
        long last = 0;
        for (int i = 0; i < text.size(); i++) {
            String line = text.get(i).trim();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            String[] words = line.split("\\s+");
            if (words.length < 3 || words.length > 5) {
                throw new InvalidFileException(file, i + 1, "", "must hold due_ms, class, tenant and perhaps work_ms and key");
            }
            long due = us(file, i + 1, "due_ms", words[0]);
            if (due < last) {
                throw new InvalidFileException(file, i + 1, "due_ms", "runs backwards: " + words[0]);
            }
            last = due;
            int service = profile.services().stream().map(Profile.Service::name).toList().indexOf(words[1]);
            if (service < 0 && !profile.services().isEmpty()) {
                throw new InvalidFileException(file, i + 1, "class", "is none of the profile's: " + words[1]);
            }
            int tenant = words[2].equals("-") ? -1
                    : profile.tenants().stream().map(Profile.Tenant::name).toList().indexOf(words[2]);
            if (tenant < 0 && !words[2].equals("-") && !profile.tenants().isEmpty()) {
                throw new InvalidFileException(file, i + 1, "tenant", "is none of the profile's: " + words[2]);
            }
            long work = words.length < 4 || words[3].equals("-") ? -1 : us(file, i + 1, "work_ms", words[3]);
            lines.add(new Line(due, Math.max(0, service), tenant, work,
                    words.length < 5 || words[4].equals("-") ? null : words[4]));
        }
        return lines;
    }

    private static long us(String file, int line, String what, String text) {
        try {
            double ms = Double.parseDouble(text);
            if (ms >= 0 && ms < 1e12) {
                return Math.round(ms * 1e3);
            }
        } catch (NumberFormatException e) {
            // Told below, as for a number out of range.
        }
        throw new InvalidFileException(file, line, what, "is not a number of milliseconds: " + text);
    }
}
