package frostrelay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Whether a configuration can be meant, and one that replaces a running one is whole. What the
 * running one tells the new one must tell too: a default in place of a key that went missing would
 * be nobody's intention.
 */
final class ConfigCheck {
    /** Only used at a start, and with a life of its own: that it is there is enough. */
    private static final String KNOWN = "known";

    private static final List<String> EFFECTS = List.of("retryable", "dedup", "fragile");

    private ConfigCheck() {}

    /** Throws what is wrong, in one line. */
    static void replaces(Map<?, ?> running, Map<?, ?> fresh) {
        compare("", running, fresh);
        values(fresh);
    }

    private static void compare(String path, Object running, Object fresh) {
        if (fresh == null) {
            throw new ConfigException("'" + path + "' is missing");
        }
        if (running instanceof Map<?, ?> before) {
            Map<?, ?> now = as(Map.class, path, fresh);
            before.forEach(
                    (name, value) -> {
                        if (value != null) {
                            Object other = now.get(name);
                            compare(
                                    path.isEmpty() ? (String) name : path + "." + name,
                                    KNOWN.equals(name) && path.isEmpty() && other != null
                                            ? other
                                            : value,
                                    other);
                        }
                    });
        } else if (running instanceof List<?> before) {
            List<?> now = as(List.class, path, fresh);
            if (now.isEmpty() && !before.isEmpty()) {
                throw new ConfigException("'" + path + "' is empty");
            }
            compareItems(path, before, now);
        } else {
            Class<?> type = running instanceof Number ? Number.class : running.getClass();
            as(type, path, fresh);
        }
    }

    /** Each object of a list must tell what all of them told before. */
    private static void compareItems(String path, List<?> before, List<?> now) {
        if (!before.stream().allMatch(Map.class::isInstance) || before.isEmpty()) {
            return;
        }
        List<Object> common = new ArrayList<>(((Map<?, ?>) before.get(0)).keySet());
        before.forEach(item -> common.retainAll(((Map<?, ?>) item).keySet()));
        for (int i = 0; i < now.size(); i++) {
            Map<?, ?> item = as(Map.class, path + "." + i, now.get(i));
            for (Object name : common) {
                compare(
                        path + "." + i + "." + name,
                        ((Map<?, ?>) before.get(0)).get(name),
                        item.get(name));
            }
        }
    }

    private static <T> T as(Class<T> type, String path, Object value) {
        if (!type.isInstance(value)) {
            throw new ConfigException("'" + path + "' is no " + type.getSimpleName());
        }
        return type.cast(value);
    }

    /**
     * Whether what a configuration tells can be meant at all, at a start as well; throws what is
     * wrong, in one line.
     */
    static void values(Map<?, ?> json) {
        positive("limits", Json.get(json, "limits", Map.class, Map.of()), "sockets");
        Map<?, ?> settings = Json.get(json, "settings", Map.class);
        positive("settings", settings, "n-instances");
        positive(
                "settings.ceilings",
                Json.get(settings, "ceilings", Map.class, Map.of()),
                "max-attempts",
                "multiplex");
        List<String> names = new ArrayList<>();
        for (Object item : Json.list(settings, "categories")) {
            Map<?, ?> category = Json.object(item);
            String path = "settings.categories." + names.size();
            if (category.get("deadline-ns") == null) {
                throw new ConfigException("'" + path + ".deadline-ns' is missing");
            }
            positive(path, category, "deadline-ns", "goal-time-ns");
            String name = Json.get(category, "name", String.class);
            if (name.isEmpty() || names.contains(name)) {
                throw new ConfigException(
                        "'"
                                + path
                                + ".name': a class has no name, or that of another: '"
                                + name
                                + "'");
            }
            names.add(name);
            // Left out, the strictest holds.
            String effect = Json.get(category, "effect", String.class, "fragile");
            if (!EFFECTS.contains(effect)) {
                throw new ConfigException(
                        "'" + path + ".effect': unknown effect of class " + name + ": " + effect);
            }
        }
    }

    private static void positive(String path, Map<?, ?> object, String... names) {
        for (String name : names) {
            Number number = Json.get(object, name, Number.class, 1);
            if (!(number.doubleValue() >= 1) || Double.isInfinite(number.doubleValue())) {
                throw new ConfigException(
                        "'" + path + "." + name + "' is no positive number: " + number);
            }
        }
    }
}
