package frostrelay.testbed.campaign;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.config.TableSchema;
import frostrelay.config.TableValues;
import frostrelay.config.TomlFile;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The form of a schedule in TOML, and what must hold beyond the form. */
public final class ScheduleFile {
    private ScheduleFile() {}

    /** The form, for checks and for the page that describes it. */
    public static TableSchema form() {
        return new TableSchema("A schedule of a campaign.")
                .text("name", null, "How it is called.")
                .whole("seed", 1L, 0, Long.MAX_VALUE, "Of requests and of what datagrams meet.")
                .whole("processes", 5L, 2, 12, "Balancers.")
                .duration("length", "12s", "4s", "600s", "From when all serve until the judgement.")
                .whole(
                        "rate",
                        0L,
                        0,
                        10_000,
                        "Requests a second for each balancer; 0 for what its matter has.")
                .list(
                        "happening",
                        1_000,
                        new TableSchema("Something that happens.")
                                .duration("at", null, "0ms", "600s", "From the start.")
                                .choice("kind", null, FaultEvent.Kind.keywords(), "What happens.")
                                .text(
                                        "who",
                                        "",
                                        "Balancers by their numbers from 1, spaces between.")
                                .text("whom", "", "Balancers or caches, likewise.")
                                .number("amount", 0.0, -1e9, 1e9, "How much.")
                                .duration("for", "0ms", "0ms", "600s", "After this it is undone."));
    }

    /** Reads one; throws {@link BadConfigException} with all that is wrong. */
    public static Schedule read(Path file) {
        return bind(file.toString(), TomlFile.read(file, form()));
    }

    /** Likewise from a text. */
    public static Schedule parse(String file, String text) {
        return bind(file, TomlFile.parse(file, text, form()));
    }

    /** What values mean that were read by the form. */
    public static Schedule bind(String file, TableValues values) {
        List<Problem> problems = new ArrayList<>();
        int processes = (int) values.whole("processes");
        List<FaultEvent> all = new ArrayList<>();
        for (TableValues one : values.list("happening")) {
            FaultEvent.Kind kind =
                    FaultEvent.Kind.valueOf(
                            one.text("kind").toUpperCase(Locale.ROOT).replace('-', '_'));
            boolean caches =
                    switch (kind) {
                        case CACHE_CUT,
                                DRAIN,
                                FLAP,
                                HOLD,
                                CACHE_SILENT,
                                CACHE_RESTART,
                                CACHE_FAILS_WRITES ->
                                true;
                        default -> false;
                    };
            FaultEvent event =
                    new FaultEvent(
                            one.whole("at"),
                            kind,
                            parseIndexes(file, one, "who", processes, problems),
                            parseIndexes(
                                    file,
                                    one,
                                    "whom",
                                    caches ? Schedule.CACHE_COUNT : processes,
                                    problems),
                            one.number("amount"),
                            one.whole("for"));
            if (event.endNanos() > values.whole("length")) {
                problems.add(
                        new Problem(
                                file,
                                one.line(),
                                "happening.at",
                                "an end past the length",
                                "at most the length"));
            }
            all.add(event);
        }
        if (!problems.isEmpty()) {
            throw new BadConfigException(problems);
        }
        return new Schedule(
                values.text("name"),
                values.whole("seed"),
                processes,
                values.whole("length"),
                (int) values.whole("rate"),
                all);
    }

    private static List<Integer> parseIndexes(
            String file, TableValues one, String key, int maxNumber, List<Problem> problems) {
        List<Integer> indexes = new ArrayList<>();
        for (String word : one.text(key).split(" ")) {
            if (word.isEmpty()) {
                continue;
            }
            if (!word.matches("\\d{1,4}")
                    || Integer.parseInt(word) < 1
                    || Integer.parseInt(word) > maxNumber) {
                problems.add(
                        new Problem(
                                file,
                                one.line(),
                                "happening." + key,
                                '"' + word + '"',
                                "1 to " + maxNumber));
            } else {
                indexes.add(Integer.parseInt(word) - 1);
            }
        }
        return List.copyOf(indexes);
    }
}
