package frostrelay.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import java.util.List;

/** A file is accepted as a whole or rejected, and problems are reported with their position. */
class TomlFileTest {
    private static final TableSchema SCHEMA =
            new TableSchema("A test.")
                    .whole("seed", 1L, 0, 1_000, "A number.")
                    .table(
                            "log",
                            new TableSchema("Lines.")
                                    .choice(
                                            "format",
                                            "auto",
                                            List.of("auto", "json", "text"),
                                            "How they look.")
                                    .duration(
                                            "counts-every", "10s", "250ms", "1h", "Between counts.")
                                    .bool("colour", false, "Whether they have any."))
                    .table(
                            "limits",
                            new TableSchema("Limits.")
                                    .bytes("memory", "64MiB", "1KiB", "1GiB", "Bytes.")
                                    .rate("rate", "10/s", "0.5/s", "1000/s", "A second.")
                                    .number("part", 0.5, 0, 1, "A part."))
                    .list(
                            "class",
                            3,
                            new TableSchema("Classes.")
                                    .text("name", null, "Its name.")
                                    .duration("aim", "1s", "1ms", "1m", "Its aim."));

    private static final String VALID_FILE =
            """
            seed = 7
            [log]
            format = "json"
            counts-every = "1500ms"
            [limits]
            memory = "10MB"
            rate = "600/min"
            [[class]]
            name = "a"
            [[class]]
            name = "b"
            aim = "20ms"
            """;

    @Example
    void valuesAreConvertedToTheirUnitsAndDefaults() {
        TableValues values = TomlFile.parse("f", VALID_FILE, SCHEMA);
        assertEquals(7, values.whole("seed"));
        assertEquals(1_500_000_000L, values.table("log").whole("counts-every"));
        assertEquals(10_000_000L, values.table("limits").whole("memory"));
        assertEquals(10.0, values.table("limits").number("rate"));
        assertEquals(0.5, values.table("limits").number("part"));
        assertEquals(1_000_000_000L, values.list("class").get(0).whole("aim"));
        assertEquals(10, values.list("class").get(1).line());
        TableValues reparsed = TomlFile.parse("f", values.toToml(), SCHEMA);
        assertEquals(
                values.toToml(),
                reparsed.toToml(),
                "parsing the printed values yields the same values");
    }

    /** Line and key of the expected problem, a text that its message must contain, and the file. */
    private record InvalidFile(int line, String key, String expectedText, String text) {}

    private static InvalidFile invalidFile(
            int line, String key, String expectedText, String... lines) {
        return new InvalidFile(line, key, expectedText, String.join("\n", lines) + "\n");
    }

    private static final List<InvalidFile> INVALID_FILES =
            List.of(
                    invalidFile(1, "seeed", "did you mean 'seed'", "seeed = 1"),
                    invalidFile(
                            1,
                            "nothing-like-it",
                            "seed, log, limits, class",
                            "nothing-like-it = 1"),
                    invalidFile(1, "seed", "\"7\"", "seed = \"7\""),
                    invalidFile(1, "seed", "7.5", "seed = 7.5"),
                    invalidFile(1, "seed", "-1", "seed = -1"),
                    invalidFile(1, "seed", "from 0 to 1000", "seed = 1001"),
                    invalidFile(1, "seed", "true", "seed = true"),
                    invalidFile(1, "seed", "a list", "seed = [1]"),
                    invalidFile(1, "seed", "a table", "[seed]", "x = 1"),
                    invalidFile(1, "log", "\"json\"", "log = \"json\""),
                    invalidFile(
                            2,
                            "log.format",
                            "one of auto, json, text",
                            "[log]",
                            "format = \"xml\""),
                    invalidFile(2, "log.format", "JSON", "[log]", "format = \"JSON\""),
                    invalidFile(2, "log.format", "1", "[log]", "format = 1"),
                    invalidFile(
                            2, "log.formt", "did you mean 'format'", "[log]", "formt = \"json\""),
                    invalidFile(2, "log.counts-every", "with a unit", "[log]", "counts-every = 10"),
                    invalidFile(
                            2, "log.counts-every", "with a unit", "[log]", "counts-every = \"10\""),
                    invalidFile(
                            2,
                            "log.counts-every",
                            "with a unit",
                            "[log]",
                            "counts-every = \"10 parsecs\""),
                    invalidFile(
                            2,
                            "log.counts-every",
                            "with a unit",
                            "[log]",
                            "counts-every = \"-1s\""),
                    invalidFile(
                            2,
                            "log.counts-every",
                            "from 250ms to 1h",
                            "[log]",
                            "counts-every = \"1ms\""),
                    invalidFile(
                            2,
                            "log.counts-every",
                            "from 250ms to 1h",
                            "[log]",
                            "counts-every = \"2h\""),
                    invalidFile(
                            2,
                            "log.counts-every",
                            "with a unit",
                            "[log]",
                            "counts-every = \"99999999999999999999h\""),
                    invalidFile(2, "log.colour", "true or false", "[log]", "colour = \"yes\""),
                    invalidFile(2, "log.colour", "true or false", "[log]", "colour = 1"),
                    invalidFile(2, "limits.memory", "with a unit", "[limits]", "memory = 1048576"),
                    invalidFile(2, "limits.memory", "with a unit", "[limits]", "memory = \"1 mb\""),
                    invalidFile(
                            2,
                            "limits.memory",
                            "from 1KiB to 1GiB",
                            "[limits]",
                            "memory = \"2GiB\""),
                    invalidFile(2, "limits.rate", "a rate", "[limits]", "rate = 10"),
                    invalidFile(2, "limits.rate", "a rate", "[limits]", "rate = \"10/fortnight\""),
                    invalidFile(
                            2, "limits.rate", "from 0.5/s to 1000/s", "[limits]", "rate = \"0/s\""),
                    invalidFile(2, "limits.part", "from 0 to 1", "[limits]", "part = 1.5"),
                    invalidFile(2, "limits.part", "NaN", "[limits]", "part = nan"),
                    invalidFile(2, "limits.part", "Infinity", "[limits]", "part = inf"),
                    invalidFile(1, "class", "a list of tables", "class = \"a\""),
                    invalidFile(1, "class", "a list of tables", "class = [1, 2]"),
                    invalidFile(1, "class", "a list of tables", "[class]", "name = \"a\""),
                    invalidFile(1, "class[0].name", "nothing", "[[class]]", "aim = \"1s\""),
                    invalidFile(2, "class[0].name", "\"\"", "[[class]]", "name = \"\""),
                    invalidFile(
                            5,
                            "class[1].aim",
                            "from 1ms to 1m",
                            "[[class]]",
                            "name = \"a\"",
                            "[[class]]",
                            "name = \"b\"",
                            "aim = \"2m\""),
                    invalidFile(
                            1,
                            "class",
                            "at most 3",
                            "[[class]]",
                            "name = \"a\"",
                            "[[class]]",
                            "name = \"b\"",
                            "[[class]]",
                            "name = \"c\"",
                            "[[class]]",
                            "name = \"d\""),
                    invalidFile(2, "", "invalid TOML", "seed = 1", "seed = 2"),
                    invalidFile(2, "", "invalid TOML", "[log]", "format = json"),
                    invalidFile(1, "", "invalid TOML", "[log"),
                    invalidFile(2, "", "invalid TOML", "seed = 1", "= 3"),
                    invalidFile(1, "", "invalid TOML", "\u0000"));

