package frostrelay.cli;

import picocli.CommandLine.Command;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What balancers say of caches, and what each makes of it, by their own consoles. */
@Command(
        name = "health-reports",
        mixinStandardHelpOptions = true,
        description = {
            "Asks consoles what others say of each cache, how old that is, and what each balancer makes of it.",
            "Exits with 1 if one cannot be asked or keeps no judgements. docs/health-reports.md says how to read it."
        })
final class HealthReportsCommand extends AdminQueryCommand {
    @Override
    String header() {
        return "";
    }

    @Override
    boolean readStatus(Map<String, Object> status, Map<String, Object> row) {
        row.put("judgements", status.getOrDefault("judgements", "it keeps none"));
        return status.get("judgements") instanceof List<?>;
    }

    @Override
    String formatRow(Map<String, Object> row) {
        StringBuilder text =
                new StringBuilder(
                        String.format("%s: %s%n", row.get("console"), row.get("balancer")));
        if (!(row.get("judgements") instanceof List<?> caches)) {
            return text.append(String.format("  %s%n", row.get("judgements"))).toString();
        }
        for (Object one : caches) {
            Map<?, ?> cache = (Map<?, ?>) one;
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %-20s %s%n",
                            cache.get("cache"),
                            Boolean.TRUE.equals(cache.get("lowered")) ? "lowered" : "as usual"));
            for (Object entry : (List<?>) cache.get("said")) {
                Map<?, ?> report = (Map<?, ?>) entry;
                text.append(
                        String.format(
                                Locale.ROOT,
                                "    by %s, %s ms ago: %s answered, %s not %s%n",
                                report.get("by"),
                                report.get("ageMs"),
                                report.get("answered"),
                                report.get("not"),
                                report.get("kinds")));
            }
        }
        return text.toString();
    }
}
