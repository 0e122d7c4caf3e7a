package frostrelay.cli;

import frostrelay.node.NodeProcess;
import frostrelay.node.Options;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.nio.file.Path;
import java.util.concurrent.Callable;

/** One real balancer. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one balancer in the foreground until SIGTERM. SIGHUP makes it read its configuration again.",
            "The platform runs the same from a smaller jar: see deploy/balancer.toml."
        })
final class ServeCommand implements Callable<Integer> {
    /** No exit code: the balancer goes on when the command has returned. */
    static final int RUNS_ON = -1;

    @Spec private CommandSpec spec;

    @Parameters(
            arity = "0..1",
            paramLabel = "CONFIG",
            description = "The platform's JSON; without it $GW_CONFIG.")
    private Path platform;

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            description =
                    "The balancer's own settings, as deploy/frostrelay.toml; without it every one is at its standard.")
    private Path own;

    @Override
    public Integer call() {
        String path = platform != null ? platform.toString() : System.getenv("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "name a CONFIG, or set GW_CONFIG");
        }
        if (own != null) {
            // Refused before anything starts, with every problem on a line of its own.
            LocalSettings.read(own);
        }
        NodeProcess.start(path, () -> own == null ? Options.DEFAULTS : LocalSettings.read(own));
        return RUNS_ON;
    }
}
