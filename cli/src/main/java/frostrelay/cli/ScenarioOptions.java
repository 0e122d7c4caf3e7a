package frostrelay.cli;

import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.nio.file.Path;

/** Which day a command plays. */
final class ScenarioOptions {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_SECONDS = 86_400;

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
    private boolean withoutFaults;

    Scenario scenario() {
        Scenario scenario = file == null ? ScenarioFile.demo() : ScenarioFile.read(file);
        if (seconds != null) {
            if (!(seconds >= 1 && seconds <= MAX_SECONDS)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--seconds: found " + seconds + ", allowed: 1 to " + MAX_SECONDS);
            }
            scenario = scenario.withDuration((long) (seconds * NANOS_PER_SECOND));
        }
        scenario = seed == null ? scenario : scenario.withSeed(seed);
        return withoutFaults ? scenario.withoutFaults() : scenario;
    }
}
