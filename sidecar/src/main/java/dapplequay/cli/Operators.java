package dapplequay.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dapplequay.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * The operators' settings file in TOML, which adds to the platform's configuration. docs/CONFIGURATION.md lists its
 * keys.
 *
 * @param stateFolder folder in which the list is kept across restarts; null if it is not kept
 */
record Operators(Path stateFolder) {
    static final Operators NONE = new Operators(null);
    private static final Set<String> SECTIONS = Set.of("state");
    private static final Set<String> STATE_KEYS = Set.of("folder");

    /** Reads the file; SettingsException, with a line for each error, if it is invalid. */
    static Operators read(Path file) {
        List<String> lines;
        JsonNode tree;
        try {
            lines = Files.readAllLines(file);
            tree = new TomlMapper().readTree(String.join("\n", lines) + "\n");
        } catch (JsonProcessingException e) {
            throw new SettingsException(file + ":" + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new SettingsException(file + ": unreadable: "
                    + (e instanceof NoSuchFileException ? "no such file" : e.getMessage()));
        }
        List<String> faults = new ArrayList<>();
        addUnknownKeys(file, lines, tree, "", SECTIONS, faults);
        JsonNode state = tree.path("state");
        if (!state.isMissingNode() && !state.isObject()) {
            faults.add(location(file, lines, "state") + "state is not a table");
        }
        addUnknownKeys(file, lines, state, "state.", STATE_KEYS, faults);
        JsonNode folder = state.path("folder");
        if (!folder.isMissingNode() && (!folder.isTextual() || folder.asText().isEmpty())) {
            faults.add(location(file, lines, "folder") + "state.folder is not a path: " + folder);
        } else if (folder.isTextual() && !Files.isDirectory(Path.of(folder.asText()))) {
            faults.add(location(file, lines, "folder") + "state.folder is no folder: " + folder.asText());
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(String.join("\n", faults));
        }
        return new Operators(folder.isTextual() ? Path.of(folder.asText()) : null);
    }

    private static void addUnknownKeys(Path file, List<String> lines, JsonNode table, String prefix, Set<String> known,
                                List<String> faults) {
        for (Iterator<String> names = table.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!known.contains(name)) {
                faults.add(location(file, lines, name) + "unknown key " + prefix + name);
            }
        }
    }

    /** Returns file and line of a key: the parser gives no positions for what it has parsed. */
    private static String location(Path file, List<String> lines, String key) {
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).strip().matches("\\[?\\s*\"?" + java.util.regex.Pattern.quote(key) + "\"?\\s*[].=].*")) {
                return file + ":" + (i + 1) + ": ";
            }
        }
        return file + ": ";
    }
}
