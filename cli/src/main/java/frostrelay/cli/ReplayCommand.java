package frostrelay.cli;

import frostrelay.experiment.RegressionRuns;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** Plays kept days again. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = {
            "Plays days that a hunt found and checks what must hold of each ([kept] must).",
            "Exits with 1 if one does not hold, or a rule is broken."
        })
final class ReplayCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "FILE")
    private List<Path> files;

    @Override
    public Integer call() {
        Map<String, Object> reportedRuns = new LinkedHashMap<>();
        StringBuilder text = new StringBuilder();
        boolean good = true;
        for (Path file : files) {
            RegressionRuns.ReplayResult one = RegressionRuns.replay(file);
            good &= one.hasPassed();
            reportedRuns.put(
                    file.toString(),
                    Map.of(
                            "value",
                            one.value(),
                            "must",
                            one.required().toString(),
                            "good",
                            one.hasPassed(),
                            "ruleBreaks",
                            one.violationCount()));
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%s: %s %.3f, must be %s%s%s%n",
                            file,
                            one.required().metric(),
                            one.value(),
                            one.required(),
                            one.shortfall() > 0 ? ": MISSED" : "",
                            one.violationCount() > 0 ? ": RULES BROKEN" : ""));
        }
        output.result(Map.of("good", good, "days", reportedRuns), text.toString().stripTrailing());
        return good ? 0 : 1;
    }
}
