package frostrelay.cli;

import frostrelay.experiment.Experiment;
import frostrelay.experiment.ExperimentFile;
import frostrelay.experiment.ExperimentRunner;
import frostrelay.experiment.ResultsFile;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

/** Plays an experiment, or plants, and writes what they came to. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = {
            "Plays an experiment (a file with an [experiment] table), or plants against each other, with the same seeds, on all"
                    + " cores, with the real decision module. Each day is in the results file as soon as it was played: a run that is"
                    + " interrupted goes on where it was. Ends in a report beside the results.",
            "Exits with 1 if a rule was broken on any day."
        })
final class ExperimentRunCommand implements Callable<Integer> {
    private static final double NANOS_PER_SECOND = 1e9;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Mixin private Output output;

    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "One experiment, or plants, in TOML.")
    private List<Path> files;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "Days of each plant (8); an experiment says its own.")
    private Integer seeds;

    @Option(names = "--threads", paramLabel = "N", description = "Without it one for each core.")
    private Integer threads;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Results, by lines of JSON (lab-out/NAME.jsonl).")
    private Path out;

    @Option(names = "--fresh", description = "Begin anew where results are there already.")
    private boolean fresh;

    @Override
    public Integer call() throws Exception {
        Experiment experiment = experiment();
        Path results = out != null ? out : Path.of("lab-out", experiment.name() + ".jsonl");
        if (fresh) {
            Files.deleteIfExists(results);
        }
        long start = System.nanoTime();
        int before;
        try (ResultsFile file = ResultsFile.open(results, experiment)) {
            before = file.size();
            if (before > 0) {
                output.progress(before + " days are there already");
            }
            ExperimentRunner.run(
                    experiment,
                    file,
                    ExperimentCommand.threads(threads),
                    (done, most) -> {
                        double left =
                                (System.nanoTime() - start)
                                        / NANOS_PER_SECOND
                                        / Math.max(1, done - before)
                                        * (most - done);
                        output.progress(
                                String.format(
                                        Locale.ROOT,
                                        "%d of at most %d days, %.0f s left",
                                        done,
                                        most,
                                        done <= before ? 0 : left));
                    });
        }
        ResultsFile.StoredResults storedResults = ResultsFile.read(results);
        ExperimentReportCommand.Written report =
                ExperimentReportCommand.write(storedResults, results);
        double took = (System.nanoTime() - start) / NANOS_PER_SECOND;
        report.figures().put("seconds", took);
        output.result(
                report.figures(),
                report.markdown()
                        + String.format(
                                Locale.ROOT,
                                "%n%.1f s; %s",
                                took,
                                ExperimentReportCommand.where(results)));
        return storedResults.allResults().stream().allMatch(day -> day.violationCount() == 0)
                ? 0
                : 1;
    }

    private Experiment experiment() {
        if (files.size() == 1 && CheckCommand.has(files.get(0), "[experiment]")) {
            if (seeds != null) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "an experiment says its own seeds");
            }
            return ExperimentFile.read(files.get(0));
        }
        return ExperimentFile.ofModels(files, seeds == null ? 8 : Math.max(1, seeds));
    }
}
