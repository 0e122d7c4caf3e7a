package frostrelay.cli;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.Plant;
import frostrelay.lab.Interval;
import frostrelay.lab.PlantFile;
import frostrelay.lab.Runs;
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
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Experiments in simulated time. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Experiments on an emulation of the whole system.",
        subcommands = LabCommand.Run.class, synopsisSubcommandLabel = "COMMAND")
final class LabCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Plays plants and prints what they came to. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = {
        "Plays each plant with the same seeds, on all cores, with the real decision module, and prints means with 95%%"
        + " confidence intervals; of the second plant on, also how much they differ from the first, day by day.",
        "Exits with 1 if a rule was broken on any day."})
    static final class Run implements Callable<Integer> {
        private static final double NANOS = 1e9;

        @Mixin
        private Output output;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "Plants, in TOML.")
        private List<Path> files;

        @Option(names = "--seeds", paramLabel = "N", defaultValue = "8", description = "Days of each (${DEFAULT-VALUE}).")
        private int seeds;

        @Option(names = "--threads", paramLabel = "N", description = "Without it one for each core.")
        private Integer threads;

        @Override
        public Integer call() throws Exception {
            List<Plant> plants = files.stream().map(PlantFile::read).toList();
            int all = plants.size() * Math.max(1, seeds);
            int cores = threads == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, threads);
            long start = System.nanoTime();
            Runs runs = Runs.play(plants, Math.max(1, seeds), cores, done -> output.progress(String.format(Locale.ROOT,
                    "%d of %d days, %.1f s left", done, all, (System.nanoTime() - start) / NANOS / done * (all - done))));
            List<Object> told = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            boolean good = true;
            for (int plant = 0; plant < plants.size(); plant++) {
                Map<String, Object> one = describe(runs, plant, text);
                good &= (long) one.get("ruleBreaks") == 0;
                told.add(one);
            }
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("plants", told);
            figures.put("seconds", (System.nanoTime() - start) / NANOS);
            output.result(figures, text.toString().stripTrailing());
            return good ? 0 : 1;
        }

        private Map<String, Object> describe(Runs runs, int plant, StringBuilder text) {
            Map<String, Object> one = new LinkedHashMap<>();
            List<Emulation.Result> days = runs.days(plant);
            long asked = days.stream().mapToLong(day -> day.figures().asked()).sum();
            long events = days.stream().mapToLong(Emulation.Result::events).sum();
            double wall = days.stream().mapToLong(Emulation.Result::wall).sum() / NANOS;
            long breaks = days.stream().mapToLong(day -> day.figures().ranTwice() + day.lastCalls()).sum();
            one.put("file", files.get(plant).toString());
            one.put("days", days.size());
            one.put("asked", asked);
            one.put("ruleBreaks", breaks);
            one.put("requestsPerCoreSecond", asked / wall);
            one.put("eventsPerCoreSecond", events / wall);
            text.append(String.format(Locale.ROOT, "%s: %d days, %,d requests, %,.0f a second on a core (%,.0f events),"
                    + " rules broken %d times%n", files.get(plant), days.size(), asked, asked / wall, events / wall,
                    breaks));
            Runs.METRICS.forEach((name, metric) -> {
                Interval mean = runs.of(plant, metric);
                one.put(name, Map.of("mean", mean.mean(), "half", mean.half()));
                text.append(String.format(Locale.ROOT, "  %-14s %12.4f +- %.4f", name, mean.mean(), mean.half()));
                if (plant > 0) {
                    Interval apart = runs.difference(plant, 0, metric);
                    one.put(name + "Difference", Map.of("mean", apart.mean(), "half", apart.half(), "beyondChance",
                            apart.excludesZero()));
                    text.append(String.format(Locale.ROOT, "   to the first %+.4f +- %.4f%s", apart.mean(), apart.half(),
                            apart.excludesZero() ? "" : " (chance)"));
                }
                text.append(System.lineSeparator());
            });
            List<Integer> recoveries = runs.recoveries(plant);
            if (!recoveries.isEmpty()) {
                one.put("recoverySeconds", recoveries);
                text.append("  recovery, s    ").append(recoveries).append(" (-1: not by the end)")
                        .append(System.lineSeparator());
            }
            return one;
        }
    }
}
