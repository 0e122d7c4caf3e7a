package frostrelay.cli;

import picocli.CommandLine.Command;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Which balancers lag behind, by their own consoles. */
@Command(
        name = "stale-instances",
        mixinStandardHelpOptions = true,
        description = {
            "Asks consoles how each balancer stands to the others: what it acts on, what it avoids on their word, whether it is aside.",
            "Exits with 1 if one is a straggler, stays behind, or cannot be asked. docs/staleness.md says what to do with one."
        })
final class StaleInstancesCommand extends AdminQueryCommand {
    private static final List<String> SHOWN_FIELDS =
            List.of(
                    "standing",
                    "newestList",
                    "behindMs",
                    "configStanding",
                    "newestConfig",
                    "avoids",
                    "heldByOthers",
                    "asked",
                    "aside");
    private static final List<String> STALE_STANDINGS =
            List.of("straggler", "unknown", "conflict", "refused", "stays-behind");

    @Override
    String header() {
        return String.format(
                Locale.ROOT,
                "%-16s %8s %-16s %s%n",
                "balancer",
                "list",
                "standing",
                "newest list, ms behind, configuration's standing, newest one, avoids, held by others, asked, aside");
    }

    @Override
    boolean readStatus(Map<String, Object> status, Map<String, Object> row) {
        row.put(
                "list",
                status.get("actsOn") instanceof Map<?, ?> versions
                        ? versions.get("list")
                        : "unknown");
        SHOWN_FIELDS.forEach(name -> row.put(name, status.getOrDefault(name, "unknown")));
        return !STALE_STANDINGS.contains(String.valueOf(row.get("standing")))
                && !STALE_STANDINGS.contains(String.valueOf(row.get("configStanding")));
    }

    @Override
    String formatRow(Map<String, Object> row) {
        return String.format(
                Locale.ROOT,
                "%-16s %8s %-16s %s%n",
                row.get("balancer"),
                row.get("list"),
                row.get("standing"),
                String.join(
                        ", ",
                        SHOWN_FIELDS.stream()
                                .skip(1)
                                .map(name -> String.valueOf(row.get(name)))
                                .toList()));
    }
}
