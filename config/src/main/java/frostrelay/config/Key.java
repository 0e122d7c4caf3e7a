package frostrelay.config;

import java.util.List;

/**
 * One key of a table: what it may hold and what it is for. {@code standard}: the value where the
 * file has none, in the kind's own unit, or null where the file must have one. {@code least} and
 * {@code most}: bounds in the kind's own unit, for kinds that have an order.
 */
record Key(
        String name,
        Kind kind,
        Object standard,
        double least,
        double most,
        List<String> choices,
        String purpose) {
    /** What is allowed, in words. */
    String allowed() {
        if (kind == Kind.CHOICE) {
            return "one of " + String.join(", ", choices);
        }
        if (!kind.ordered()) {
            return kind.form;
        }
        boolean below = least > Double.NEGATIVE_INFINITY;
        boolean above = most < Double.POSITIVE_INFINITY;
        return kind.form
                + (below && above
                        ? " from " + bound(least) + " to " + bound(most)
                        : below
                                ? " of at least " + bound(least)
                                : above ? " of at most " + bound(most) : "");
    }

    private String bound(double value) {
        Object own =
                kind == Kind.RATE || kind == Kind.NUMBER ? (Object) value : (Object) (long) value;
        return kind.write(own).replace("\"", "");
    }

    /** Whether a value of the right kind lies within what is allowed. */
    boolean admits(Object value) {
        if (kind == Kind.CHOICE) {
            return choices.contains(value);
        }
        if (!kind.ordered()) {
            return !(value instanceof String text) || !text.isBlank();
        }
        double number = ((Number) value).doubleValue();
        return number >= least && number <= most;
    }
}
