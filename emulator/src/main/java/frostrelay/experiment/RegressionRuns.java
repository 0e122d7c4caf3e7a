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

/** Days that a hunt found, kept as plants with a goal that must hold since, and played again. */
public final class RegressionRuns {
    /** How a kept day went. {@code shortfall}: 0 or less where its goal is met. */
    public record ReplayResult(
            Objective required, double value, double shortfall, long violationCount) {
        /** Whether its goal is met and no rule was broken. */
        public boolean hasPassed() {
            return shortfall <= 0 && violationCount == 0;
        }
    }

    private RegressionRuns() {}

    /**
     * Writes a day: the plant without its own faults, what was found, and the goal as what must
     * hold.
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
        StringBuilder text = new StringBuilder("# Found by a hunt:\n");
        FaultFormat.describe(found.faults())
                .forEach(fault -> text.append("#   ").append(fault).append('\n'));
        text.append(values.toToml());
        found.faults().forEach(fault -> text.append('\n').append(FaultFormat.toToml(fault)));
        Files.writeString(file, text);
    }

    /**
     * Plays a kept day with its own seed; throws {@link frostrelay.config.BadConfigException} for a
     * bad file.
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
