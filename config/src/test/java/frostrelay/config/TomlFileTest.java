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

/** A file is taken whole or not at all, and what is wrong is said with its place. */
class TomlFileTest {
    private static final Table FORM =
            new Table("A test.")
                    .whole("seed", 1L, 0, 1_000, "A number.")
                    .table(
                            "log",
                            new Table("Lines.")
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
                            new Table("Limits.")
                                    .bytes("memory", "64MiB", "1KiB", "1GiB", "Bytes.")
                                    .rate("rate", "10/s", "0.5/s", "1000/s", "A second.")
                                    .number("part", 0.5, 0, 1, "A part."))
                    .list(
                            "class",
                            3,
                            new Table("Classes.")
                                    .text("name", null, "Its name.")
                                    .duration("aim", "1s", "1ms", "1m", "Its aim."));

    private static final String GOOD =
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
    void valuesHaveTheirUnitsAndStandards() {
        Values values = TomlFile.parse("f", GOOD, FORM);
        assertEquals(7, values.whole("seed"));
        assertEquals(1_500_000_000L, values.table("log").whole("counts-every"));
        assertEquals(10_000_000L, values.table("limits").whole("memory"));
        assertEquals(10.0, values.table("limits").number("rate"));
        assertEquals(0.5, values.table("limits").number("part"));
        assertEquals(1_000_000_000L, values.list("class").get(0).whole("aim"));
        assertEquals(10, values.list("class").get(1).line());
        Values again = TomlFile.parse("f", values.write(), FORM);
        assertEquals(values.write(), again.write(), "what is printed as in force can be read back");
    }

    /** Line, key, and a word that the message must hold; then the text. */
    private record Bad(int line, String key, String word, String text) {}

    private static Bad bad(int line, String key, String word, String... lines) {
        return new Bad(line, key, word, String.join("\n", lines) + "\n");
    }

