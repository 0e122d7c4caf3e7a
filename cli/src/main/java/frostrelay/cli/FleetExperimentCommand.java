package frostrelay.cli;

import frostrelay.experiment.Experiment;
import frostrelay.experiment.ExperimentFile;
import frostrelay.experiment.ExperimentRunner;
import frostrelay.experiment.Interval;
import frostrelay.experiment.ResultsFile;
import frostrelay.experiment.RunResult;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/** Plays the fleet days in simulated time. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Plays every day of a folder, each seed drawn from the day's ranges, with a hundred balancers that all run the real decision"
                    + " module. Prints a line a day; ends in a report with heat maps of balancers and caches.",
            "Exits with 1 if a rule was broken on any day."
        })
final class FleetExperimentCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Mixin private Output output;

    @Option(
            names = "--days",
            paramLabel = "FOLDER",
            description = "Where the days are (deploy/lab/fleet).")
    private Path days;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "8",
            description = "Of each day (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--threads", paramLabel = "N", description = "Without it one for each core.")
    private Integer threads;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            defaultValue = "lab-out/fleet.jsonl",
            description = "Results, by lines of JSON (${DEFAULT-VALUE}); they are written anew.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Experiment experiment = ExperimentFile.ofModels(files(), Math.max(1, seeds));
        Files.deleteIfExists(out);
        try (ResultsFile file = ResultsFile.open(out, experiment)) {
            ExperimentRunner.run(
                    experiment,
                    file,
                    ExperimentCommand.threads(threads),
                    (done, total) -> output.progress(done + " of " + total + " days"));
        }
        ResultsFile.StoredResults results = ResultsFile.read(out);
        ExperimentReportCommand.Written report = ExperimentReportCommand.write(results, out);
        output.result(report.figures(), lines(results) + ExperimentReportCommand.where(out));
        return results.allResults().stream().allMatch(scenario -> scenario.violationCount() == 0)
                ? 0
                : 1;
    }

    private List<Path> files() throws IOException {
        Path folder = days != null ? days : Checkout.root().resolve("deploy/lab/fleet");
        try (Stream<Path> all = Files.list(folder)) {
            List<Path> found =
                    all.filter(one -> one.toString().endsWith(".toml")).sorted().toList();
            if (found.isEmpty()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), folder + " holds no days");
            }
            return found;
        }
    }

    /** A line a day: what was served, the operators' goal, its prices, and what they are for. */
    private static String lines(ResultsFile.StoredResults results) {
        Map<String, String> columns = new LinkedHashMap<>();
        columns.put("service", "%7.3f");
        columns.put("goal", "%7.3f");
        columns.put("prices", "%7.3f");
        columns.put("refusedShare", "%7.3f");
        columns.put("failedShare", "%7.3f");
        columns.put("p99Ms", "%7.0f");
        columns.put("copyShare", "%7.3f");
        columns.put("handshakes", "%7.3f");
        columns.put("listLines", "%7.3f");
        columns.put("waste", "%7.3f");
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-8s  served   goal prices refuse failed    p99 copies"
                                        + " shakes  lists  waste  rules%n",
                                "day"));
        for (int point = 0; point < results.points().size(); point++) {
            List<RunResult> days = results.resultsOf(point);
            text.append(String.format(Locale.ROOT, "%-8s", results.points().get(point)));
            columns.forEach(
                    (name, form) ->
                            text.append(
                                    String.format(
                                            Locale.ROOT,
                                            form,
                                            Interval.of(
                                                            days.stream()
                                                                    .mapToDouble(
                                                                            day ->
                                                                                    day.metrics()
                                                                                            .get(
                                                                                                    name))
                                                                    .toArray())
                                                    .mean())));
            long broken = days.stream().mapToLong(RunResult::violationCount).sum();
            text.append(broken == 0 ? "  kept" : "  BROKEN " + broken)
                    .append(System.lineSeparator());
        }
        return text.toString();
    }
}
