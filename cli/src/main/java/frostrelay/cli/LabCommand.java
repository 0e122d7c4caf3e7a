package frostrelay.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Experiments in simulated time. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Experiments on an emulation of the whole system.",
        subcommands = {
            LabRun.class,
            LabReport.class,
            LabCompare.class,
            LabHunt.class,
            LabReplay.class,
            LabAccuracy.class,
            LabSpeed.class,
            LabFleet.class,
            LabGossip.class,
            LabHealthReports.class
        },
        synopsisSubcommandLabel = "COMMAND")
final class LabCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Threads to play days on. */
    static int threads(Integer asked) {
        return asked == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, asked);
    }
}
