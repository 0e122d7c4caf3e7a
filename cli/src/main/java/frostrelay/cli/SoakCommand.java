package frostrelay.cli;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.fleet.ScenarioResult;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.soak.SoakPlan;
import frostrelay.testbed.soak.SoakRun;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** Many real processes, faults that overlap, and the invariants as the oracle. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Plays drawn days with 10 to 40 balancers as processes: restarts that are killed as early as may be, caches that hang, clients"
                    + " that leave or write slowly, and more, all overlapping. Exits with 1 if an invariant was broken, or no play of a seed could tell.",
            "docs/soak.md says what is drawn and what is checked."
        })
final class SoakCommand implements Callable<Integer> {
    private static final int MAX_FINDINGS_SHOWN = 12;

    /** Of one seed, until a play is decided. */
    private static final int MAX_PLAYS = 3;

    @Spec private CommandSpec spec;

    @Mixin private Output output;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            defaultValue = "1..3",
            converter = SeedRange.Converter.class,
            description = "Days drawn (${DEFAULT-VALUE}).")
    private SeedRange seeds;

    @Option(
            names = "--balancers",
            paramLabel = "N",
            defaultValue = "0",
            description = "Processes of each day, 1 to 40; drawn from 10 to 40 if not given.")
    private int balancers;

    @Option(
            names = "--keep",
            paramLabel = "FOLDER",
            description = "Keep the balancers' configurations and logs here, a folder a play.")
    private Path keepFolder;

    @Option(names = "--verbose", description = "Tell what happens in each second.")
    private boolean verbose;

    @Override
    public Integer call() throws Exception {
        if (balancers < 0 || balancers > SoakPlan.MAX_BALANCERS) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "--balancers: found "
                            + balancers
                            + ", allowed: 0 to "
                            + SoakPlan.MAX_BALANCERS);
        }
        Map<SoakRun.Verdict, Integer> outcomeCounts = new EnumMap<>(SoakRun.Verdict.class);
        long requests = 0;
        List<Map<String, Object>> plays = new ArrayList<>();
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            SoakRun.Outcome outcome = playUntilDecided(seed, plays);
            outcomeCounts.merge(outcome.verdict(), 1, Integer::sum);
            requests += outcome.result().statistics().requests();
        }
        Map<String, Object> all = new LinkedHashMap<>();
        for (SoakRun.Verdict verdict : SoakRun.Verdict.values()) {
            all.put(
                    verdict.name().toLowerCase(Locale.ROOT),
                    outcomeCounts.getOrDefault(verdict, 0));
        }
        all.put("requests", requests);
        all.put("each", plays);
        output.result(
                all,
                String.format(
                        Locale.ROOT,
                        "%,d requests; seeds by their last play: %d kept, %d undecided, %d broken",
                        requests,
                        outcomeCounts.getOrDefault(SoakRun.Verdict.KEPT, 0),
                        outcomeCounts.getOrDefault(SoakRun.Verdict.UNDECIDED, 0),
                        outcomeCounts.getOrDefault(SoakRun.Verdict.BROKEN, 0)));
        return outcomeCounts.keySet().equals(EnumSet.of(SoakRun.Verdict.KEPT)) ? 0 : 1;
    }

    /**
     * Plays a day, and again where the machine was held up and that can be all that was found;
     * every play is told.
     */
    private SoakRun.Outcome playUntilDecided(long seed, List<Map<String, Object>> plays)
            throws Exception {
        SoakRun.Outcome outcome = null;
        for (int i = 0;
                i < MAX_PLAYS
                        && (outcome == null || outcome.verdict() == SoakRun.Verdict.UNDECIDED);
                i++) {
            outcome = play(seed);
            plays.add(figures(seed, outcome));
            output.progress(line(seed, outcome));
            outcome.findings().stream()
                    .limit(MAX_FINDINGS_SHOWN)
                    .forEach(finding -> output.progress("    " + finding.detail()));
        }
        return outcome;
    }

    private SoakRun.Outcome play(long seed) throws Exception {
        Scenario scenario = SoakPlan.draw(seed, balancers);
        Path folder = keepFolder == null ? Checkout.folder() : createPlayFolder(seed);
        try {
            return SoakRun.run(
                    scenario,
                    folder,
                    Checkout.balancer(),
                    text -> {
                        if (verbose) {
                            output.progress(text);
                        }
                    });
        } finally {
            if (keepFolder == null) {
                Checkout.remove(folder);
            }
        }
    }

    /**
     * A folder of its own for each play: logs go behind what is there, and an earlier play's lines
     * are none of this one's.
     */
    private Path createPlayFolder(long seed) throws IOException {
        int number = 1;
        while (Files.exists(keepFolder.resolve("seed-" + seed + "-play-" + number))) {
            number++;
        }
        return Files.createDirectories(keepFolder.resolve("seed-" + seed + "-play-" + number));
    }

    private static String line(long seed, SoakRun.Outcome outcome) {
        ScenarioResult result = outcome.result();
        return String.format(
                Locale.ROOT,
                "seed %d: %d balancers, %d caches, %d faults; %,d requests, %.1f%% in time, %d excused, "
                        + "%d clients left; stand-ins stood still for %d ms, %.1f%% of the processor stolen; %s",
                seed,
                outcome.scenario().balancers(),
                outcome.scenario().caches(),
                outcome.scenario().faults().size(),
                result.statistics().requests(),
                100.0
                        * result.statistics().count(ClientStatistics.Outcome.IN_TIME)
                        / Math.max(1, result.statistics().requests()),
                result.statistics().count(ClientStatistics.Outcome.EXCUSED),
                result.statistics().count(ClientStatistics.Outcome.LEFT),
                outcome.stallMillis(),
                100 * outcome.stolenFraction(),
                outcome.verdict().name().toLowerCase(Locale.ROOT));
    }

    private static Map<String, Object> figures(long seed, SoakRun.Outcome outcome) {
        Map<String, Object> play = new LinkedHashMap<>();
        play.put("seed", seed);
        play.put("balancers", outcome.scenario().balancers());
        play.put("faults", outcome.scenario().faults().size());
        play.put("stallMs", outcome.stallMillis());
        play.put("stolenPart", outcome.stolenFraction());
        play.put("verdict", outcome.verdict().name().toLowerCase(Locale.ROOT));
        play.put("findings", outcome.findings().stream().map(SoakRun.Finding::detail).toList());
        play.put("result", outcome.result().json());
        return play;
    }
}
