package dapplequay.lab.text;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * On which line of a TOML text each key stands. The TOML reader knows that no more once it has read the text,
 * and a message about a value is of little use without it. Keys inside an inline table have the line on which
 * that table begins.
 */
final class KeyLineIndex {
    private static final Pattern HEADER = Pattern.compile("\\s*\\[([^\\[\\]]+)]\\s*(#.*)?");
    private static final Pattern ARRAY_HEADER = Pattern.compile("\\s*\\[\\[([^\\[\\]]+)]]\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_\\-.\"]+)\\s*=.*");

    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> tableCounts = new HashMap<>();

    KeyLineIndex(List<String> text) {
        String table = "";
        for (int i = 0; i < text.size(); i++) {
            Matcher array = ARRAY_HEADER.matcher(text.get(i));
            Matcher header = HEADER.matcher(text.get(i));
            Matcher key = KEY.matcher(text.get(i));
            if (array.matches()) {
                String name = resolvePath(array.group(1).trim());
                int index = tableCounts.merge(name, 1, Integer::sum) - 1;
                table = name + "[" + index + "]";
                lines.put(table, i + 1);
                lines.putIfAbsent(name, i + 1);
            } else if (header.matches()) {
                table = resolvePath(header.group(1).trim());
                lines.put(table, i + 1);
            } else if (key.matches()) {
                String name = key.group(1).replace("\"", "");
                lines.putIfAbsent(table.isEmpty() ? name : table + "." + name, i + 1);
            }
        }
    }

    /** A header below an array of tables belongs to that array's latest table. */
    private String resolvePath(String name) {
        StringBuilder path = new StringBuilder();
        String[] parts = name.replace("\"", "").split("\\.");
        for (int i = 0; i < parts.length; i++) {
            path.append(i == 0 ? "" : ".").append(parts[i].trim());
            Integer count = tableCounts.get(path.toString());
            if (count != null && i < parts.length - 1) {
                path.append('[').append(count - 1).append(']');
            }
        }
        return path.toString();
    }

    /** The line of this key, or of the nearest table round it; 1 where nothing of it is in the text. */
    int lineOf(String path) {
        String prefix = path;
        while (!prefix.isEmpty()) {
            Integer line = lines.get(prefix);
            if (line != null) {
                return line;
            }
            int parentEnd = Math.max(prefix.lastIndexOf('.'), prefix.lastIndexOf('['));
            prefix = parentEnd < 0 ? "" : prefix.substring(0, parentEnd);
        }
        return 1;
    }
}
