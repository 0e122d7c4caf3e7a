package frostrelay.cli;

import frostrelay.config.Table;
import frostrelay.config.TomlFile;
import frostrelay.config.Values;
import frostrelay.log.LogSetup;
import frostrelay.node.Options;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.slf4j.event.Level;

/** What operators set beyond the platform's configuration: the form of {@code deploy/frostrelay.toml}. */
final class OwnSettings {
    private OwnSettings() {
    }

    static Table form() {
        return new Table("A balancer's own settings.")
                .table("log", new Table("What the balancer writes on standard error.")
                        .choice("format", "auto", List.of("auto", "json", "text"),
                                "JSON lines, text, or text on a terminal and JSON elsewhere.")
                        .choice("level", "info", List.of("debug", "info", "warn", "error"),
                                "Events below it are left out.")
                        .duration("counts-every", "10s", "250ms", "1h", "Between two lines of counts."))
                .table("reload", new Table("How a replaced configuration is found.")
                        .duration("look-every", "0ms", "0ms", "1h", "Looks at the platform's file for a change, besides"
                                + " the signal; 0ms looks only where the signal is ignored."));
    }

    /** Reads a file; throws {@link frostrelay.config.BadConfigException} with all that is wrong. */
    static Options read(Path file) {
        Values values = TomlFile.read(file, form());
        Values log = values.table("log");
        return new Options(LogSetup.Format.valueOf(log.text("format").toUpperCase(Locale.ROOT)),
                Level.valueOf(log.text("level").toUpperCase(Locale.ROOT)),
                values.table("reload").whole("look-every"), log.whole("counts-every"));
    }
}
