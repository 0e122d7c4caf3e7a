package frostrelay.cli;

import frostrelay.testbed.fleet.ScenarioResult;
import frostrelay.testbed.fleet.ScenarioRun;
import frostrelay.testbed.scenario.Scenario;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.nio.file.Path;
import java.util.concurrent.Callable;

/** Shows the whole of it on one machine. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Starts discovery, an archive, ten caches and two balancers on loopback, loads them,"
                    + " kills a cache, slows three, drains one, and says how it went.",
            "Exits with 0 if no request was lost or answered wrongly and no rule was broken."
        })
final class DemoCommand implements Callable<Integer> {
    @Mixin private ScenarioOptions options;

    @Mixin private Output output;

    @Option(
            names = "--keep",
            paramLabel = "FOLDER",
            description = "Keep the balancers' configurations and logs here.")
    private Path keep;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = options.scenario();
        Path folder = keep == null ? Checkout.folder() : keep;
        try {
            output.progress(
                    String.format(
                            java.util.Locale.ROOT,
                            "%d caches, %d balancers, an archive and discovery on loopback; %.0f requests/s for %.0f s",
                            scenario.caches(),
                            scenario.balancers(),
                            scenario.load().requestsPerSecond(),
                            scenario.durationNanos() / 1e9));
            ScenarioResult result =
                    ScenarioRun.run(scenario, folder, Checkout.balancer(), output::progress);
            output.result(result.json(), result.text());
            return result.isSuccessful() ? 0 : 1;
        } finally {
            if (keep == null) {
                Checkout.remove(folder);
            }
        }
    }
}
