package frostrelay.cli;

import frostrelay.experiment.Comparison;
import frostrelay.experiment.Comparison.Difference;
import frostrelay.experiment.ResultsFile;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** Says what differs between two files of results. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = {
            "Says what differs between two files of results beyond chance: points of the same name, days of the same seed, by"
                    + " Student's t with Holm's correction over all that is compared.",
            "Exits with 1 if the two have no days in common."
        })
final class ExperimentCompareCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Parameters(index = "0", paramLabel = "FIRST")
    private Path first;

    @Parameters(index = "1", paramLabel = "SECOND")
    private Path second;

    @Option(names = "--all", description = "Also what chance alone may have made.")
    private boolean all;

    @Override
    public Integer call() throws Exception {
        List<Difference> differences =
                Comparison.of(ResultsFile.read(first), ResultsFile.read(second));
        StringBuilder text = new StringBuilder();
        List<Object> reportedDifferences = new ArrayList<>();
        for (Difference one : differences) {
            if (all || one.isSignificant()) {
                text.append(
                        String.format(
                                Locale.ROOT,
                                "%s: %s %.4f to %.4f, %+.4f +- %.4f over %d days%s%n",
                                one.point(),
                                one.metric(),
                                one.first().mean(),
                                one.second().mean(),
                                one.difference().mean(),
                                one.difference().halfWidth(),
                                one.days(),
                                one.isSignificant() ? "" : " (chance)"));
                Map<String, Object> each = new LinkedHashMap<>();
                each.put("point", one.point());
                each.put("metric", one.metric());
                each.put("difference", one.difference().mean());
                each.put("half", one.difference().halfWidth());
                each.put("chance", one.pValue());
                each.put("beyondChance", one.isSignificant());
                reportedDifferences.add(each);
            }
        }
        long beyond = differences.stream().filter(Difference::isSignificant).count();
        text.append(
                differences.isEmpty()
                        ? "no days in common"
                        : beyond
                                + " of "
                                + differences.size()
                                + " comparisons differ beyond chance");
        output.result(
                Map.of("compared", differences.size(), "differences", reportedDifferences),
                text.toString());
        return differences.isEmpty() ? 1 : 0;
    }
}
