package frostrelay.config;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Types of values, each with its form in a file and the unit of the parsed value. */
enum Kind {
    /** Parsed to nanoseconds; written with a unit. */
    DURATION(
            "a duration with a unit, as \"250ms\", \"2s\" or \"1m\"",
            units(
                    "us",
                    1_000L,
                    "ms",
                    1_000_000L,
                    "s",
                    1_000_000_000L,
                    "m",
                    60_000_000_000L,
                    "h",
                    3_600_000_000_000L)),
    /** Parsed to bytes; written with a unit. */
    BYTES(
            "a size with a unit, as \"512B\", \"64KiB\" or \"10MB\"",
            units(
                    "B",
                    1L,
                    "KB",
                    1_000L,
                    "MB",
                    1_000_000L,
                    "GB",
                    1_000_000_000L,
                    "KiB",
                    1L << 10,
                    "MiB",
                    1L << 20,
                    "GiB",
                    1L << 30)),
    /** Parsed to a number per second; written with a time span. */
    RATE("a rate, as \"200/s\" or \"600/min\"", Map.of()),
    WHOLE("a whole number", Map.of()),
    NUMBER("a number", Map.of()),
    TEXT("a text in quotes", Map.of()),
    CHOICE("a text in quotes", Map.of()),
    BOOL("true or false", Map.of());

    private static final Pattern QUANTITY =
            Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*([A-Za-z]+)");
    private static final Pattern PER_SPAN =
            Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*/\\s*(s|min|h)");

    /** Seconds of the time spans of rates. */
    private static final Map<String, Integer> SPANS = Map.of("s", 1, "min", 60, "h", 3_600);

    /** Largest duration or size, chosen so that the sum of a few values does not overflow. */
    private static final BigDecimal MAX_QUANTITY = BigDecimal.valueOf(Long.MAX_VALUE / 4);

    final String description;
    private final Map<String, Long> units;

    Kind(String description, Map<String, Long> units) {
        this.description = description;
        this.units = units;
    }

    private static Map<String, Long> units(Object... pairs) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            units.put((String) pairs[i], (Long) pairs[i + 1]);
        }
        return units;
    }

    /** Returns the value in the unit of this kind; null if the raw value is of another kind. */
    Object parse(Object raw) {
        return switch (this) {
            case DURATION, BYTES -> raw instanceof String text ? parseQuantity(text.trim()) : null;
            case RATE -> raw instanceof String text ? parseRate(text.trim()) : null;
            case WHOLE -> raw instanceof Long ? raw : null;
            case NUMBER ->
                    raw instanceof Long whole
                            ? Double.valueOf(whole)
                            : raw instanceof Double number && Double.isFinite(number)
                                    ? number
                                    : null;
            case TEXT, CHOICE -> raw instanceof String ? raw : null;
            case BOOL -> raw instanceof Boolean ? raw : null;
        };
    }

    private Long parseQuantity(String text) {
        Matcher parts = QUANTITY.matcher(text);
        Long unit = parts.matches() ? units.get(parts.group(2)) : null;
        if (unit == null) {
            return null;
        }
        BigDecimal value = new BigDecimal(parts.group(1)).multiply(BigDecimal.valueOf(unit));
        return value.compareTo(MAX_QUANTITY) > 0 ? null : Long.valueOf(value.longValue());
    }

    private static Double parseRate(String text) {
        Matcher parts = PER_SPAN.matcher(text);
        return parts.matches()
                ? Double.parseDouble(parts.group(1)) / SPANS.get(parts.group(2))
                : null;
    }

    /** Formats a value as in a file. */
    String format(Object value) {
        return switch (this) {
            case DURATION, BYTES -> '"' + formatInLargestUnit((Long) value) + '"';
            case RATE -> '"' + formatNumber((Double) value) + "/s\"";
            case NUMBER -> formatNumber((Double) value);
            case TEXT, CHOICE ->
                    '"' + value.toString().replace("\\", "\\\\").replace("\"", "\\\"") + '"';
            default -> value.toString();
        };
    }

    private String formatInLargestUnit(long value) {
        String formatted = null;
        long bestUnit = 0;
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            if (value % unit.getValue() == 0
                    && unit.getValue() > bestUnit
                    && (value > 0 || unit.getValue() == 1_000_000L)) {
                bestUnit = unit.getValue();
                formatted = value / bestUnit + unit.getKey();
            }
        }
        return formatted != null ? formatted : value + units.keySet().iterator().next();
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.format(Locale.ROOT, "%.0f", value)
                : Double.toString(value);
    }

    /** Returns whether values are ordered and may therefore have bounds. */
    boolean isOrdered() {
        return !List.of(TEXT, CHOICE, BOOL).contains(this);
    }
}
