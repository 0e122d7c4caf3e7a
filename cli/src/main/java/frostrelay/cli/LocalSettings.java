package frostrelay.cli;

import frostrelay.config.TableSchema;
import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;
import frostrelay.node.Options;
import frostrelay.node.cluster.ClusterOptions;
import frostrelay.node.log.LogSetup;

import org.slf4j.event.Level;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * What operators set beyond the platform's configuration: the form of {@code
 * deploy/frostrelay.toml}.
 */
final class LocalSettings {
    private LocalSettings() {}

    static TableSchema schema() {
        return new TableSchema("A balancer's own settings.")
                .table(
                        "log",
                        new TableSchema("What the balancer writes on standard error.")
                                .choice(
                                        "format",
                                        "auto",
                                        List.of("auto", "json", "text"),
                                        "JSON lines, text, or text on a terminal and JSON elsewhere.")
                                .choice(
                                        "level",
                                        "info",
                                        List.of("debug", "info", "warn", "error"),
                                        "Events below it are left out.")
                                .duration(
                                        "counts-every",
                                        "10s",
                                        "250ms",
                                        "1h",
                                        "Between two lines of counts."))
                .table(
                        "reload",
                        new TableSchema("How a replaced configuration is found.")
                                .duration(
                                        "look-every",
                                        "0ms",
                                        "0ms",
                                        "1h",
                                        "Looks at the platform's file for a change, besides"
                                                + " the signal; 0ms looks only where the signal is ignored."))
                .table(
                        "peers",
                        new TableSchema("Talk with the other balancers of the tier.")
                                .bool(
                                        "enabled",
                                        false,
                                        "Whether it talks; the platform's own ceilings.peer-messages has to allow it"
                                                + " as well.")
                                .bool(
                                        "stragglers",
                                        false,
                                        "Whether it brings itself up to what others act on, avoids caches that they"
                                                + " know as draining, and steps aside where it lags behind for long.")
                                .bool(
                                        "holds",
                                        false,
                                        "With stragglers: tells its operators' holds and heeds those that two others'"
                                                + " operators set.")
                                .choice(
                                        "settings",
                                        "tell",
                                        List.of("tell", "hand-over"),
                                        "With stragglers: a later configuration is only"
                                                + " known to be there, or its settings are taken from others where the file lacks them.")
                                .bool(
                                        "judgements",
                                        false,
                                        "Whether it tells what it sees of caches, and lowers those that others find bad.")
                                .bool(
                                        "counts",
                                        false,
                                        "Whether it tells what it does, and sums up what the others say of themselves.")
                                .bytes(
                                        "ceiling",
                                        "2KiB",
                                        "256B",
                                        "1MiB",
                                        "Sent in any second at most; each receiver is paid for."))
                .table(
                        "audit",
                        new TableSchema("Its account of what it acts on.")
                                .bool("enabled", false, "Whether it keeps one.")
                                .bytes(
                                        "memory",
                                        "256KiB",
                                        "4KiB",
                                        "64MiB",
                                        "Of the account that the console tells from memory.")
                                .text(
                                        "folder",
                                        "",
                                        "Where it is kept besides, below $TMPDIR if relative; empty for memory alone.")
                                .bytes(
                                        "folder-most",
                                        "8MiB",
                                        "64KiB",
                                        "64GiB",
                                        "What the folder may take; the oldest goes first.")
                                .bool(
                                        "each-send",
                                        false,
                                        "Whether every send is entered by itself, with its request's id."));
    }

    /** Reads a file; throws {@link frostrelay.config.BadConfigException} with all that is wrong. */
    static Options read(Path file) {
        TableValues values = TomlFile.read(file, schema());
        TableValues log = values.table("log");
        return new Options(
                LogSetup.Format.valueOf(log.text("format").toUpperCase(Locale.ROOT)),
                Level.valueOf(log.text("level").toUpperCase(Locale.ROOT)),
                values.table("reload").whole("look-every"),
                log.whole("counts-every"),
                fleet(values.table("peers"), values.table("audit")));
    }

    private static ClusterOptions fleet(TableValues peers, TableValues audit) {
        String folder = audit.text("folder");
        return new ClusterOptions(
                peers.bool("enabled"),
                (int) peers.whole("ceiling"),
                peers.bool("stragglers"),
                peers.bool("holds"),
                "hand-over".equals(peers.text("settings")),
                peers.bool("judgements"),
                peers.bool("counts"),
                audit.bool("enabled"),
                (int) audit.whole("memory"),
                audit.bool("each-send"),
                folder.isEmpty() ? null : Path.of(folder),
                audit.whole("folder-most"));
    }
}
