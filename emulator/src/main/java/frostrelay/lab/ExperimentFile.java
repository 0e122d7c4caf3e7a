package frostrelay.lab;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.Table;
import frostrelay.config.TomlFile;
import frostrelay.config.Values;
import frostrelay.emulator.Plant;

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
 * The form of an experiment in TOML: a plant, what is varied, how often it is played and when that
 * is enough.
 */
public final class ExperimentFile {
    private static final int MOST_POINTS = 10_000;

    private ExperimentFile() {}

    /** The form, for checks and for the page that describes it. */
    public static Table form() {
        return new Table("An experiment.")
                .table(
                        "experiment",
                        new Table("What is played, and how often.")
                                .text(
                                        "plant",
                                        null,
                                        "The file of the plant that is varied, as seen from this file.")
                                .whole(
                                        "seeds",
                                        8L,
                                        1,
                                        10_000,
                                        "Days of each point at the most, with the same seeds for all.")
                                .choice(
                                        "design",
                                        "grid",
                                        List.of("grid", "random"),
                                        "Every combination of the sweeps' values, or some of them drawn by chance.")
                                .whole(
                                        "points",
                                        50L,
                                        1,
                                        MOST_POINTS,
                                        "How many are drawn, for random.")
                                .whole("draw-seed", 1L, 0, Long.MAX_VALUE / 2, "Of that draw."))
                .table(
                        "stop",
                        new Table("When a point has been played often enough.")
                                .choice("metric", "service", Metrics.NAMES, "What is watched.")
                                .number(
                                        "half",
                                        0.0,
                                        0,
                                        1e12,
                                        "Enough at this half width of its 95% interval; 0 for never.")
                                .whole("least", 4L, 2, 10_000, "Days before that."))
                .list(
                        "sweep",
                        8,
                        new Table("A key of the plant that takes several values.")
                                .text("key", null, "Which, as `clients.rate` or `class[0].aim`.")
                                .text("values", null, "Its values, parted by commas."));
    }

    /** Reads an experiment with its plant; throws {@link BadConfigException} with what is wrong. */
    public static Experiment read(Path path) {
        return bind(path, TomlFile.read(path, form()));
    }

    /**
     * What values mean that were read by the form from that file; throws {@link
     * BadConfigException}.
     */
    public static Experiment bind(Path path, Values values) {
        String file = path.toString();
        Values head = values.table("experiment");
        Path plantPath = path.resolveSibling(head.text("plant"));
        if (!Files.isRegularFile(plantPath)) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    file,
                                    head.line(),
                                    "experiment.plant",
                                    head.text("plant"),
                                    "the name of a file beside this one")));
        }
        Values plant = TomlFile.read(plantPath, PlantFile.form());
        List<Map<String, String>> combinations = combinations(values.list("sweep"), file);
        if (head.text("design").equals("random")) {
            ListSampler.shuffle(
                    RandomSource.XO_RO_SHI_RO_128_PP.create(head.whole("draw-seed")), combinations);
            combinations =
                    combinations.subList(
                            0, (int) Math.min(combinations.size(), head.whole("points")));
        }
        List<Experiment.Point> points = new ArrayList<>();
        for (Map<String, String> settings : combinations) {
            Values varied = plant;
            for (Values sweep : values.list("sweep")) {
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
                            PlantFile.bind(plantPath.toString(), varied)));
        }
        Values stop = values.table("stop");
        return new Experiment(
                name(path),
                digest(values.write() + plant.write()),
                points,
                (int) head.whole("seeds"),
                stop.number("half") == 0
                        ? null
                        : new Experiment.Stop(
                                stop.text("metric"),
                                stop.number("half"),
                                (int) stop.whole("least")));
    }

    /** Plants, each a point; what they say is to be drawn is drawn for each seed. */
    public static Experiment ofPlants(List<Path> paths, int seeds) {
        List<Experiment.Point> points = new ArrayList<>();
        StringBuilder all = new StringBuilder().append(seeds);
        for (Path path : paths) {
            Values values = TomlFile.read(path, PlantFile.form());
            all.append(values.write());
            String file = path.toString();
            LongFunction<Plant> draws = seed -> PlantFile.bind(file, Draws.of(file, values, seed));
            points.add(
                    new Experiment.Point(
                            name(path), Map.of(), draws.apply(values.whole("seed")), draws));
        }
        return new Experiment(name(paths.get(0)), digest(all.toString()), points, seeds, null);
    }

    private static List<Map<String, String>> combinations(List<Values> sweeps, String file) {
        List<Map<String, String>> all = new ArrayList<>(List.of(Map.of()));
        for (Values sweep : sweeps) {
            List<String> each =
                    Arrays.stream(sweep.text("values").split(","))
                            .map(String::strip)
                            .filter(one -> !one.isEmpty())
                            .toList();
            if (each.isEmpty() || (long) all.size() * each.size() > MOST_POINTS) {
                throw new BadConfigException(
                        List.of(
                                new Problem(
                                        file,
                                        sweep.line(),
                                        "sweep.values",
                                        (long) all.size() * each.size() + " points",
                                        "from 1 to " + MOST_POINTS)));
            }
            List<Map<String, String>> more = new ArrayList<>();
            for (Map<String, String> one : all) {
                for (String value : each) {
                    Map<String, String> longer = new LinkedHashMap<>(one);
                    if (longer.put(sweep.text("key"), value) != null) {
                        throw new BadConfigException(
                                List.of(
                                        new Problem(
                                                file,
                                                sweep.line(),
                                                "sweep.key",
                                                sweep.text("key") + " twice",
                                                "each key once")));
                    }
                    more.add(longer);
                }
            }
            all = more;
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

    /** What a file is called, for what is made of it. */
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
