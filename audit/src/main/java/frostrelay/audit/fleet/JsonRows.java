package frostrelay.audit.fleet;

import frostrelay.audit.fleet.ClockAlignment.TimeInterval;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the JSON objects that queries return; the order of the keys is kept. */
final class JsonRows {
    static final double NANOS_PER_MILLISECOND = 1e6;

    private JsonRows() {}

    /** Returns {@code [earliest, latest]} in whole milliseconds. */
    static List<Object> toMillis(TimeInterval interval) {
        return List.of(
                Math.round(interval.earliestNanos() / NANOS_PER_MILLISECOND),
                Math.round(interval.latestNanos() / NANOS_PER_MILLISECOND));
    }

    /** Builds an object from alternating keys, which are strings, and values, which may be null. */
    static Map<String, Object> jsonObject(Object... pairs) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        return object;
    }
}
