package frostrelay.cli;

import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.nio.file.Path;

/** Which day a command plays. */
final class DayOptions {
    private static final long SECOND = 1_000_000_000L;
    private static final long MOST_SECONDS = 86_400;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = "--day",
            paramLabel = "FILE",
            description = "The day, in TOML; without it the demo's own.")
    private Path file;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            description = "Its length; the faults move with it.")
    private Double seconds;

    @Option(names = "--seed", paramLabel = "N", description = "Other requests of the same kind.")
    private Long seed;

    @Option(names = "--quiet", description = "The same day without what goes wrong.")
    private boolean quiet;

    Day day() {
        Day day = file == null ? DayFile.demo() : DayFile.read(file);
        if (seconds != null) {
            if (!(seconds >= 1 && seconds <= MOST_SECONDS)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--seconds: found " + seconds + ", allowed: 1 to " + MOST_SECONDS);
            }
            day = day.lasting((long) (seconds * SECOND));
        }
        day = seed == null ? day : day.seeded(seed);
        return quiet ? day.quiet() : day;
    }
}
