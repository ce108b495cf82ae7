package dapplequay.lifecycle;

import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The difference between two configurations: the names of the instances that are added, removed, changed and unchanged.
 * It is computed completely before anything is changed.
 */
public record ReloadPlan(SortedSet<String> added, SortedSet<String> removed, SortedSet<String> changed,
                         SortedSet<String> unchanged) {
    /** Compares two configurations by instance name; an instance is unchanged if its two values are equal. */
    public static <T> ReloadPlan between(Map<String, T> before, Map<String, T> after) {
        SortedSet<String> added = new TreeSet<>(after.keySet());
        added.removeAll(before.keySet());
        SortedSet<String> removed = new TreeSet<>(before.keySet());
        removed.removeAll(after.keySet());
        SortedSet<String> changed = new TreeSet<>();
        SortedSet<String> unchanged = new TreeSet<>();
        before.forEach((name, value) -> {
            if (after.containsKey(name)) {
                (value.equals(after.get(name)) ? unchanged : changed).add(name);
            }
        });
        return new ReloadPlan(added, removed, changed, unchanged);
    }

    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty() && changed.isEmpty();
    }
}
