package frostrelay.experiment;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.config.BadConfigException;
import frostrelay.emulator.SystemModel;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Tests experiments from file to results: results are the same bytes with any number of threads,
 * and an interruption loses no completed run.
 */
class LabTest {
    private static final String SMALL =
            """
            length = "12s"
            [plant]
            caches = 4
            [clients]
            rate = "100/s"
            [[class]]
            share = 1.0
            """;

    @TempDir private Path folder;
    private Experiment experiment;

    @BeforeEach
    void write() throws IOException {
        Files.writeString(folder.resolve("small.toml"), SMALL);
        experiment =
                ExperimentFile.read(
                        Files.writeString(
                                folder.resolve("sweep.toml"),
                                """
                [experiment]
                plant = "small.toml"
                seeds = 3
                [[sweep]]
                key = "clients.rate"
                values = "50/s, 100/s, 400/s"
                [[sweep]]
                key = "class[0].work"
                values = "5ms, 15ms"
                """));
    }

    private byte[] runExperiment(String name, int threads) throws Exception {
        Path path = folder.resolve(name);
        try (ResultsFile file = ResultsFile.open(path, experiment)) {
            ExperimentRunner.run(experiment, file, threads, (done, most) -> assertEquals(18, most));
        }
        return Files.readAllBytes(path);
    }

    @Test
    void resultsAreIdenticalOnOneAndEightThreads() throws Exception {
        byte[] one = runExperiment("one.jsonl", 1);
        assertArrayEquals(one, runExperiment("eight.jsonl", 8));
        ResultsFile.StoredResults results = ResultsFile.read(folder.resolve("one.jsonl"));
        assertEquals(18, results.allResults().size());
        assertEquals(List.of("50/s", "15ms"), List.copyOf(results.settings().get(1).values()));
        // Three times the work at eight times the load raises latency if the sweep is applied.
        assertTrue(
                results.resultsOf(5).get(0).metrics().get("p99Ms")
                        > 2 * results.resultsOf(0).get(0).metrics().get("p99Ms"));
        assertTrue(
                results.resultsOf(5).get(0).requestCount()
                        > 6 * results.resultsOf(0).get(0).requestCount());
    }

    /**
     * A file truncated at any byte keeps its complete runs, and a resumed experiment gives the same
     * bytes as an uninterrupted one.
     */
    @Test
    void truncatedFileIsResumed() throws Exception {
        byte[] whole = runExperiment("whole.jsonl", 8);
        for (int cut : new int[] {0, 1, whole.length / 3, whole.length / 2, whole.length - 1}) {
            Path torn = folder.resolve("torn.jsonl");
            Files.write(torn, java.util.Arrays.copyOf(whole, cut));
            long lines =
                    new String(whole, 0, cut, java.nio.charset.StandardCharsets.UTF_8)
                            .chars()
                            .filter(c -> c == '\n')
                            .count();
            try (ResultsFile file = ResultsFile.open(torn, experiment)) {
                assertEquals(Math.max(0, lines - 1), file.size(), "cut at " + cut);
            }
            assertArrayEquals(whole, runExperiment("torn.jsonl", 4));
        }
    }

    @Test
    void interruptKeepsCompletedRuns() throws Exception {
        Path path = folder.resolve("cut.jsonl");
        try (ResultsFile file = ResultsFile.open(path, experiment)) {
            assertThrows(
                    InterruptedException.class,
                    () ->
                            ExperimentRunner.run(
                                    experiment,
                                    file,
                                    2,
                                    (done, most) -> {
                                        if (done == 5) {
                                            Thread.currentThread().interrupt();
                                        }
                                    }));
            assertTrue(file.size() >= 5);
        }
        assertTrue(ResultsFile.read(path).allResults().size() >= 5);
        assertArrayEquals(runExperiment("whole.jsonl", 8), runExperiment("cut.jsonl", 8));
    }

    @Test
    void fileOfAnotherExperimentAndSecondWriterAreRejected() throws Exception {
        runExperiment("kept.jsonl", 8);
        Experiment other = ExperimentFile.ofModels(List.of(folder.resolve("small.toml")), 2);
        Path path = folder.resolve("kept.jsonl");
        byte[] before = Files.readAllBytes(path);
        assertTrue(
                assertThrows(IOException.class, () -> ResultsFile.open(path, other))
                        .getMessage()
                        .contains("another experiment"));
        Path noise = Files.writeString(folder.resolve("noise.jsonl"), "hello\n");
        assertTrue(
                assertThrows(IOException.class, () -> ResultsFile.open(noise, other))
                        .getMessage()
                        .contains(":1:"));
        try (ResultsFile first = ResultsFile.open(path, experiment)) {
            assertEquals(18, first.size());
            assertThrows(IOException.class, () -> ResultsFile.open(path, experiment));
        }
        assertArrayEquals(before, Files.readAllBytes(path));
        Files.writeString(path, "{\"point\":0}\n", StandardOpenOption.APPEND);
        assertThrows(IOException.class, () -> ResultsFile.open(path, experiment));
    }

