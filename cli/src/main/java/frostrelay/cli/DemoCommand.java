package frostrelay.cli;

import frostrelay.rig.day.Day;
import frostrelay.rig.fleet.DayPlay;
import frostrelay.rig.fleet.Result;

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
    @Mixin private DayOptions options;

    @Mixin private Output output;

    @Option(
            names = "--keep",
            paramLabel = "FOLDER",
            description = "Keep the balancers' configurations and logs here.")
    private Path keep;

    @Override
    public Integer call() throws Exception {
        Day day = options.day();
        Path folder = keep == null ? Checkout.folder() : keep;
        try {
            output.progress(
                    String.format(
                            java.util.Locale.ROOT,
                            "%d caches, %d balancers, an archive and discovery on loopback; %.0f requests/s for %.0f s",
                            day.caches(),
                            day.balancers(),
                            day.load().rate(),
                            day.length() / 1e9));
            Result result = DayPlay.play(day, folder, Checkout.balancer(), output::progress);
            output.result(result.json(), result.text());
            return result.good() ? 0 : 1;
        } finally {
            if (keep == null) {
                Checkout.remove(folder);
            }
        }
    }
}
