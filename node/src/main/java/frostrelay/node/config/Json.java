package frostrelay.node.config;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed access to parsed JSON. Missing values and values of another type are reported as {@link
 * ConfigException} with a one-line message that names the key.
 */
public final class Json {
    private Json() {}

    /**
     * Parses a JSON object.
     *
     * @throws ConfigException if the bytes are not a JSON object
     */
    public static Map<?, ?> parse(byte[] utf8) {
        try {
            return JSON.std.mapFrom(new String(utf8, StandardCharsets.UTF_8));
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            throw new ConfigException(
                    "not a JSON object: " + reason.lines().findFirst().orElse(""), e);
        }
    }

    /**
     * Returns the value of a required key.
     *
     * @throws ConfigException if it is missing or has another type
     */
    public static <T> T get(Map<?, ?> object, String name, Class<T> type) {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new ConfigException(
                    "'"
                            + name
                            + "' must be a "
                            + type.getSimpleName()
                            + ", found "
                            + typeName(value));
        }
        return type.cast(value);
    }

    /**
     * Returns the value of an optional key, or the default if it is missing or null.
     *
     * @throws ConfigException if it has another type
     */
    public static <T> T get(Map<?, ?> object, String name, Class<T> type, T defaultValue) {
        return object.get(name) == null ? defaultValue : get(object, name, type);
    }

    /**
     * Returns an item of a list of objects.
     *
     * @throws ConfigException if it is not an object
     */
    public static Map<?, ?> object(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException("a list of objects contains another value: " + typeName(value));
    }

    /**
     * Returns the list of an optional key; an empty list if it is missing or null.
     *
     * @throws ConfigException if it has another type
     */
    public static List<?> list(Map<?, ?> object, String name) {
        return get(object, name, List.class, List.of());
    }

    /** Returns the type of a value for messages, or "nothing" if the value is missing or null. */
    static String typeName(Object value) {
        return value == null ? "nothing" : value.getClass().getSimpleName();
    }

    /** Returns a shallow, mutable copy of an object, in the same order. */
    static Map<String, Object> copy(Map<?, ?> object) {
        Map<String, Object> copy = new LinkedHashMap<>();
        object.forEach((name, value) -> copy.put(String.valueOf(name), value));
        return copy;
    }
}
