package frostrelay.cli;

import picocli.CommandLine.Command;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Which balancers lag behind, by their own consoles. */
@Command(
        name = "stragglers",
        mixinStandardHelpOptions = true,
        description = {
            "Asks consoles how each balancer stands to the others: what it acts on, what it avoids on their word, whether it is aside.",
            "Exits with 1 if one is a straggler, stays behind, or cannot be asked. docs/stragglers.md says what to do with one."
        })
final class StragglersCommand extends ConsolesCommand {
    private static final List<String> SHOWN =
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
    private static final List<String> BAD =
            List.of("straggler", "unknown", "conflict", "refused", "stays-behind");

    @Override
    String head() {
        return String.format(
                Locale.ROOT,
                "%-16s %8s %-16s %s%n",
                "balancer",
                "list",
                "standing",
                "newest list, ms behind, configuration's standing, newest one, avoids, held by others, asked, aside");
    }

    @Override
    boolean read(Map<String, Object> said, Map<String, Object> row) {
        row.put(
                "list",
                said.get("actsOn") instanceof Map<?, ?> stamp ? stamp.get("list") : "unknown");
        SHOWN.forEach(name -> row.put(name, said.getOrDefault(name, "unknown")));
        return !BAD.contains(String.valueOf(row.get("standing")))
                && !BAD.contains(String.valueOf(row.get("configStanding")));
    }

    @Override
    String text(Map<String, Object> row) {
        return String.format(
                Locale.ROOT,
                "%-16s %8s %-16s %s%n",
                row.get("balancer"),
                row.get("list"),
                row.get("standing"),
                String.join(
                        ", ",
                        SHOWN.stream()
                                .skip(1)
                                .map(name -> String.valueOf(row.get(name)))
                                .toList()));
    }
}
