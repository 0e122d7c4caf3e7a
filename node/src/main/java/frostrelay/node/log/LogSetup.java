package frostrelay.node.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.spi.FilterReply;

import org.slf4j.LoggerFactory;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Configures Logback in code, as parsing an XML file would dominate the start-up cost of logging.
 * Logback loads this class as a service.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** The form of log lines. */
    public enum Format {
        /** A JSON object per line. */
        JSON,
        /** Text for a terminal. */
        TEXT,
        /** Text on a terminal, JSON otherwise. */
        AUTO
    }

    static final String BALANCER_PROPERTY = "balancer";

    /**
     * Limit on the lines of libraries during the lifetime of a process; later lines are assumed to
     * be repetitions.
     */
    private static final int MAX_LIBRARY_LINES = 100;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        apply(context, Format.AUTO, Level.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /**
     * Applies the format, the lowest level that is written and the balancer's name to all lines.
     */
    public static void apply(Format format, org.slf4j.event.Level minLevel, String balancer) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.putProperty(BALANCER_PROPERTY, balancer);
        apply(context, format, Level.convertAnSLF4JLevel(minLevel));
    }

    private static void apply(LoggerContext context, Format format, Level minLevel) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        LineEncoder encoder =
                new LineEncoder(
                        format == Format.JSON || format == Format.AUTO && System.console() == null);
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.addFilter(new LibraryLimit());
        appender.start();
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        context.getLogger(Log.NAME).setLevel(minLevel);
    }

    /** Passes the balancer's own lines and a limited number of lines of libraries. */
    private static final class LibraryLimit extends Filter<ILoggingEvent> {
        private final AtomicInteger lineCount = new AtomicInteger();

        @Override
        public FilterReply decide(ILoggingEvent event) {
            return event.getLoggerName().equals(Log.NAME)
                            || lineCount.incrementAndGet() <= MAX_LIBRARY_LINES
                    ? FilterReply.NEUTRAL
                    : FilterReply.DENY;
        }
    }
}
