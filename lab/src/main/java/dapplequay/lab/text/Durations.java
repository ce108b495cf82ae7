package dapplequay.lab.text;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts between microseconds and text: a number followed by us, ms, s or m. */
public final class Durations {
    private static final Pattern PATTERN = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(us|ms|s|m)");

    private Durations() { }

    /** Parses a duration into microseconds, 0 or more; throws IllegalArgumentException if it is invalid. */
    public static long parseUs(String text) {
        Matcher matcher = PATTERN.matcher(text.trim());
        if (!matcher.matches()) {
            throw new IllegalArgumentException("is not a duration such as 250ms or 10s: " + text);
        }
        double unit = switch (matcher.group(2)) {
            case "us" -> 1;
            case "ms" -> 1e3;
            case "s" -> 1e6;
            default -> 60e6;
        };
        return Math.round(Double.parseDouble(matcher.group(1)) * unit);
    }

    /** Formats microseconds as seconds: whole seconds without decimals, others with two. */
    public static String formatSeconds(long us) {
        return String.format(Locale.ROOT, us % 1_000_000 == 0 ? "%.0fs" : "%.2fs", us / 1e6);
    }
}
