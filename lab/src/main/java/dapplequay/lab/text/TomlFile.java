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
 * A TOML file whose every key has to be asked for: what nobody asked for is an unknown key. All faults are
 * told as {@link BadFile}, with file, line and key.
 */
public final class TomlFile {
    private final String file;
    private final KeyLineIndex lines;
    private final Table root;
    private final Map<String, Table> tables = new HashMap<>();

    private TomlFile(String file, List<String> text, ObjectNode tree) {
        this.file = file;
        lines = new KeyLineIndex(text);
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
            String what = e.getOriginalMessage().lines().findFirst().orElse("not TOML");
            throw new InvalidFileException(file, line, "", "is not TOML: " + what);
        }
    }

    public Table root() {
        return root;
    }

    /** To be called when all has been asked for: the first key that was not is told as unknown. */
    public void finish() {
        for (Table table : List.copyOf(tables.values())) {
            for (Iterator<String> names = table.node.fieldNames(); names.hasNext();) {
                String name = names.next();
                if (!table.asked.contains(name)) {
                    throw table.bad(name, "is no known key here; known: "
                            + String.join(", ", new TreeSet<>(table.asked)));
                }
            }
        }
    }

    private Table table(String path, ObjectNode node) {
        return tables.computeIfAbsent(path, p -> new Table(p, node));
    }

    /** One table of the file. The getters with a second value return that where the key is absent. */
    public final class Table {
        private final String path;
        private final ObjectNode node;
        private final Set<String> asked = new TreeSet<>();

        private Table(String path, ObjectNode node) {
            this.path = path;
            this.node = node;
        }

        public InvalidFileException bad(String key, String what) {
            String full = path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
            return new InvalidFileException(file, lines.of(full), full, what);
        }

        public boolean has(String key) {
            asked.add(key);
            return node.has(key);
        }

        private JsonNode need(String key) {
            if (!has(key)) {
                throw bad(key, "is missing");
            }
            return node.get(key);
        }

        public String text(String key) {
            JsonNode value = need(key);
            if (!value.isTextual()) {
                throw bad(key, "must be a text");
            }
            return value.textValue();
        }

        public String text(String key, String absent) {
            return has(key) ? text(key) : absent;
        }

        /** One of these words. */
        public String word(String key, String absent, List<String> words) {
            String word = text(key, absent);
            if (!words.contains(word)) {
                throw bad(key, "must be one of " + String.join(", ", words) + ", not " + word);
            }
            return word;
        }

        public boolean truth(String key, boolean absent) {
            if (!has(key)) {
                return absent;
            }
            if (!node.get(key).isBoolean()) {
                throw bad(key, "must be true or false");
            }
            return node.get(key).booleanValue();
        }

        public double real(String key, double absent, double least, double most) {
            if (!has(key)) {
                return absent;
            }
            JsonNode value = node.get(key);
            if (!value.isNumber()) {
                throw bad(key, "must be a number");
            }
            double number = value.doubleValue();
            if (!(number >= least && number <= most)) {
                throw bad(key, "must lie between " + plain(least) + " and " + plain(most) + ", not "
                        + plain(number));
            }
            return number;
        }

        public int whole(String key, int absent, int least, int most) {
            double number = real(key, absent, least, most);
            if (number != Math.rint(number)) {
                throw bad(key, "must be a whole number");
            }
            return (int) number;
        }

        /** Microseconds. */
        public long duration(String key, long absentUs) {
            if (!has(key)) {
                return absentUs;
            }
            try {
                return Durations.parseUs(text(key));
            } catch (IllegalArgumentException e) {
                throw bad(key, e.getMessage());
            }
        }

        public long duration(String key) {
            need(key);
            return duration(key, 0);
        }

        public List<String> texts(String key, List<String> absent) {
            if (!has(key)) {
                return absent;
            }
            List<String> texts = new ArrayList<>();
            for (JsonNode value : node.get(key)) {
                if (!value.isTextual()) {
                    throw bad(key, "must hold texts");
                }
                texts.add(value.textValue());
            }
            return texts;
        }

        public List<Double> numbers(String key, List<Double> absent) {
            if (!has(key)) {
                return absent;
            }
            List<Double> numbers = new ArrayList<>();
            for (JsonNode value : node.get(key)) {
                if (!value.isNumber()) {
                    throw bad(key, "must hold numbers");
                }
                numbers.add(value.doubleValue());
            }
            return numbers;
        }

        /** An empty table where the key is absent. */
        public Table table(String key) {
            if (!has(key)) {
                return new Table(path.isEmpty() ? key : path + "." + key, node.objectNode());
            }
            if (!(node.get(key) instanceof ObjectNode object)) {
                throw bad(key, "must be a table");
            }
            return TomlFile.this.table(path.isEmpty() ? key : path + "." + key, object);
        }

        public List<Table> tables(String key) {
            List<Table> list = new ArrayList<>();
            if (!has(key)) {
                return list;
            }
            if (!node.get(key).isArray()) {
                throw bad(key, "must be a list of tables, each under [[" + key + "]]");
            }
            String base = path.isEmpty() ? key : path + "." + key;
            for (JsonNode one : node.get(key)) {
                if (!(one instanceof ObjectNode object)) {
                    throw bad(key, "must hold tables");
                }
                list.add(TomlFile.this.table(base + "[" + list.size() + "]", object));
            }
            return list;
        }

        /** The names of the keys, all of them taken as known: for tables whose keys are free. */
        public List<String> names() {
            List<String> names = new ArrayList<>();
            node.fieldNames().forEachRemaining(names::add);
            asked.addAll(names);
            return names;
        }

        private String plain(double number) {
            return number == Math.rint(number) && Math.abs(number) < 1e15 ? Long.toString((long) number)
                    : Double.toString(number);
        }
    }
}
