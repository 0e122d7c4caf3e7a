package frostrelay.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * New settings in the numbering of the former ones. The module knows classes, tenants, zones and
 * kinds by their places in lists, and a file may name them in any order: what was named before
 * keeps its place, also if it is named no more, and what is new comes behind.
 */
final class SettingsMerge {
    private SettingsMerge() {}

    static Map<String, Object> merge(Map<?, ?> former, Map<?, ?> fresh) {
        Map<String, Object> merged = copy(fresh);
        for (String list : List.of("categories", "tenants")) {
            merged.put(list, named(Json.list(former, list), Json.list(fresh, list)));
        }
        renumber(merged, former, fresh, "zones", "my-zone");
        Map<String, Object> family = copy(Json.get(fresh, "family-info", Map.class, Map.of()));
        renumber(family, former, fresh, "kinds", "origin-kind");
        merged.put("kinds", family.remove("kinds"));
        merged.put("family-info", family);
        return merged;
    }

    private static Map<String, Object> copy(Map<?, ?> object) {
        Map<String, Object> copy = new LinkedHashMap<>();
        object.forEach((name, value) -> copy.put((String) name, value));
        return copy;
    }

    /** Names that the former settings hold and the fresh ones do not. */
    static Set<String> dropped(Map<?, ?> former, Map<?, ?> fresh, String list) {
        Set<String> dropped = new HashSet<>(names(Json.list(former, list)));
        names(Json.list(fresh, list)).forEach(dropped::remove);
        return dropped;
    }

    private static List<String> names(List<?> list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(Json.get(Json.object(item), "name", String.class)));
        return names;
    }

    private static List<Object> named(List<?> former, List<?> fresh) {
        Map<String, Object> merged = new LinkedHashMap<>();
        List<String> before = names(former);
        for (int i = 0; i < before.size(); i++) {
            merged.put(before.get(i), former.get(i));
        }
        List<String> now = names(fresh);
        for (int i = 0; i < now.size(); i++) {
            merged.put(now.get(i), fresh.get(i));
        }
        return List.copyOf(merged.values());
    }

    /**
     * Puts the merged list into an object, and into its {@code place} where that points to in the
     * list.
     */
    private static void renumber(
            Map<String, Object> object,
            Map<?, ?> former,
            Map<?, ?> fresh,
            String list,
            String place) {
        object.computeIfPresent(place, (name, at) -> place(former, fresh, list, at));
        object.put(list, words(former, fresh, list));
    }

    private static List<Object> words(Map<?, ?> former, Map<?, ?> fresh, String list) {
        List<Object> words = new ArrayList<>(Json.list(former, list));
        Json.list(fresh, list).stream().filter(word -> !words.contains(word)).forEach(words::add);
        return words;
    }

    /**
     * Where what stands at a place of the fresh list stands in the merged one; a place outside it
     * stays.
     */
    private static Object place(Map<?, ?> former, Map<?, ?> fresh, String list, Object at) {
        List<?> now = Json.list(fresh, list);
        int place = at instanceof Number number ? number.intValue() : -1;
        return place >= 0 && place < now.size()
                ? words(former, fresh, list).indexOf(now.get(place))
                : at;
    }
}
