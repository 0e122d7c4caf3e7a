package frostrelay.settings;

import java.util.HashMap;
import java.util.Map;

/** Settings text split into keys and values, with typed access and defaults for missing keys. */
final class SettingsText {
    /** Largest list size that is accepted; a larger one indicates a corrupt message. */
    private static final int MAX_LIST_ITEMS = 10_000;

    private final Map<String, String> values = new HashMap<>();

    /** Splits the text; lines without a key and an equals sign are ignored. */
    SettingsText(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    boolean contains(String key) {
        return values.containsKey(key);
    }

    String readText(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    /** Returns whether the value is exactly "true". */
    boolean readBoolean(String key) {
        return readText(key, "false").equals("true");
    }

    /**
     * Returns the number of items of a list, 0 by default.
     *
     * @throws SettingsException if the value is not a number, or negative or too large for a list
     */
    int readCount(String key) {
        long count = readLong(key, 0);
        if (count < 0 || count > MAX_LIST_ITEMS) {
            throw new SettingsException(
                    "setting "
                            + key
                            + " is out of range: found "
                            + count
                            + ", allowed 0 to "
                            + MAX_LIST_ITEMS);
        }
        return (int) count;
    }

    /** Returns the low 32 bits of an integer. */
    int readInt(String key, int defaultValue) {
        return (int) readLong(key, defaultValue);
    }

    /**
     * Returns an integer; other decimal numbers are truncated, a missing or empty value gives the
     * default.
     *
     * @throws SettingsException if the value is not a finite number
     */
    long readLong(String key, long defaultValue) {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            // Integers may also be written as decimal numbers, such as 1e9.
            return (long) readDouble(key, defaultValue);
        }
    }

    /**
     * Returns a decimal number; a missing or empty value gives the default.
     *
     * @throws SettingsException if the value is not a finite number
     */
    double readDouble(String key, double defaultValue) {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        double number = parseDouble(key, value);
        if (!Double.isFinite(number)) {
            throw new SettingsException(notANumber(key, value));
        }
        return number;
    }

    private static double parseDouble(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new SettingsException(notANumber(key, value), e);
        }
    }

    private static String notANumber(String key, String value) {
        return "setting " + key + " is not a finite number: found " + value;
    }
}
