package frostrelay.cli;

import frostrelay.experiment.ExperimentFile;
import frostrelay.experiment.FaultFormat;
import frostrelay.experiment.FaultSearch;
import frostrelay.experiment.Objective;
import frostrelay.experiment.RegressionRuns;
import frostrelay.experiment.SystemModelFile;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** Searches for days on which a goal is missed. */
@Command(
        name = "hunt",
        mixinStandardHelpOptions = true,
        description =
                "Searches for faults after which a plant misses a goal: at random, then by small changes to the worst; each find is"
                        + " made as small as it can be and kept as a plant that 'lab replay' plays again.")
final class FaultSearchCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Mixin private Output output;

    @Parameters(paramLabel = "PLANT")
    private Path modelFile;

    @Option(
            names = "--goal",
            paramLabel = "GOAL",
            defaultValue = "afterwards >= 0.9",
            description = "What must hold (${DEFAULT-VALUE}).")
    private String objective;

    @Option(
            names = "--tries",
            paramLabel = "N",
            defaultValue = "200",
            description = "Random tries (${DEFAULT-VALUE}).")
    private int tries;

    @Option(
            names = "--count",
            paramLabel = "N",
            defaultValue = "5",
            description = "Finds to keep (${DEFAULT-VALUE}).")
    private int count;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "2",
            description = "Days of each try (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Of the hunt (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--threads", paramLabel = "N", description = "Without it one for each core.")
    private Integer threads;

    @Option(
            names = "--keep",
            paramLabel = "DIR",
            defaultValue = "lab-out",
            description = "Where to (${DEFAULT-VALUE}).")
    private Path keep;

    @Override
    public Integer call() throws Exception {
        Objective what;
        List<FaultSearch.Finding> found;
        try {
            what = Objective.parse(objective);
            found =
                    FaultSearch.run(
                            SystemModelFile.read(modelFile),
                            what,
                            Math.max(1, tries),
                            Math.max(1, count),
                            Math.max(1, seeds),
                            seed,
                            ExperimentCommand.threads(threads),
                            output::progress);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        Files.createDirectories(keep);
        String name = ExperimentFile.name(modelFile);
        List<Object> reportedFaults = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < found.size(); i++) {
            FaultSearch.Finding one = found.get(i);
            Path file = keep.resolve(name + "-" + (i + 1) + ".toml");
            RegressionRuns.write(modelFile, file, what, one);
            Map<String, Object> each = new LinkedHashMap<>();
            each.put("file", file.toString());
            each.put("faults", FaultFormat.describe(one.faults()));
            each.put(what.metric(), one.value());
            reportedFaults.add(each);
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%s: %s %.3f after %d days played%n",
                            file,
                            what.metric(),
                            one.value(),
                            one.simulatedRuns()));
            FaultFormat.describe(one.faults())
                    .forEach(
                            fault ->
                                    text.append("    ")
                                            .append(fault)
                                            .append(System.lineSeparator()));
        }
        text.append(found.size()).append(" kept, goal ").append(what);
        output.result(Map.of("goal", what.toString(), "found", reportedFaults), text.toString());
        return 0;
    }
}
