package dapplequay.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a configuration is there as a whole: what the last one taken has, the next one has too. A key that is
 * missing would else be taken for its default, a change that nobody ordered. Entries of a list that carry a name are
 * held against the one of the same name, new ones against what all had; such entries may come and go.
 */
public final class Completeness {
    private static final String NAME = "name";

    private Completeness() { }

    /** The path of the first thing missing, as {@code settings.limits.send_cap}; null where nothing is. */
    public static String missing(Object before, Object now) {
        return missing(before, now, "");
    }

    private static String missing(Object before, Object now, String path) {
        if (before instanceof Map<?, ?> had) {
            if (!(now instanceof Map<?, ?> has)) {
                return path;
            }
            for (Map.Entry<?, ?> entry : had.entrySet()) {
                String inner = path.isEmpty() ? String.valueOf(entry.getKey()) : path + "." + entry.getKey();
                Object value = has.get(entry.getKey());
                String found = value == null && entry.getValue() != null ? inner
                        : missing(entry.getValue(), value, inner);
                if (found != null) {
                    return found;
                }
            }
        } else if (before instanceof List<?> had && now instanceof List<?> has) {
            return missingInNamed(had, has, path);
        } else if (before instanceof List<?>) {
            return path;
        }
        return null;
    }

    private static String missingInNamed(List<?> had, List<?> has, String path) {
        List<Map<?, ?>> named = new ArrayList<>();
        had.forEach(entry -> {
            if (entry instanceof Map<?, ?> map && map.get(NAME) != null) {
                named.add(map);
            }
        });
        for (Object entry : has) {
            if (!(entry instanceof Map<?, ?> map) || named.isEmpty()) {
                continue;
            }
            String inner = path + "[" + map.get(NAME) + "]";
            Map<?, ?> same = named.stream().filter(n -> n.get(NAME).equals(map.get(NAME))).findFirst().orElse(null);
            if (same != null && same.get("semantics") != null && !same.get("semantics").equals(map.get("semantics"))) {
                same = null;            // other semantics go with other keys
            }
            for (Object key : same == null ? common(named) : same.keySet()) {
                if (map.get(key) == null) {
                    return inner + "." + key;
                }
            }
        }
        return null;
    }

    private static Set<Object> common(List<Map<?, ?>> named) {
        Set<Object> keys = new java.util.LinkedHashSet<>(named.get(0).keySet());
        named.forEach(map -> keys.retainAll(map.keySet()));
        return keys;
    }
}
