package dapplequay.lab.text;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps each key of a TOML text to its line, for error messages: the TOML parser does not keep line numbers. Keys
 * inside an inline table get the line on which that table begins.
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

    /** Resolves a header's path: below an array of tables it belongs to the latest element. */
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

    /** Returns the line of a key, or of its nearest enclosing table that is in the text, or 1. */
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
