package frostrelay.node.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges new settings into the numbering of the current ones. The decision module knows classes,
 * tenants, zones and kinds by their indexes in lists, and a file may list them in any order: known
 * names keep their index even if they are removed, and new ones are appended.
 */
final class SettingsMerge {
    private SettingsMerge() {}

    static Map<String, Object> merge(Map<?, ?> current, Map<?, ?> replacement) {
        Map<String, Object> merged = Json.copy(replacement);
        for (String list : List.of("categories", "tenants")) {
            merged.put(list, mergeByName(Json.list(current, list), Json.list(replacement, list)));
        }
        renumber(merged, current, replacement, "zones", "my-zone");
        Map<String, Object> family =
                Json.copy(Json.get(replacement, "family-info", Map.class, Map.of()));
        renumber(family, current, replacement, "kinds", "origin-kind");
        merged.put("kinds", family.remove("kinds"));
        merged.put("family-info", family);
        return merged;
    }

    /** Returns names in a list of the current settings that the new settings do not contain. */
    static Set<String> removedNames(Map<?, ?> current, Map<?, ?> replacement, String list) {
        Set<String> removed = new HashSet<>(names(Json.list(current, list)));
        names(Json.list(replacement, list)).forEach(removed::remove);
        return removed;
    }

    private static List<String> names(List<?> list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(Json.get(Json.object(item), "name", String.class)));
        return names;
    }

    private static List<Object> mergeByName(List<?> current, List<?> replacement) {
        Map<String, Object> merged = new LinkedHashMap<>();
        List<String> currentNames = names(current);
        for (int i = 0; i < currentNames.size(); i++) {
            merged.put(currentNames.get(i), current.get(i));
        }
        List<String> newNames = names(replacement);
        for (int i = 0; i < newNames.size(); i++) {
            merged.put(newNames.get(i), replacement.get(i));
        }
        return List.copyOf(merged.values());
    }

    /**
     * Puts the merged list into an object and adjusts the object's index into that list at {@code
     * indexKey}, if present.
     */
    private static void renumber(
            Map<String, Object> object,
            Map<?, ?> current,
            Map<?, ?> replacement,
            String list,
            String indexKey) {
        object.computeIfPresent(
                indexKey, (name, oldIndex) -> mergedIndex(current, replacement, list, oldIndex));
        object.put(list, mergeValues(current, replacement, list));
    }

    private static List<Object> mergeValues(Map<?, ?> current, Map<?, ?> replacement, String list) {
        List<Object> merged = new ArrayList<>(Json.list(current, list));
        Json.list(replacement, list).stream()
                .filter(value -> !merged.contains(value))
                .forEach(merged::add);
        return merged;
    }

    /**
     * Converts an index into the new list to the merged list; an index outside the new list is
     * kept.
     */
    private static Object mergedIndex(
            Map<?, ?> current, Map<?, ?> replacement, String list, Object oldIndex) {
        List<?> newValues = Json.list(replacement, list);
        int index = oldIndex instanceof Number number ? number.intValue() : -1;
        return index >= 0 && index < newValues.size()
                ? mergeValues(current, replacement, list).indexOf(newValues.get(index))
                : oldIndex;
    }
}