    @Test
    void invalidSweepsAreRejected() throws IOException {
        for (String sweep :
                List.of(
                        "key = \"clients.rote\"\nvalues = \"1/s\"",
                        "key = \"clients.rate\"\nvalues = \"fast\"",
                        "key = \"fault[0].at\"\nvalues = \"1s\"",
                        "key = \"clients.rate\"\nvalues = \", ,\"",
                        "key = \"class[0].aim\"\nvalues = \"3s\"",
                        "key = \"clients\"\nvalues = \"1\"",
                        "key = \"clients.rate\"\nvalues = \"-1/s\"")) {
            Path file =
                    Files.writeString(
                            folder.resolve("bad.toml"),
                            "[experiment]\nplant = \"small.toml\"\n[[sweep]]\n" + sweep + "\n");
            assertThrows(BadConfigException.class, () -> ExperimentFile.read(file), sweep);
        }
    }

    /**
     * Sampled values lie within their range, differ between seeds and are the same for one seed; a
     * range with two units is rejected.
     */
    @Test
    void valuesAreSampledForEachSeed() throws IOException {
        String draw = "[[draw]]\nkey = \"clients.rate\"\nleast = \"100/s\"\nmost = \"%s\"\n";
        Path path = folder.resolve("drawn.toml");
        Files.writeString(path, SMALL + String.format(draw, "200/s"));
        Experiment.Point point = ExperimentFile.ofModels(List.of(path), 2).points().get(0);
        double[] rates =
                LongStream.range(1, 50)
                        .mapToDouble(
                                seed ->
                                        point.modelOfSeed()
                                                .apply(seed)
                                                .clients()
                                                .requestsPerSecond())
                        .toArray();
        assertTrue(
                Arrays.stream(rates).allMatch(rate -> rate >= 100 && rate <= 200)
                        && Arrays.stream(rates).distinct().count() > 25,
                Arrays.toString(rates));
        assertEquals(point.modelOfSeed().apply(9), point.modelOfSeed().apply(9));
        Files.writeString(path, SMALL + String.format(draw, "2000ms"));
        assertThrows(BadConfigException.class, () -> ExperimentFile.ofModels(List.of(path), 2));
    }

    /**
     * A rule that is met at once ends a point after the minimum number of seeds; one that cannot be
     * met does not end it.
     */
    @Test
    void stopRuleEndsPoint() throws Exception {
        for (double half : new double[] {1, 1e-9}) {
            Experiment stopped =
                    new Experiment(
                            "stop",
                            "stop" + half,
                            experiment.points(),
                            5,
                            new Experiment.StopRule("service", half, 2));
            Path path = folder.resolve("stop" + half + ".jsonl");
            try (ResultsFile file = ResultsFile.open(path, stopped)) {
                ExperimentRunner.run(stopped, file, 8, (done, most) -> {});
                int most = ResultsFile.read(path).resultsOf(5).size();
                assertEquals(half == 1 ? 2 : 5, most);
            }
        }
    }

    @Test
    void differencesAreReportedAndEqualResultsAreNot() throws Exception {
        runExperiment("a.jsonl", 8);
        ResultsFile.StoredResults results = ResultsFile.read(folder.resolve("a.jsonl"));
        assertTrue(
                Comparison.of(results, results).stream()
                        .noneMatch(Comparison.Difference::isSignificant));
        List<Comparison.Difference> apart = Comparison.of(results, 0, 5);
        assertTrue(
                apart.stream().anyMatch(one -> one.metric().equals("p50Ms") && one.isSignificant()),
                apart.toString());
    }

    /**
     * The search finds faults after which the model misses its goal and minimizes them; a stored
     * finding gives the same value when it is repeated.
     */
    @Test
    void faultSearchFindsAndMinimizesFaults() throws Exception {
        SystemModel model = SystemModelFile.parse("hunted", SMALL);
        Objective goal = Objective.parse("service >= 0.97");
        List<FaultSearch.Finding> found = FaultSearch.run(model, goal, 24, 2, 1, 3, 8, line -> {});
        assertFalse(found.isEmpty());
        assertEquals(
                found,
                FaultSearch.run(model, goal, 24, 2, 1, 3, 2, line -> {}),
                "findings differ on two threads");
        for (FaultSearch.Finding one : found) {
            assertTrue(one.shortfall() > 0 && one.faults().size() <= 3 && !one.faults().isEmpty());
            Path kept = folder.resolve("kept.toml");
            RegressionRuns.write(folder.resolve("small.toml"), kept, goal, one);
            RegressionRuns.ReplayResult again = RegressionRuns.replay(kept);
            assertEquals(
                    one.value(),
                    again.value(),
                    1e-9,
                    "the repeated run gives the value of the finding");
            assertFalse(again.hasPassed());
        }
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        FaultSearch.run(
                                model,
                                Objective.parse("service >= 1.5"),
                                8,
                                1,
                                1,
                                1,
                                2,
                                line -> {}));
    }

    /** Regression runs found by fault searches meet the goals in their files. */
    @Test
    void regressionRunsMeetTheirGoals() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("../deploy/lab/kept"))) {
            List<Path> all =
                    files.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
            assertTrue(all.size() >= 5);
            all.parallelStream()
                    .forEach(
                            file -> {
                                RegressionRuns.ReplayResult day = RegressionRuns.replay(file);
                                assertTrue(day.hasPassed(), file + ": " + day);
                            });
        }
    }
}
