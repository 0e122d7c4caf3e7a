package frostrelay.cli;

import picocli.CommandLine.Command;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What balancers say of caches, and what each makes of it, by their own consoles. */
@Command(
        name = "judgements",
        mixinStandardHelpOptions = true,
        description = {
            "Asks consoles what others say of each cache, how old that is, and what each balancer makes of it.",
            "Exits with 1 if one cannot be asked or keeps no judgements. docs/judgements.md says how to read it."
        })
final class JudgementsCommand extends ConsolesCommand {
    @Override
    String head() {
        return "";
    }

    @Override
    boolean read(Map<String, Object> said, Map<String, Object> row) {
        row.put("judgements", said.getOrDefault("judgements", "it keeps none"));
        return said.get("judgements") instanceof List<?>;
    }

    @Override
    String text(Map<String, Object> row) {
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
            for (Object word : (List<?>) cache.get("said")) {
                Map<?, ?> by = (Map<?, ?>) word;
                text.append(
                        String.format(
                                Locale.ROOT,
                                "    by %s, %s ms ago: %s answered, %s not %s%n",
                                by.get("by"),
                                by.get("ageMs"),
                                by.get("answered"),
                                by.get("not"),
                                by.get("kinds")));
            }
        }
        return text.toString();
    }
}
