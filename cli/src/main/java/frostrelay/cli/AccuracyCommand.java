package frostrelay.cli;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.SystemModel;
import frostrelay.experiment.Interval;
import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.fleet.ScenarioResult;
import frostrelay.testbed.fleet.ScenarioRun;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;

import picocli.CommandLine;
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
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** Holds the emulator to sockets. */
@Command(
        name = "truth",
        mixinStandardHelpOptions = true,
        description = {
            "Plays days on the stand-ins with real balancers and on the emulator, and says how far apart they are.",
            "Exits with 1 if served in time differs by more than 0.05, p99 by more than 25%% or copies by more than 20%%."
        })
final class AccuracyCommand implements Callable<Integer> {
    private static final double MAX_SERVED_DIFFERENCE = 0.05;
    private static final double MAX_P99_DIFFERENCE = 0.25;
    private static final double MAX_HEDGING_DIFFERENCE = 0.2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "DAY", description = "Days for the fleet, in TOML.")
    private List<Path> files;

    @Option(
            names = "--runs",
            paramLabel = "N",
            defaultValue = "3",
            description = "Days on sockets, each with the next seed (${DEFAULT-VALUE}).")
    private int runs;

    @Override
    public Integer call() throws Exception {
        List<Object> rows = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        boolean withinBounds = true;
        for (Path file : files) {
            Scenario scenario = ScenarioFile.read(file);
            SystemModel model = toSystemModel(scenario);
            List<ScenarioResult> real = new ArrayList<>();
            for (int i = 0; i < Math.max(1, runs); i++) {
                Path folder = Checkout.folder();
                try {
                    output.progress(file + ": day " + (i + 1) + " of " + runs + " on sockets");
                    real.add(
                            ScenarioRun.run(
                                    scenario.withSeed(scenario.seed() + i),
                                    folder,
                                    Checkout.balancer(),
                                    line -> {}));
                } finally {
                    Checkout.remove(folder);
                }
            }
            List<Emulation.Result> emulated =
                    IntStream.range(0, 8)
                            .parallel()
                            .mapToObj(i -> Emulation.simulate(model.withSeed(scenario.seed() + i)))
                            .toList();
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("file", file.toString());
            withinBounds &=
                    compareMetric(
                            row,
                            text,
                            "served in time",
                            real,
                            r ->
                                    r.statistics().count(ClientStatistics.Outcome.IN_TIME)
                                            / (double) r.statistics().requests(),
                            emulated,
                            r -> r.statistics().inTime() / (double) r.statistics().asked(),
                            MAX_SERVED_DIFFERENCE,
                            false);
            withinBounds &=
                    compareMetric(
                            row,
                            text,
                            "p99, ms",
                            real,
                            r -> r.statistics().latencyMillis(99),
                            emulated,
                            r -> r.statistics().latencyMillis(99),
                            MAX_P99_DIFFERENCE,
                            true);
            withinBounds &=
                    compareMetric(
                            row,
                            text,
                            "copies",
                            real,
                            ScenarioResult::hedgeRatio,
                            emulated,
                            Emulation.Result::additionalAttemptRatio,
                            MAX_HEDGING_DIFFERENCE,
                            true);
            compareMetric(
                    row,
                    text,
                    "p50, ms",
                    real,
                    r -> r.statistics().latencyMillis(50),
                    emulated,
                    r -> r.statistics().latencyMillis(50),
                    1,
                    true);
            compareMetric(
                    row,
                    text,
                    "hit share",
                    real,
                    ScenarioResult::hitRatio,
                    emulated,
                    Emulation.Result::hitRatio,
                    1,
                    false);
            rows.add(row);
        }
        output.result(Map.of("good", withinBounds, "days", rows), text.toString().stripTrailing());
        return withinBounds ? 0 : 1;
    }

    private SystemModel toSystemModel(Scenario scenario) {
        try {
            return ScenarioModel.of(scenario);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private static boolean compareMetric(
            Map<String, Object> row,
            StringBuilder text,
            String name,
            List<ScenarioResult> real,
            ToDoubleFunction<ScenarioResult> ofReal,
            List<Emulation.Result> emulated,
            ToDoubleFunction<Emulation.Result> ofEmulated,
            double maxDifference,
            boolean relative) {
        Interval sockets = Interval.of(real.stream().mapToDouble(ofReal).toArray());
        Interval model = Interval.of(emulated.stream().mapToDouble(ofEmulated).toArray());
        double difference =
                relative ? model.mean() / sockets.mean() - 1 : model.mean() - sockets.mean();
        boolean within = Math.abs(difference) <= maxDifference;
        row.put(
                name,
                Map.of(
                        "sockets",
                        sockets.mean(),
                        "emulated",
                        model.mean(),
                        "apart",
                        difference,
                        "within",
                        within));
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-15s sockets %.4f +- %.4f, emulated %.4f +- %.4f: %+.1f%s%s%n",
                        name,
                        sockets.mean(),
                        sockets.halfWidth(),
                        model.mean(),
                        model.halfWidth(),
                        difference * 100,
                        relative ? "%" : " points",
                        within ? "" : " TOO FAR"));
        return within;
    }
}
