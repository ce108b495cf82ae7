package dapplequay.lab.text;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A TOML file that rejects unknown keys: a key that no getter has read is unknown. All errors are thrown as
 * {@link InvalidFileException} with file, line and key.
 */
public final class TomlFile {
    private final String file;
    private final KeyLineIndex keyLines;
    private final Table root;
    private final Map<String, Table> tables = new HashMap<>();

    private TomlFile(String file, List<String> text, ObjectNode tree) {
        this.file = file;
        keyLines = new KeyLineIndex(text);
        root = table("", tree);
    }

    public static TomlFile read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new InvalidFileException(file.toString(), 1, "", "no such file");
        } catch (IOException e) {
            throw new InvalidFileException(file.toString(), 1, "", "unreadable: " + e.getMessage());
        }
    }

    public static TomlFile parse(String file, String text) {
        try {
            JsonNode tree = new TomlMapper().readTree(text);
            return new TomlFile(file, text.lines().toList(),
                    tree instanceof ObjectNode object ? object : new TomlMapper().createObjectNode());
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            String problem = e.getOriginalMessage().lines().findFirst().orElse("not TOML");
            throw new InvalidFileException(file, line, "", "is not TOML: " + problem);
        }
    }

    public Table root() {
        return root;
    }

    /** Throws InvalidFileException for the first key that was never read. To be called after all reads. */
    public void rejectUnknownKeys() {
        for (Table table : List.copyOf(tables.values())) {
            for (Iterator<String> names = table.node.fieldNames(); names.hasNext();) {
                String name = names.next();
                if (!table.knownKeys.contains(name)) {
                    throw table.error(name, "is no known key here; known: "
                            + String.join(", ", new TreeSet<>(table.knownKeys)));
                }
            }
        }
    }

    private Table table(String path, ObjectNode node) {
        return tables.computeIfAbsent(path, p -> new Table(p, node));
    }

    /** One table of the file. Getters with a default return it if the key is absent. */
    public final class Table {
        private final String path;
        private final ObjectNode node;
        private final Set<String> knownKeys = new TreeSet<>();

        private Table(String path, ObjectNode node) {
            this.path = path;
            this.node = node;
        }

        public InvalidFileException error(String key, String problem) {
            String fullPath = path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
            return new InvalidFileException(file, keyLines.lineOf(fullPath), fullPath, problem);
        }

        public boolean has(String key) {
            knownKeys.add(key);
            return node.has(key);
        }

        private JsonNode require(String key) {
            if (!has(key)) {
                throw error(key, "is missing");
            }
            return node.get(key);
        }

        public String string(String key) {
            JsonNode value = require(key);
            if (!value.isTextual()) {
                throw error(key, "must be a text");
            }
            return value.textValue();
        }

        public String string(String key, String defaultValue) {
            return has(key) ? string(key) : defaultValue;
        }

        /** Returns a string that must be one of {@code allowed}. */
        public String oneOf(String key, String defaultValue, List<String> allowed) {
            String word = string(key, defaultValue);
            if (!allowed.contains(word)) {
                throw error(key, "must be one of " + String.join(", ", allowed) + ", not " + word);
            }
            return word;
        }

        public boolean bool(String key, boolean defaultValue) {
            if (!has(key)) {
                return defaultValue;
            }
            if (!node.get(key).isBoolean()) {
                throw error(key, "must be true or false");
            }
            return node.get(key).booleanValue();
        }

        public double number(String key, double defaultValue, double min, double max) {
            if (!has(key)) {
                return defaultValue;
            }
            JsonNode value = node.get(key);
            if (!value.isNumber()) {
                throw error(key, "must be a number");
            }
            double number = value.doubleValue();
            if (!(number >= min && number <= max)) {
                throw error(key, "must lie between " + format(min) + " and " + format(max) + ", not "
                        + format(number));
            }
            return number;
        }

        public int integer(String key, int defaultValue, int min, int max) {
            double number = number(key, defaultValue, min, max);
            if (number != Math.rint(number)) {
                throw error(key, "must be a whole number");
            }
            return (int) number;
        }

        /** Returns a duration in microseconds. */
        public long durationUs(String key, long defaultUs) {
            if (!has(key)) {
                return defaultUs;
            }
            try {
                return Durations.parseUs(string(key));
            } catch (IllegalArgumentException e) {
                throw error(key, e.getMessage());
            }
        }

        public long durationUs(String key) {
            require(key);
            return durationUs(key, 0);
        }

        public List<String> strings(String key, List<String> defaultValue) {
            if (!has(key)) {
                return defaultValue;
            }
            List<String> strings = new ArrayList<>();
            for (JsonNode value : node.get(key)) {
                if (!value.isTextual()) {
                    throw error(key, "must hold texts");
                }
                strings.add(value.textValue());
            }
            return strings;
        }

        public List<Double> numbers(String key, List<Double> defaultValue) {
            if (!has(key)) {
                return defaultValue;
            }
            List<Double> numbers = new ArrayList<>();
            for (JsonNode value : node.get(key)) {
                if (!value.isNumber()) {
                    throw error(key, "must hold numbers");
                }
                numbers.add(value.doubleValue());
            }
            return numbers;
        }

        /** Returns a table, which is empty if the key is absent. */
        public Table table(String key) {
            if (!has(key)) {
                return new Table(path.isEmpty() ? key : path + "." + key, node.objectNode());
            }
            if (!(node.get(key) instanceof ObjectNode object)) {
                throw error(key, "must be a table");
            }
            return TomlFile.this.table(path.isEmpty() ? key : path + "." + key, object);
        }

        public List<Table> tables(String key) {
            List<Table> list = new ArrayList<>();
            if (!has(key)) {
                return list;
            }
            if (!node.get(key).isArray()) {
                throw error(key, "must be a list of tables, each under [[" + key + "]]");
            }
            String arrayPath = path.isEmpty() ? key : path + "." + key;
            for (JsonNode element : node.get(key)) {
                if (!(element instanceof ObjectNode object)) {
                    throw error(key, "must hold tables");
                }
                list.add(TomlFile.this.table(arrayPath + "[" + list.size() + "]", object));
            }
            return list;
        }

        /** Returns all keys and marks them as known, for tables with arbitrary keys. */
        public List<String> keys() {
            List<String> keys = new ArrayList<>();
            node.fieldNames().forEachRemaining(keys::add);
            knownKeys.addAll(keys);
            return keys;
        }

        private String format(double number) {
            return number == Math.rint(number) && Math.abs(number) < 1e15 ? Long.toString((long) number)
                    : Double.toString(number);
        }
    }
}
