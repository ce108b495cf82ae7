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
public final class MissingKeys {
    private static final String NAME = "name";

    private MissingKeys() { }

    /** The path of the first thing missing, as {@code settings.limits.send_cap}; null where nothing is. */
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
            Map<?, ?> sameName = namedBefore.stream().filter(candidate -> candidate.get(NAME).equals(map.get(NAME))).findFirst().orElse(null);
            if (sameName != null && sameName.get("semantics") != null && !sameName.get("semantics").equals(map.get("semantics"))) {
                sameName = null;            // other semantics go with other keys
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
