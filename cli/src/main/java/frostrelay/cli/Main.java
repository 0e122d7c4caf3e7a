package frostrelay.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program for people: everything that can be done with frostrelay from a terminal. */
@Command(
        name = "frostrelay",
        mixinStandardHelpOptions = true,
        version = "frostrelay 0.8.0",
        description = "A balancer for fleets of caches, with a fleet of stand-ins to try it on.",
        synopsisSubcommandLabel = "COMMAND",
        footerHeading = "%nExit codes:%n",
        footer = {"  0  done", "  1  failed", "  2  wrong usage"},
        subcommands = {
            DemoCommand.class,
            ServeCommand.class,
            CheckCommand.class,
            FleetCommand.class,
            LoadCommand.class,
            FaultCommand.class,
            BenchCommand.class,
            CampaignCommand.class,
            SoakCommand.class,
            AuditCommand.class,
            StaleInstancesCommand.class,
            HealthReportsCommand.class,
            ClusterCountersCommand.class,
            ExperimentCommand.class,
            RelayCommand.class,
            AutoComplete.GenerateCompletion.class,
            CommandLine.HelpCommand.class
        })
public final class Main implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Ends the process with 0, 1 or 2. */
    public static void main(String[] args) {
        int status = commandLine().execute(args);
        if (status != ServeCommand.RUNS_ON) {
            System.exit(status);
        }
    }

    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Main());
        line.getSubcommands()
                .get("generate-completion")
                .getCommandSpec()
                .usageMessage()
                .hidden(true);
        addFormerName(line, "stragglers", new StaleInstancesCommand());
        addFormerName(line, "judgements", new HealthReportsCommand());
        addFormerName(line, "counts", new ClusterCountersCommand());
        addFormerName(line, "lab", new ExperimentCommand());
        // One plain line for what went wrong; a trace helps nobody who has only the program.
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    command.getErr()
                            .println(
                                    command.getColorScheme()
                                            .errorText(
                                                    "frostrelay: "
                                                            + (e.getMessage() == null
                                                                    ? e.toString()
                                                                    : e.getMessage())));
                    return CommandLine.ExitCode.SOFTWARE;
                });
        return line;
    }

    /** Keeps a command's former name usable without listing it in the help. */
    private static void addFormerName(CommandLine line, String name, Object command) {
        CommandLine alias = new CommandLine(command);
        alias.getCommandSpec().name(name).usageMessage().hidden(true);
        line.addSubcommand(name, alias);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