    @Example
    void eachInvalidFileIsRejectedWithItsKeyAndLine() {
        assertTrue(INVALID_FILES.size() >= 30);
        for (InvalidFile invalidFile : INVALID_FILES) {
            BadConfigException exception =
                    assertThrows(
                            BadConfigException.class,
                            () -> TomlFile.parse("bad.toml", invalidFile.text, SCHEMA),
                            invalidFile.text);
            Problem first = exception.problems().get(0);
            assertEquals(invalidFile.key, first.key(), invalidFile.text);
            assertEquals(invalidFile.line, first.line(), invalidFile.text + exception.getMessage());
            assertTrue(
                    first.toString().startsWith("bad.toml:" + invalidFile.line + ": "),
                    first.toString());
            assertTrue(
                    first.toString().contains(invalidFile.expectedText),
                    "expected '" + invalidFile.expectedText + "' in: " + first);
            assertEquals(1, first.toString().lines().count());
        }
    }

    @Example
    void allProblemsAreReportedAtOnce() {
        BadConfigException exception =
                assertThrows(
                        BadConfigException.class,
                        () ->
                                TomlFile.parse(
                                        "f",
                                        """
                seed = -1
                [log]
                format = "xml"
                colur = true
                [[class]]
                aim = "1x"
                """,
                                        SCHEMA));
        assertEquals(
                List.of("seed", "log.colur", "log.format", "class[0].name", "class[0].aim"),
                exception.problems().stream().map(Problem::key).toList());
        assertEquals(
                List.of(1, 4, 3, 5, 6), exception.problems().stream().map(Problem::line).toList());
    }

    @Example
    void unreadableFileIsReportedAsOneProblem() {
        assertEquals(
                1,
                assertThrows(
                                BadConfigException.class,
                                () ->
                                        TomlFile.read(
                                                java.nio.file.Path.of("/nonexistent/f.toml"),
                                                SCHEMA))
                        .problems()
                        .size());
    }

    /** A damaged file must be accepted or rejected with problems, without any other exception. */
    @Property(tries = 2_000, seed = "20261201")
    void damagedFileIsAcceptedOrRejected(@ForAll("damaged") String text) {
        try {
            TomlFile.parse("f", text, SCHEMA).toToml();
        } catch (BadConfigException e) {
            assertTrue(!e.problems().isEmpty());
        }
    }

    @Provide
    Arbitrary<String> damaged() {
        Arbitrary<Integer> startPositions =
                Arbitraries.integers().between(0, VALID_FILE.length() - 1);
        return startPositions.flatMap(
                from ->
                        Arbitraries.integers()
                                .between(0, 6)
                                .flatMap(
                                        deletedLength ->
                                                Arbitraries.strings()
                                                        .withChars(
                                                                "\"[]=.#\n {}',-0azZ\u0000\u00e9\\")
                                                        .ofMaxLength(6)
                                                        .map(
                                                                inserted ->
                                                                        VALID_FILE.substring(
                                                                                        0, from)
                                                                                + inserted
                                                                                + VALID_FILE
                                                                                        .substring(
                                                                                                Math
                                                                                                        .min(
                                                                                                                VALID_FILE
                                                                                                                        .length(),
                                                                                                                from
                                                                                                                        + deletedLength)))));
    }

    @Property(seed = "20261201")
    void formattedDurationsParseToTheSameValue(
            @ForAll @LongRange(min = 1, max = 3_600_000_000L) long micros) {
        long nanos = micros * 1_000;
        assertEquals(nanos, Kind.DURATION.parse(Kind.DURATION.format(nanos).replace("\"", "")));
    }

    @Property(seed = "20261201")
    void formattedSizesParseToTheSameValue(@ForAll @IntRange(min = 1) int bytes) {
        assertEquals(
                (long) bytes, Kind.BYTES.parse(Kind.BYTES.format((long) bytes).replace("\"", "")));
    }
}
