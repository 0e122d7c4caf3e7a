package frostrelay.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Experiments in simulated time. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Experiments on an emulation of the whole system.",
        subcommands = {
            ExperimentRunCommand.class,
            ExperimentReportCommand.class,
            ExperimentCompareCommand.class,
            FaultSearchCommand.class,
            ReplayCommand.class,
            AccuracyCommand.class,
            EmulatorSpeedCommand.class,
            FleetExperimentCommand.class,
            GossipExperimentCommand.class,
            HealthReportsExperimentCommand.class
        },
        synopsisSubcommandLabel = "COMMAND")
final class ExperimentCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Threads to play days on. */
    static int threads(Integer requestedThreads) {
        return requestedThreads == null
                ? Runtime.getRuntime().availableProcessors()
                : Math.max(1, requestedThreads);
    }
}
