package frostrelay.experiment;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A requirement on a simulation run: a lower or upper bound of a metric. */
public record Objective(String metric, boolean isLowerBound, double bound) {
    private static final Pattern PATTERN =
            Pattern.compile("\\s*(\\w+)\\s*(>=|<=)\\s*([0-9]+(?:\\.[0-9]+)?)\\s*");

    /**
     * Parses a text such as {@code afterwards >= 0.95}; throws {@link IllegalArgumentException}
     * with the allowed form.
     */
    public static Objective parse(String text) {
        Matcher parts = PATTERN.matcher(text);
        if (!parts.matches() || !Metrics.NAMES.contains(parts.group(1))) {
            throw new IllegalArgumentException(
                    "'"
                            + text
                            + "' is not a valid goal; expected METRIC >= NUMBER or METRIC <= NUMBER with one of the metrics "
                            + String.join(", ", Metrics.NAMES));
        }
        return new Objective(
                parts.group(1), parts.group(2).equals(">="), Double.parseDouble(parts.group(3)));
    }

    /** Returns how far the goal is missed, in the metric's unit; 0 or less if it is met. */
    public double shortfall(Map<String, Double> metrics) {
        double value = metrics.getOrDefault(metric, bound);
        return isLowerBound ? bound - value : value - bound;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s %s %s", metric, isLowerBound ? ">=" : "<=", bound);
    }
}
