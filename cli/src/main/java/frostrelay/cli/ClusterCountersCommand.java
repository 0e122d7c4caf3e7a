package frostrelay.cli;

import picocli.CommandLine.Command;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What balancers know of what their tier does together. */
@Command(
        name = "cluster-counters",
        mixinStandardHelpOptions = true,
        description = {
            "Asks consoles what all balancers of the tier do together, how many of them that covers and how old it is.",
            "Exits with 1 if one cannot be asked or keeps no counts. docs/health-reports.md says how to read it."
        })
final class ClusterCountersCommand extends AdminQueryCommand {
    @Override
    String header() {
        return "";
    }

    @Override
    boolean readStatus(Map<String, Object> status, Map<String, Object> row) {
        row.put("counts", status.getOrDefault("counts", "it keeps none"));
        row.put("countsOf", status.getOrDefault("countsOf", List.of()));
        return status.get("counts") instanceof Map<?, ?>;
    }

    @Override
    String formatRow(Map<String, Object> row) {
        StringBuilder text =
                new StringBuilder(
                        String.format("%s: %s%n", row.get("console"), row.get("balancer")));
        if (!(row.get("counts") instanceof Map<?, ?> totals)) {
            return text.append(String.format("  %s%n", row.get("counts"))).toString();
        }
        totals.forEach(
                (name, value) -> {
                    Map<?, ?> total = (Map<?, ?>) value;
                    text.append(
                            String.format(
                                    Locale.ROOT,
                                    "  %-12s %10s a second, %s to %s in all, covers %s of %s, %s ms old at most%n",
                                    name,
                                    total.get("rate"),
                                    total.get("known"),
                                    total.get("most"),
                                    total.get("covered"),
                                    total.get("of"),
                                    total.get("oldestMs")));
                });
        return text.toString();
    }
}
