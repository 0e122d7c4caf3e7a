package frostrelay.node.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Validates configurations. A replacement must contain all keys of the running configuration, as an
 * omitted key is more likely a mistake than a request for the default.
 */
final class ConfigValidator {
    /** Used only at the start and independent of other keys, so its content is not compared. */
    private static final String INITIAL_ENDPOINTS_KEY = "known";

    private static final List<String> EFFECTS = List.of("retryable", "dedup", "fragile");

    private ConfigValidator() {}

    /**
     * Validates a configuration that replaces a running one.
     *
     * @throws ConfigException if a key of the running one is missing or a value is invalid
     */
    static void checkReplacement(Map<?, ?> running, Map<?, ?> replacement) {
        requireSameShape("", running, replacement);
        checkValues(replacement);
    }

    private static void requireSameShape(String path, Object running, Object replacement) {
        if (replacement == null) {
            throw new ConfigException("'" + path + "' is missing");
        }
        if (running instanceof Map<?, ?> oldValue) {
            Map<?, ?> newValue = requireType(Map.class, path, replacement);
            oldValue.forEach(
                    (name, value) -> {
                        if (value != null) {
                            Object replacementValue = newValue.get(name);
                            requireSameShape(
                                    path.isEmpty() ? (String) name : path + "." + name,
                                    INITIAL_ENDPOINTS_KEY.equals(name)
                                                    && path.isEmpty()
                                                    && replacementValue != null
                                            ? replacementValue
                                            : value,
                                    replacementValue);
                        }
                    });
        } else if (running instanceof List<?> oldValue) {
            List<?> newValue = requireType(List.class, path, replacement);
            if (newValue.isEmpty() && !oldValue.isEmpty()) {
                throw new ConfigException("'" + path + "' is empty");
            }
            requireSameItemShape(path, oldValue, newValue);
        } else {
            Class<?> type = running instanceof Number ? Number.class : running.getClass();
            requireType(type, path, replacement);
        }
    }

    /** Each object of a list must have the keys that all objects of the old list had. */
    private static void requireSameItemShape(String path, List<?> oldValue, List<?> newValue) {
        if (!oldValue.stream().allMatch(Map.class::isInstance) || oldValue.isEmpty()) {
            return;
        }
        List<Object> commonKeys = new ArrayList<>(((Map<?, ?>) oldValue.get(0)).keySet());
        oldValue.forEach(item -> commonKeys.retainAll(((Map<?, ?>) item).keySet()));
        for (int i = 0; i < newValue.size(); i++) {
            Map<?, ?> item = requireType(Map.class, path + "." + i, newValue.get(i));
            for (Object name : commonKeys) {
                requireSameShape(
                        path + "." + i + "." + name,
                        ((Map<?, ?>) oldValue.get(0)).get(name),
                        item.get(name));
            }
        }
    }

    private static <T> T requireType(Class<T> type, String path, Object value) {
        if (!type.isInstance(value)) {
            throw new ConfigException(
                    "'"
                            + path
                            + "' must be a "
                            + type.getSimpleName()
                            + ", found "
                            + Json.typeName(value));
        }
        return type.cast(value);
    }

    /**
     * Validates the values of a configuration, at the start and when it is replaced.
     *
     * @throws ConfigException if a value is missing or invalid
     */
    static void checkValues(Map<?, ?> json) {
        requirePositive("limits", Json.get(json, "limits", Map.class, Map.of()), "sockets");
        Map<?, ?> settings = Json.get(json, "settings", Map.class);
        requirePositive("settings", settings, "n-instances");
        requirePositive(
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
            requirePositive(path, category, "deadline-ns", "goal-time-ns");
            String name = Json.get(category, "name", String.class);
            if (name.isEmpty() || names.contains(name)) {
                throw new ConfigException(
                        "'" + path + ".name' must be unique and not empty: '" + name + "'");
            }
            names.add(name);
            // The strictest effect is the default.
            String effect = Json.get(category, "effect", String.class, "fragile");
            if (!EFFECTS.contains(effect)) {
                throw new ConfigException(
                        "'"
                                + path
                                + ".effect' of class "
                                + name
                                + " must be one of "
                                + EFFECTS
                                + ": "
                                + effect);
            }
        }
    }

    private static void requirePositive(String path, Map<?, ?> object, String... names) {
        for (String name : names) {
            Number number = Json.get(object, name, Number.class, 1);
            if (!(number.doubleValue() >= 1) || Double.isInfinite(number.doubleValue())) {
                throw new ConfigException(
                        "'"
                                + path
                                + "."
                                + name
                                + "' must be a finite number of at least 1: "
                                + number);
            }
        }
    }
}
