package frostrelay.experiment;

import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;
import frostrelay.emulator.Emulation;
import frostrelay.emulator.SystemModel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** Regression runs: system models with faults from a search, stored with a goal they must meet. */
public final class RegressionRuns {
    /** The result of a regression run; {@code shortfall} is 0 or less if its goal is met. */
    public record ReplayResult(
            Objective required, double value, double shortfall, long violationCount) {
        /** Returns whether the goal was met and no invariant was violated. */
        public boolean hasPassed() {
            return shortfall <= 0 && violationCount == 0;
        }
    }

    private RegressionRuns() {}

    /**
     * Writes a regression run: the model without its own faults, the faults found, and the goal as
     * the requirement.
     */
    public static void write(Path model, Path file, Objective objective, FaultSearch.Finding found)
            throws IOException {
        TableValues values =
                TomlFile.read(model, SystemModelFile.schema())
                        .without("fault")
                        .with("seed", String.valueOf(found.seed()), model.toString(), 0)
                        .with("kept.goal", objective.toString(), model.toString(), 0)
                        .with(
                                "kept.found",
                                String.format(Locale.ROOT, "%.4f", found.value()),
                                model.toString(),
                                0)
                        .with("kept.must", objective.toString(), model.toString(), 0);
        StringBuilder text = new StringBuilder("# Found by a fault search:\n");
        FaultFormat.describe(found.faults())
                .forEach(fault -> text.append("#   ").append(fault).append('\n'));
        text.append(values.toToml());
        found.faults().forEach(fault -> text.append('\n').append(FaultFormat.toToml(fault)));
        Files.writeString(file, text);
    }

    /**
     * Repeats a regression run with its stored seed; throws {@link
     * frostrelay.config.BadConfigException} for an invalid file.
     */
    public static ReplayResult replay(Path file) {
        TableValues values = TomlFile.read(file, SystemModelFile.schema());
        SystemModel model = SystemModelFile.bind(file.toString(), values);
        Objective required = Objective.parse(values.table("kept").text("must"));
        Emulation.Result result = Emulation.simulate(model);
        Map<String, Double> metrics = Metrics.of(model, result);
        return new ReplayResult(
                required,
                metrics.getOrDefault(required.metric(), Double.NaN),
                required.shortfall(metrics),
                result.violationCount());
    }
}