    private static final List<Bad> BAD =
            List.of(
                    bad(1, "seeed", "did you mean 'seed'", "seeed = 1"),
                    bad(1, "nothing-like-it", "seed, log, limits, class", "nothing-like-it = 1"),
                    bad(1, "seed", "\"7\"", "seed = \"7\""),
                    bad(1, "seed", "7.5", "seed = 7.5"),
                    bad(1, "seed", "-1", "seed = -1"),
                    bad(1, "seed", "from 0 to 1000", "seed = 1001"),
                    bad(1, "seed", "true", "seed = true"),
                    bad(1, "seed", "a list", "seed = [1]"),
                    bad(1, "seed", "a table", "[seed]", "x = 1"),
                    bad(1, "log", "\"json\"", "log = \"json\""),
                    bad(2, "log.format", "one of auto, json, text", "[log]", "format = \"xml\""),
                    bad(2, "log.format", "JSON", "[log]", "format = \"JSON\""),
                    bad(2, "log.format", "1", "[log]", "format = 1"),
                    bad(2, "log.formt", "did you mean 'format'", "[log]", "formt = \"json\""),
                    bad(2, "log.counts-every", "with a unit", "[log]", "counts-every = 10"),
                    bad(2, "log.counts-every", "with a unit", "[log]", "counts-every = \"10\""),
                    bad(
                            2,
                            "log.counts-every",
                            "with a unit",
                            "[log]",
                            "counts-every = \"10 parsecs\""),
                    bad(2, "log.counts-every", "with a unit", "[log]", "counts-every = \"-1s\""),
                    bad(
                            2,
                            "log.counts-every",
                            "from 250ms to 1h",
                            "[log]",
                            "counts-every = \"1ms\""),
                    bad(
                            2,
                            "log.counts-every",
                            "from 250ms to 1h",
                            "[log]",
                            "counts-every = \"2h\""),
                    bad(
                            2,
                            "log.counts-every",
                            "with a unit",
                            "[log]",
                            "counts-every = \"99999999999999999999h\""),
                    bad(2, "log.colour", "true or false", "[log]", "colour = \"yes\""),
                    bad(2, "log.colour", "true or false", "[log]", "colour = 1"),
                    bad(2, "limits.memory", "with a unit", "[limits]", "memory = 1048576"),
                    bad(2, "limits.memory", "with a unit", "[limits]", "memory = \"1 mb\""),
                    bad(2, "limits.memory", "from 1KiB to 1GiB", "[limits]", "memory = \"2GiB\""),
                    bad(2, "limits.rate", "a rate", "[limits]", "rate = 10"),
                    bad(2, "limits.rate", "a rate", "[limits]", "rate = \"10/fortnight\""),
                    bad(2, "limits.rate", "from 0.5/s to 1000/s", "[limits]", "rate = \"0/s\""),
                    bad(2, "limits.part", "from 0 to 1", "[limits]", "part = 1.5"),
                    bad(2, "limits.part", "NaN", "[limits]", "part = nan"),
                    bad(2, "limits.part", "Infinity", "[limits]", "part = inf"),
                    bad(1, "class", "a list of tables", "class = \"a\""),
                    bad(1, "class", "a list of tables", "class = [1, 2]"),
                    bad(1, "class", "a list of tables", "[class]", "name = \"a\""),
                    bad(1, "class[0].name", "nothing", "[[class]]", "aim = \"1s\""),
                    bad(2, "class[0].name", "\"\"", "[[class]]", "name = \"\""),
                    bad(
                            5,
                            "class[1].aim",
                            "from 1ms to 1m",
                            "[[class]]",
                            "name = \"a\"",
                            "[[class]]",
                            "name = \"b\"",
                            "aim = \"2m\""),
                    bad(
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
                    bad(2, "", "no TOML", "seed = 1", "seed = 2"),
                    bad(2, "", "no TOML", "[log]", "format = json"),
                    bad(1, "", "no TOML", "[log"),
                    bad(2, "", "no TOML", "seed = 1", "= 3"),
                    bad(1, "", "no TOML", "\u0000"));

    @Example
    void eachBadFileIsRefusedWithItsKeyAndLine() {
        assertTrue(BAD.size() >= 30);
        for (Bad bad : BAD) {
            BadConfigException refused =
                    assertThrows(
                            BadConfigException.class,
                            () -> TomlFile.parse("bad.toml", bad.text, FORM),
                            bad.text);
            Problem first = refused.problems().get(0);
            assertEquals(bad.key, first.key(), bad.text);
            assertEquals(bad.line, first.line(), bad.text + refused.getMessage());
            assertTrue(
                    first.toString().startsWith("bad.toml:" + bad.line + ": "), first.toString());
            assertTrue(first.toString().contains(bad.word), first + " should say " + bad.word);
            assertEquals(1, first.toString().lines().count());
        }
    }

    @Example
    void allProblemsAreToldAtOnce() {
        BadConfigException refused =
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
                                        FORM));
        assertEquals(
                List.of("seed", "log.colur", "log.format", "class[0].name", "class[0].aim"),
                refused.problems().stream().map(Problem::key).toList());
        assertEquals(
                List.of(1, 4, 3, 5, 6), refused.problems().stream().map(Problem::line).toList());
    }

    @Example
    void aFileThatCannotBeReadIsOneProblem() {
        assertEquals(
                1,
                assertThrows(
                                BadConfigException.class,
                                () ->
                                        TomlFile.read(
                                                java.nio.file.Path.of("/nonexistent/f.toml"), FORM))
                        .problems()
                        .size());
    }

    /**
     * Whatever happens to a file, it is read or refused: no other error, and nothing in between.
     */
    @Property(tries = 2_000, seed = "20261201")
    void noDamageLeadsToAnythingElse(@ForAll("damaged") String text) {
        try {
            TomlFile.parse("f", text, FORM).write();
        } catch (BadConfigException e) {
            assertTrue(!e.problems().isEmpty());
        }
    }

    @Provide
    Arbitrary<String> damaged() {
        Arbitrary<Integer> at = Arbitraries.integers().between(0, GOOD.length() - 1);
        return at.flatMap(
                from ->
                        Arbitraries.integers()
                                .between(0, 6)
                                .flatMap(
                                        cut ->
                                                Arbitraries.strings()
                                                        .withChars(
                                                                "\"[]=.#\n {}',-0azZ\u0000\u00e9\\")
                                                        .ofMaxLength(6)
                                                        .map(
                                                                fresh ->
                                                                        GOOD.substring(0, from)
                                                                                + fresh
                                                                                + GOOD.substring(
                                                                                        Math.min(
                                                                                                GOOD
                                                                                                        .length(),
                                                                                                from
                                                                                                        + cut)))));
    }

    @Property(seed = "20261201")
    void durationsAreWrittenAsTheyAreRead(
            @ForAll @LongRange(min = 1, max = 3_600_000_000L) long micros) {
        long nanos = micros * 1_000;
        assertEquals(nanos, Kind.DURATION.read(Kind.DURATION.write(nanos).replace("\"", "")));
    }

    @Property(seed = "20261201")
    void sizesAreWrittenAsTheyAreRead(@ForAll @IntRange(min = 1) int bytes) {
        assertEquals(
                (long) bytes, Kind.BYTES.read(Kind.BYTES.write((long) bytes).replace("\"", "")));
    }
}
