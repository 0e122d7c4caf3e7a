package frostrelay.cli;

import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.fleet.Result;
import frostrelay.rig.soak.SoakPlan;
import frostrelay.rig.soak.SoakPlay;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Many real processes, faults that overlap, and the invariants as the oracle. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = {
    "Plays drawn days with 10 to 40 balancers as processes: restarts that are killed as early as may be, caches that hang, clients"
    + " that leave or write slowly, and more, all overlapping. Exits with 1 if an invariant was broken.",
    "docs/soak.md says what is drawn and what is checked."})
final class SoakCommand implements Callable<Integer> {
    private static final int MOST_FINDINGS_SHOWN = 12;

    @Spec
    private CommandSpec spec;

    @Mixin
    private Output output;

    @Option(names = "--seeds", paramLabel = "A..B", defaultValue = "1..3", converter = SeedRange.Converter.class,
            description = "Days drawn (${DEFAULT-VALUE}).")
    private SeedRange seeds;

    @Option(names = "--balancers", paramLabel = "N", defaultValue = "0",
            description = "Processes of each day, 1 to 40; drawn from 10 to 40 if not given.")
    private int balancers;

    @Option(names = "--keep", paramLabel = "FOLDER", description = "Keep the balancers' configurations and logs here, a folder a seed.")
    private Path keep;

    @Option(names = "--verbose", description = "Tell what happens in each second.")
    private boolean verbose;

    @Override
    public Integer call() throws Exception {
        if (balancers < 0 || balancers > SoakPlan.MOST_BALANCERS) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--balancers: found " + balancers + ", allowed: 0 to "
                    + SoakPlan.MOST_BALANCERS);
        }
        int broken = 0;
        long requests = 0;
        List<Map<String, Object>> plays = new ArrayList<>();
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            SoakPlay.Outcome outcome = play(seed);
            broken += outcome.findings().isEmpty() ? 0 : 1;
            requests += outcome.result().tally().asked();
            plays.add(figures(seed, outcome));
            output.progress(line(seed, outcome));
            outcome.findings().stream().limit(MOST_FINDINGS_SHOWN).forEach(finding -> output.progress("    " + finding));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("plays", plays.size());
        all.put("broken", broken);
        all.put("requests", requests);
        all.put("each", plays);
        output.result(all, String.format(Locale.ROOT, "%d plays, %,d requests: %d plays with an invariant broken", plays.size(), requests,
                broken));
        return broken == 0 ? 0 : 1;
    }

    private SoakPlay.Outcome play(long seed) throws Exception {
        Day day = SoakPlan.draw(seed, balancers);
        Path folder = keep == null ? Checkout.folder() : Files.createDirectories(keep.resolve("seed-" + seed));
        try {
            return SoakPlay.play(day, folder, Checkout.balancer(), text -> {
                if (verbose) {
                    output.progress(text);
                }
            });
        } finally {
            if (keep == null) {
                Checkout.remove(folder);
            }
        }
    }

    private static String line(long seed, SoakPlay.Outcome outcome) {
        Result result = outcome.result();
        return String.format(Locale.ROOT, "seed %d: %d balancers, %d caches, %d faults; %,d requests, %.1f%% in time, %d excused, "
                + "%d clients left; stand-ins stood still for %d ms; %s", seed, outcome.day().balancers(), outcome.day().caches(), outcome.day().faults().size(),
                result.tally().asked(), 100.0 * result.tally().count(Tally.End.IN_TIME) / Math.max(1, result.tally().asked()),
                result.tally().count(Tally.End.EXCUSED), result.tally().count(Tally.End.LEFT), outcome.stallMs(),
                outcome.findings().isEmpty() ? "all kept" : outcome.findings().size() + " findings");
    }

    private static Map<String, Object> figures(long seed, SoakPlay.Outcome outcome) {
        Map<String, Object> play = new LinkedHashMap<>();
        play.put("seed", seed);
        play.put("balancers", outcome.day().balancers());
        play.put("faults", outcome.day().faults().size());
        play.put("stallMs", outcome.stallMs());
        play.put("findings", outcome.findings());
        play.put("result", outcome.result().json());
        return play;
    }
}
