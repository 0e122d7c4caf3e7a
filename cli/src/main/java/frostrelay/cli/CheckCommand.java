package frostrelay.cli;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;
import frostrelay.experiment.ExperimentFile;
import frostrelay.experiment.SystemModelFile;
import frostrelay.testbed.campaign.ScheduleFile;
import frostrelay.testbed.scenario.ScenarioFile;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/** Says what is wrong with configuration files, without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {
            "Checks files and says everything that is wrong with them: a balancer's own settings (frostrelay.toml), a day for"
                    + " the fleet (a file with [[class]] tables), an experiment (with an [experiment] table), a plant for the lab (with a [plant] table),"
                    + " a schedule of a campaign (with [[happening]] tables), or the platform's JSON.",
            "Exits with 1 if any file is refused."
        })
final class CheckCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "FILE")
    private List<Path> files;

    @Option(
            names = "--effective",
            description = "Print the values in force, those that a file leaves out included.")
    private boolean effective;

    @Override
    public Integer call() {
        List<Object> fileReports = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        boolean good = true;
        for (Path file : files) {
            List<Problem> problems = new ArrayList<>();
            String values = "";
            try {
                values = check(file);
            } catch (BadConfigException e) {
                problems.addAll(e.problems());
            }
            good &= problems.isEmpty();
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("file", file.toString());
            one.put("good", problems.isEmpty());
            one.put("problems", problems.stream().map(CheckCommand::json).toList());
            if (effective) {
                one.put("effective", values);
            }
            fileReports.add(one);
            problems.forEach(problem -> text.append(problem).append(System.lineSeparator()));
            if (problems.isEmpty()) {
                text.append(file)
                        .append(": good")
                        .append(System.lineSeparator())
                        .append(effective ? values : "");
            }
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("good", good);
        all.put("files", fileReports);
        output.result(all, text.toString().stripTrailing());
        return good ? 0 : 1;
    }

    /** The values in force, in words; throws what is wrong. */
    private static String check(Path file) {
        String name = file.getFileName() == null ? "" : file.getFileName().toString();
        if (name.endsWith(".json")) {
            return Platform.check(file);
        }
        TableValues values;
        if (has(file, "[experiment]")) {
            values = TomlFile.read(file, ExperimentFile.schema());
            ExperimentFile.bind(file, values);
        } else if (has(file, "[plant]")) {
            values = TomlFile.read(file, SystemModelFile.schema());
            SystemModelFile.bind(file.toString(), values);
        } else if (has(file, "[[happening]]")) {
            values = TomlFile.read(file, ScheduleFile.form());
            ScheduleFile.bind(file.toString(), values);
        } else if (has(file, "[[class]]")) {
            values = TomlFile.read(file, ScenarioFile.schema());
            ScenarioFile.bind(file.toString(), values);
        } else {
            // Its form says all that must hold.
            values = TomlFile.read(file, LocalSettings.schema());
        }
        return values.toToml();
    }

    /** Whether a file has a table with this head; false where it cannot be read. */
    static boolean has(Path file, String head) {
        try {
            return Files.readString(file).lines().anyMatch(line -> line.strip().startsWith(head));
        } catch (java.io.IOException e) {
            return false;
        }
    }

    private static Map<String, Object> json(Problem problem) {
        Map<String, Object> one = new LinkedHashMap<>();
        one.put("line", problem.line());
        one.put("key", problem.key());
        one.put("found", problem.found());
        one.put("allowed", problem.allowed());
        return one;
    }
}
