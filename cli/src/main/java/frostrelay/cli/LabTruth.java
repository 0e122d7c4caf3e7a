package frostrelay.cli;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.Plant;
import frostrelay.lab.Interval;
import frostrelay.rig.client.Tally;
import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;
import frostrelay.rig.fleet.DayPlay;
import frostrelay.rig.fleet.Result;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** Holds the emulator to sockets. */
@Command(
        name = "truth",
        mixinStandardHelpOptions = true,
        description = {
            "Plays days on the stand-ins with real balancers and on the emulator, and says how far apart they are.",
            "Exits with 1 if served in time differs by more than 0.05, p99 by more than 25%% or copies by more than 20%%."
        })
final class LabTruth implements Callable<Integer> {
    private static final double SERVED_APART = 0.05;
    private static final double P99_APART = 0.25;
    private static final double COPIES_APART = 0.2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "DAY", description = "Days for the fleet, in TOML.")
    private List<Path> files;

    @Option(
            names = "--runs",
            paramLabel = "N",
            defaultValue = "3",
            description = "Days on sockets, each with the next seed (${DEFAULT-VALUE}).")
    private int runs;

    @Override
    public Integer call() throws Exception {
        List<Object> told = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        boolean good = true;
        for (Path file : files) {
            Day day = DayFile.read(file);
            Plant plant = plant(day);
            List<Result> real = new ArrayList<>();
            for (int i = 0; i < Math.max(1, runs); i++) {
                Path folder = Checkout.folder();
                try {
                    output.progress(file + ": day " + (i + 1) + " of " + runs + " on sockets");
                    real.add(
                            DayPlay.play(
                                    day.seeded(day.seed() + i),
                                    folder,
                                    Checkout.balancer(),
                                    line -> {}));
                } finally {
                    Checkout.remove(folder);
                }
            }
            List<Emulation.Result> emulated =
                    IntStream.range(0, 8)
                            .parallel()
                            .mapToObj(i -> Emulation.play(plant.seeded(day.seed() + i)))
                            .toList();
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("file", file.toString());
            good &=
                    line(
                            one,
                            text,
                            "served in time",
                            real,
                            r -> r.tally().count(Tally.End.IN_TIME) / (double) r.tally().asked(),
                            emulated,
                            r -> r.figures().inTime() / (double) r.figures().asked(),
                            SERVED_APART,
                            false);
            good &=
                    line(
                            one,
                            text,
                            "p99, ms",
                            real,
                            r -> r.tally().ms(99),
                            emulated,
                            r -> r.figures().ms(99),
                            P99_APART,
                            true);
            good &=
                    line(
                            one,
                            text,
                            "copies",
                            real,
                            Result::copyShare,
                            emulated,
                            Emulation.Result::copyShare,
                            COPIES_APART,
                            true);
            line(
                    one,
                    text,
                    "p50, ms",
                    real,
                    r -> r.tally().ms(50),
                    emulated,
                    r -> r.figures().ms(50),
                    1,
                    true);
            line(
                    one,
                    text,
                    "hit share",
                    real,
                    Result::hitShare,
                    emulated,
                    Emulation.Result::hitShare,
                    1,
                    false);
            told.add(one);
        }
        output.result(Map.of("good", good, "days", told), text.toString().stripTrailing());
        return good ? 0 : 1;
    }

    private Plant plant(Day day) {
        try {
            return DayPlant.of(day);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private static boolean line(
            Map<String, Object> one,
            StringBuilder text,
            String name,
            List<Result> real,
            ToDoubleFunction<Result> ofReal,
            List<Emulation.Result> emulated,
            ToDoubleFunction<Emulation.Result> ofEmulated,
            double most,
            boolean relative) {
        Interval sockets = Interval.of(real.stream().mapToDouble(ofReal).toArray());
        Interval model = Interval.of(emulated.stream().mapToDouble(ofEmulated).toArray());
        double apart = relative ? model.mean() / sockets.mean() - 1 : model.mean() - sockets.mean();
        boolean within = Math.abs(apart) <= most;
        one.put(
                name,
                Map.of(
                        "sockets",
                        sockets.mean(),
                        "emulated",
                        model.mean(),
                        "apart",
                        apart,
                        "within",
                        within));
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-15s sockets %.4f +- %.4f, emulated %.4f +- %.4f: %+.1f%s%s%n",
                        name,
                        sockets.mean(),
                        sockets.half(),
                        model.mean(),
                        model.half(),
                        apart * 100,
                        relative ? "%" : " points",
                        within ? "" : " TOO FAR"));
        return within;
    }
}
