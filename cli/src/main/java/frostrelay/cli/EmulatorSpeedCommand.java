package frostrelay.cli;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.SystemModel;
import frostrelay.experiment.Interval;
import frostrelay.experiment.SystemModelFile;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Function;

/** How fast days are emulated. */
@Command(
        name = "speed",
        mixinStandardHelpOptions = true,
        description = {
            "Measures how many requests a second one core emulates, with the decision module and with one that only passes on."
        })
final class EmulatorSpeedCommand implements Callable<Integer> {
    private static final double NANOS_PER_SECOND = 1e9;

    @Mixin private Output output;

    @Parameters(arity = "1..*", paramLabel = "PLANT")
    private List<Path> files;

    @Option(
            names = "--runs",
            paramLabel = "N",
            defaultValue = "5",
            description =
                    "Days of each that count, at least two (${DEFAULT-VALUE}); one more before them warms up.")
    private int runs;

    @Override
    public Integer call() {
        Map<String, Object> speeds = new LinkedHashMap<>();
        StringBuilder text = new StringBuilder();
        for (Path file : files) {
            SystemModel model = SystemModelFile.read(file);
            speeds.put(
                    file.toString(),
                    Map.of(
                            "module",
                            speed(file, "with the module", model, Emulation::simulate, text),
                            "plain",
                            speed(
                                    file,
                                    "without it",
                                    model,
                                    Emulation::simulateSingleAttempt,
                                    text)));
        }
        output.result(speeds, text.toString().stripTrailing());
        return 0;
    }

    private Map<String, Object> speed(
            Path file,
            String how,
            SystemModel model,
            Function<SystemModel, Emulation.Result> play,
            StringBuilder text) {
        int days = Math.max(2, runs);
        double[] requests = new double[days];
        double[] events = new double[days];
        for (int i = 0; i <= days; i++) {
            output.progress(file + " " + how + ": day " + i + " of " + days);
            Emulation.Result run = play.apply(model.withSeed(model.seed() + i));
            if (i > 0) {
                requests[i - 1] = run.receivedRequests() * NANOS_PER_SECOND / run.wallNanos();
                events[i - 1] = run.executedEvents() * NANOS_PER_SECOND / run.wallNanos();
            }
        }
        Interval elapsedNanos = Interval.of(requests);
        Interval happened = Interval.of(events);
        text.append(
                String.format(
                        Locale.ROOT,
                        "%s %s: %.0f ± %.0f thousand requests a second, %.1f ± %.1f million events%n",
                        file,
                        how,
                        elapsedNanos.mean() / 1e3,
                        elapsedNanos.halfWidth() / 1e3,
                        happened.mean() / 1e6,
                        happened.halfWidth() / 1e6));
        return Map.of("requestsPerSecond", elapsedNanos.mean(), "eventsPerSecond", happened.mean());
    }
}
