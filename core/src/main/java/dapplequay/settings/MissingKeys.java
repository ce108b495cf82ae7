package dapplequay.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds keys that are present in the current configuration but missing from a new one. A missing key would otherwise
 * get its default value, a change that nobody asked for. A list entry with a name is compared with the entry of the
 * same name, and a new one with the keys that all named entries had. Such entries may be added and removed.
 */
public final class MissingKeys {
    private static final String NAME = "name";

    private MissingKeys() { }

    /** Returns the path of the first missing key, such as {@code settings.limits.send_cap}, or null. */
    public static String firstMissing(Object before, Object now) {
        return firstMissing(before, now, "");
    }

    private static String firstMissing(Object before, Object now, String path) {
        if (before instanceof Map<?, ?> beforeMap) {
            if (!(now instanceof Map<?, ?> nowMap)) {
                return path;
            }
            for (Map.Entry<?, ?> entry : beforeMap.entrySet()) {
                String childPath = path.isEmpty() ? String.valueOf(entry.getKey()) : path + "." + entry.getKey();
                Object value = nowMap.get(entry.getKey());
                String missing = value == null && entry.getValue() != null ? childPath
                        : firstMissing(entry.getValue(), value, childPath);
                if (missing != null) {
                    return missing;
                }
            }
        } else if (before instanceof List<?> beforeList && now instanceof List<?> nowList) {
            return firstMissingInList(beforeList, nowList, path);
        } else if (before instanceof List<?>) {
            return path;
        }
        return null;
    }

    private static String firstMissingInList(List<?> beforeList, List<?> nowList, String path) {
        List<Map<?, ?>> namedBefore = new ArrayList<>();
        beforeList.forEach(entry -> {
            if (entry instanceof Map<?, ?> map && map.get(NAME) != null) {
                namedBefore.add(map);
            }
        });
        for (Object entry : nowList) {
            if (!(entry instanceof Map<?, ?> map) || namedBefore.isEmpty()) {
                continue;
            }
            String childPath = path + "[" + map.get(NAME) + "]";
            Map<?, ?> sameName = namedBefore.stream()
                    .filter(candidate -> candidate.get(NAME).equals(map.get(NAME))).findFirst().orElse(null);
            if (sameName != null && sameName.get("semantics") != null
                    && !sameName.get("semantics").equals(map.get("semantics"))) {
                sameName = null;            // other semantics have other keys
            }
            for (Object key : sameName == null ? commonKeys(namedBefore) : sameName.keySet()) {
                if (map.get(key) == null) {
                    return childPath + "." + key;
                }
            }
        }
        return null;
    }

    private static Set<Object> commonKeys(List<Map<?, ?>> namedBefore) {
        Set<Object> keys = new java.util.LinkedHashSet<>(namedBefore.get(0).keySet());
        namedBefore.forEach(map -> keys.retainAll(map.keySet()));
        return keys;
    }
}
