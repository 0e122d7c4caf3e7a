package frostrelay.node.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes events to the log. Thread-safe. */
public final class Log {
    static final String NAME = "frostrelay";
    private static final Logger LOGGER = LoggerFactory.getLogger(NAME);

    private Log() {}

    /**
     * Returns whether this event is written at the current level, so that callers can skip
     * computing costly field values.
     */
    public static boolean isEnabled(Event event) {
        return LOGGER.isEnabledForLevel(event.level);
    }

    /**
     * Writes one line with the values of the event's fields, in their declared order. A field whose
     * value is null is left out.
     *
     * @throws IllegalArgumentException if the number of values differs from that of the fields
     */
    public static void write(Event event, Object... values) {
        if (values.length != event.fields.size()) {
            throw new IllegalArgumentException(event + " has the fields " + event.fields);
        }
        LoggingEventBuilder line = LOGGER.atLevel(event.level).setMessage(event.logName());
        for (int i = 0; i < values.length; i++) {
            if (values[i] != null) {
                line = line.addKeyValue(event.fields.get(i), values[i]);
            }
        }
        line.log();
    }
}
