package frostrelay.lab;

import frostrelay.config.TomlFile;
import frostrelay.config.Values;
import frostrelay.emulator.Emulation;
import frostrelay.emulator.Plant;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** Days that a hunt found, kept as plants with a goal that must hold since, and played again. */
public final class Kept {
    /** How a kept day went. {@code missedBy}: 0 or less where its goal is met. */
    public record Replayed(Goal must, double value, double missedBy, long breaks) {
        /** Whether its goal is met and no rule was broken. */
        public boolean good() {
            return missedBy <= 0 && breaks == 0;
        }
    }

    private Kept() {}

    /**
     * Writes a day: the plant without its own faults, what was found, and the goal as what must
     * hold.
     */
    public static void write(Path plant, Path file, Goal goal, Hunt.Found found)
            throws IOException {
        Values values =
                TomlFile.read(plant, PlantFile.form())
                        .without("fault")
                        .with("seed", String.valueOf(found.seed()), plant.toString(), 0)
                        .with("kept.goal", goal.toString(), plant.toString(), 0)
                        .with(
                                "kept.found",
                                String.format(Locale.ROOT, "%.4f", found.value()),
                                plant.toString(),
                                0)
                        .with("kept.must", goal.toString(), plant.toString(), 0);
        StringBuilder text = new StringBuilder("# Found by a hunt:\n");
        FaultWords.of(found.faults())
                .forEach(fault -> text.append("#   ").append(fault).append('\n'));
        text.append(values.write());
        found.faults().forEach(fault -> text.append('\n').append(FaultWords.toml(fault)));
        Files.writeString(file, text);
    }

    /**
     * Plays a kept day with its own seed; throws {@link frostrelay.config.BadConfigException} for a
     * bad file.
     */
    public static Replayed replay(Path file) {
        Values values = TomlFile.read(file, PlantFile.form());
        Plant plant = PlantFile.bind(file.toString(), values);
        Goal must = Goal.parse(values.table("kept").text("must"));
        Emulation.Result result = Emulation.play(plant);
        Map<String, Double> metrics = Metrics.of(plant, result);
        return new Replayed(
                must,
                metrics.getOrDefault(must.metric(), Double.NaN),
                must.missedBy(metrics),
                result.breaks());
    }
}
