package frostrelay.cli;

import picocli.CommandLine.Command;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What balancers know of what their tier does together. */
@Command(
        name = "counts",
        mixinStandardHelpOptions = true,
        description = {
            "Asks consoles what all balancers of the tier do together, how many of them that covers and how old it is.",
            "Exits with 1 if one cannot be asked or keeps no counts. docs/judgements.md says how to read it."
        })
final class CountsCommand extends ConsolesCommand {
    @Override
    String head() {
        return "";
    }

    @Override
    boolean read(Map<String, Object> said, Map<String, Object> row) {
        row.put("counts", said.getOrDefault("counts", "it keeps none"));
        row.put("countsOf", said.getOrDefault("countsOf", List.of()));
        return said.get("counts") instanceof Map<?, ?>;
    }

    @Override
    String text(Map<String, Object> row) {
        StringBuilder text =
                new StringBuilder(
                        String.format("%s: %s%n", row.get("console"), row.get("balancer")));
        if (!(row.get("counts") instanceof Map<?, ?> all)) {
            return text.append(String.format("  %s%n", row.get("counts"))).toString();
        }
        all.forEach(
                (name, value) -> {
                    Map<?, ?> sum = (Map<?, ?>) value;
                    text.append(
                            String.format(
                                    Locale.ROOT,
                                    "  %-12s %10s a second, %s to %s in all, covers %s of %s, %s ms old at most%n",
                                    name,
                                    sum.get("rate"),
                                    sum.get("known"),
                                    sum.get("most"),
                                    sum.get("covered"),
                                    sum.get("of"),
                                    sum.get("oldestMs")));
                });
        return text.toString();
    }
}
