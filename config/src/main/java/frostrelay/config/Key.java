package frostrelay.config;

import java.util.List;

/**
 * One key of a table: what it may hold and what it is for. {@code defaultValue}: the value where
 * the file has none, in the kind's own unit, or null where the file must have one. {@code min} and
 * {@code max}: bounds in the kind's own unit, for kinds that have an order.
 */
record Key(
        String name,
        Kind kind,
        Object defaultValue,
        double min,
        double max,
        List<String> choices,
        String purpose) {
    /** What is allowed, in words. */
    String allowed() {
        if (kind == Kind.CHOICE) {
            return "one of " + String.join(", ", choices);
        }
        if (!kind.isOrdered()) {
            return kind.description;
        }
        boolean hasMin = min > Double.NEGATIVE_INFINITY;
        boolean hasMax = max < Double.POSITIVE_INFINITY;
        return kind.description
                + (hasMin && hasMax
                        ? " from " + formatBound(min) + " to " + formatBound(max)
                        : hasMin
                                ? " of at least " + formatBound(min)
                                : hasMax ? " of at most " + formatBound(max) : "");
    }

    private String formatBound(double value) {
        Object typedValue =
                kind == Kind.RATE || kind == Kind.NUMBER ? (Object) value : (Object) (long) value;
        return kind.format(typedValue).replace("\"", "");
    }

    /** Whether a value of the right kind lies within what is allowed. */
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
