package frostrelay.config;

import java.util.List;

/**
 * One key of a table: its allowed values and its purpose.
 *
 * @param defaultValue the default in the kind's unit; null if the key is required
 * @param min lower bound in the kind's unit, for ordered kinds
 * @param max upper bound in the kind's unit, for ordered kinds
 * @param choices the allowed texts, for {@link Kind#CHOICE}
 * @param purpose description for the users who write the file
 */
record Key(
        String name,
        Kind kind,
        Object defaultValue,
        double min,
        double max,
        List<String> choices,
        String purpose) {
    /** Describes the allowed values in words. */
    String allowed() {
        if (kind == Kind.CHOICE) {
            return "one of " + String.join(", ", choices);
        }
        if (!kind.isOrdered()) {
            return kind.description;
        }
        return kind.description + describeBounds();
    }

    private String describeBounds() {
        boolean hasMin = min > Double.NEGATIVE_INFINITY;
        boolean hasMax = max < Double.POSITIVE_INFINITY;
        if (hasMin && hasMax) {
            return " from " + formatBound(min) + " to " + formatBound(max);
        }
        if (hasMin) {
            return " of at least " + formatBound(min);
        }
        return hasMax ? " of at most " + formatBound(max) : "";
    }

    private String formatBound(double value) {
        Object typedValue =
                kind == Kind.RATE || kind == Kind.NUMBER ? (Object) value : (Object) (long) value;
        return kind.format(typedValue).replace("\"", "");
    }

    /** Returns whether a value of this kind satisfies the key's bounds or choices. */
    boolean isAllowed(Object value) {
        if (kind == Kind.CHOICE) {
            return choices.contains(value);
        }
        if (!kind.isOrdered()) {
            return !(value instanceof String text) || !text.isBlank();
        }
        double number = ((Number) value).doubleValue();
        return number >= min && number <= max;
    }
}
