package dapplequay.lab.text;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations as people write them: a number and one of us, ms, s, m. Inside they are whole microseconds. */
public final class Durations {
    private static final Pattern PATTERN = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(us|ms|s|m)");

    private Durations() { }

    /** Microseconds, 0 or more; IllegalArgumentException where the text is not a duration. */
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

    /** Seconds with as many decimals as are of use to a reader. */
    public static String formatSeconds(long us) {
        return String.format(Locale.ROOT, us % 1_000_000 == 0 ? "%.0fs" : "%.2fs", us / 1e6);
    }
}
