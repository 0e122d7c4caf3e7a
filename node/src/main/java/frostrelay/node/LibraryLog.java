package frostrelay.node;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * What libraries log, and our own packages outside this one, in short lines of our own. The JDK's own formatter opens a file of time zones at its first
 * line: where that line told of missing descriptors, this failed in turn and ended the event loop.
 */
final class LibraryLog extends Handler {
    private static final int MOST_LINES = 100;
    private static final String OWN = "frostrelay.";
    private int lines;

    private LibraryLog() {
    }

    static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLog());
    }

    @Override
    public void publish(LogRecord entry) {
        String name = String.valueOf(entry.getLoggerName());
        boolean own = name.startsWith(OWN) && entry.getLevel().intValue() >= Level.INFO.intValue();
        if (own || entry.getLevel().intValue() >= Level.WARNING.intValue() && ++lines <= MOST_LINES) {
            String cause = entry.getThrown() == null ? "" : " " + entry.getThrown();
            Counters.log((own ? "" : name + ": ") + entry.getMessage() + cause);
        }
    }

    @Override
    public void flush() {
        // Every line is written at once.
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
