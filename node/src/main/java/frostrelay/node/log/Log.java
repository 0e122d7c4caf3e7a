package frostrelay.node.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Where events are logged. Safe for threads. */
public final class Log {
    static final String NAME = "frostrelay";
    private static final Logger LOGGER = LoggerFactory.getLogger(NAME);

    private Log() {}

    /**
     * Whether lines of this event are written at present: what is costly to put into words need not
     * be.
     */
    public static boolean isEnabled(Event event) {
        return LOGGER.isEnabledForLevel(event.level);
    }

    /**
     * One line: the values of the event's fields, in their order. A null stands for nothing to say.
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
