package frostrelay.experiment;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.TableSchema;
import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;
import frostrelay.emulator.SystemModel;

import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.simple.RandomSource;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/**
 * The TOML format of an experiment: a system model, the parameters to vary, the number of runs and
 * an optional stop rule.
 */
public final class ExperimentFile {
    private static final int MAX_POINTS = 10_000;

    private ExperimentFile() {}

    /** Returns the schema, for validation and for the reference documentation. */
    public static TableSchema schema() {
        return new TableSchema("An experiment.")
                .table(
                        "experiment",
                        new TableSchema("The system model and the number of runs.")
                                .text(
                                        "plant",
                                        null,
                                        "The system model file to vary, relative to this file.")
                                .whole(
                                        "seeds",
                                        8L,
                                        1,
                                        10_000,
                                        "Maximum number of runs per point; all points use the same seeds.")
                                .choice(
                                        "design",
                                        "grid",
                                        List.of("grid", "random"),
                                        "All combinations of the swept values (grid) or a random sample of them.")
                                .whole(
                                        "points",
                                        50L,
                                        1,
                                        MAX_POINTS,
                                        "Number of sampled combinations if the design is random.")
                                .whole(
                                        "draw-seed",
                                        1L,
                                        0,
                                        Long.MAX_VALUE / 2,
                                        "Seed of the random sample."))
                .table(
                        "stop",
                        new TableSchema("The stop rule for the runs of a point.")
                                .choice(
                                        "metric",
                                        "service",
                                        Metrics.NAMES,
                                        "The metric of the stop rule.")
                                .number(
                                        "half",
                                        0.0,
                                        0,
                                        1e12,
                                        "Stop at this half width of the 95% confidence interval; 0 for never.")
                                .whole("least", 4L, 2, 10_000, "Minimum number of runs."))
                .list(
                        "sweep",
                        8,
                        new TableSchema("A key of the system model with several values.")
                                .text(
                                        "key",
                                        null,
                                        "The key, such as `clients.rate` or `class[0].aim`.")
                                .text("values", null, "The values, separated by commas."));
    }

    /**
     * Reads an experiment and its system model; throws {@link BadConfigException} with all
     * problems.
     */
    public static Experiment read(Path path) {
        return bind(path, TomlFile.read(path, schema()));
    }

    /**
     * Creates the experiment from values that match the schema; throws {@link BadConfigException}
     * for invalid values.
     */
    public static Experiment bind(Path path, TableValues values) {
        String file = path.toString();
        TableValues experimentTable = values.table("experiment");
        Path modelPath = path.resolveSibling(experimentTable.text("plant"));
        if (!Files.isRegularFile(modelPath)) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    file,
                                    experimentTable.line(),
                                    "experiment.plant",
                                    experimentTable.text("plant"),
                                    "the path of an existing file, relative to this one")));
        }
        TableValues modelValues = TomlFile.read(modelPath, SystemModelFile.schema());
        List<Map<String, String>> combinations = combinations(values.list("sweep"), file);
        if (experimentTable.text("design").equals("random")) {
            ListSampler.shuffle(
                    RandomSource.XO_RO_SHI_RO_128_PP.create(experimentTable.whole("draw-seed")),
                    combinations);
            combinations =
                    combinations.subList(
                            0,
                            (int) Math.min(combinations.size(), experimentTable.whole("points")));
        }
        List<Experiment.Point> points = new ArrayList<>();
        for (Map<String, String> settings : combinations) {
            TableValues varied = modelValues;
            for (TableValues sweep : values.list("sweep")) {
                varied =
                        varied.with(
                                sweep.text("key"),
                                settings.get(sweep.text("key")),
                                file,
                                sweep.line());
            }
            points.add(
                    new Experiment.Point(
                            label(settings),
                            settings,
                            SystemModelFile.bind(modelPath.toString(), varied)));
        }
        TableValues stop = values.table("stop");
        return new Experiment(
                name(path),
                digest(values.toToml() + modelValues.toToml()),
                points,
                (int) experimentTable.whole("seeds"),
                stop.number("half") == 0
                        ? null
                        : new Experiment.StopRule(
                                stop.text("metric"),
                                stop.number("half"),
                                (int) stop.whole("least")));
    }

    /** Creates an experiment with a point for each system model; sampled values differ by seed. */
    public static Experiment ofModels(List<Path> paths, int seeds) {
        List<Experiment.Point> points = new ArrayList<>();
        StringBuilder all = new StringBuilder().append(seeds);
        for (Path path : paths) {
            TableValues values = TomlFile.read(path, SystemModelFile.schema());
            all.append(values.toToml());
            String file = path.toString();
            LongFunction<SystemModel> modelOfSeed =
                    seed ->
                            SystemModelFile.bind(
                                    file, ParameterSampling.sample(file, values, seed));
            points.add(
                    new Experiment.Point(
                            name(path),
                            Map.of(),
                            modelOfSeed.apply(values.whole("seed")),
                            modelOfSeed));
        }
        return new Experiment(name(paths.get(0)), digest(all.toString()), points, seeds, null);
    }

    private static List<Map<String, String>> combinations(List<TableValues> sweeps, String file) {
        List<Map<String, String>> all = new ArrayList<>(List.of(Map.of()));
        for (TableValues sweep : sweeps) {
            List<String> each =
                    Arrays.stream(sweep.text("values").split(","))
                            .map(String::strip)
                            .filter(one -> !one.isEmpty())
                            .toList();
            if (each.isEmpty() || (long) all.size() * each.size() > MAX_POINTS) {
                throw new BadConfigException(
                        List.of(
                                new Problem(
                                        file,
                                        sweep.line(),
                                        "sweep.values",
                                        (long) all.size() * each.size() + " points",
                                        "from 1 to " + MAX_POINTS)));
            }
            List<Map<String, String>> extended = new ArrayList<>();
            for (Map<String, String> one : all) {
                for (String value : each) {
                    Map<String, String> combination = new LinkedHashMap<>(one);
                    if (combination.put(sweep.text("key"), value) != null) {
                        throw new BadConfigException(
                                List.of(
                                        new Problem(
                                                file,
                                                sweep.line(),
                                                "sweep.key",
                                                sweep.text("key") + " more than once",
                                                "each key once")));
                    }
                    extended.add(combination);
                }
            }
            all = extended;
        }
        return all;
    }

    private static String label(Map<String, String> settings) {
        return settings.isEmpty()
                ? "plant"
                : String.join(
                        ", ",
                        settings.entrySet().stream()
                                .map(one -> one.getKey() + "=" + one.getValue())
                                .toList());
    }

    /** Returns the file name without the extension, as the name of the experiment or point. */
    public static String name(Path path) {
        Path last = path.getFileName();
        return last == null ? "plant" : last.toString().replaceFirst("\\.toml$", "");
    }

    private static String digest(String text) {
        try {
            byte[] all =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(all, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
