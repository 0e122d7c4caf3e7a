package frostrelay.cli;

import frostrelay.rig.bench.Bench;
import frostrelay.rig.bench.Bench.Figures;
import frostrelay.rig.fleet.Program;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** What the balancer costs. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = {
    "Measures, in one run: straight to a cache, through a relay that only copies bytes, through the balancer;"
    + " in a closed loop, then at half the rate that the balancer reached.",
    "Needs four quiet cores."})
final class BenchCommand implements Callable<Integer> {
    @Mixin
    private Output output;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "5", description = "Of each measurement (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--connections", paramLabel = "N", defaultValue = "64", description = "Of clients (${DEFAULT-VALUE}).")
    private int connections;

    @Option(names = "--loops", paramLabel = "N", defaultValue = "2",
            description = "Threads of the load, which never sleep (${DEFAULT-VALUE}).")
    private int loops;

    @Override
    public Integer call() throws Exception {
        Path folder = Checkout.folder();
        Path own = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<String> relay = List.of(Program.java(), "@" + Checkout.root().resolve("deploy/jvm.options"),
                "-cp", own.toString(), Main.class.getName(), "relay");
        try (Bench bench = new Bench(connections, seconds, loops)) {
            List<Figures> all = bench.run(Checkout.balancer(), relay, folder, output::progress);
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("closed", all.subList(0, 3).stream().map(Figures::json).toList());
            figures.put("half", all.subList(3, 6).stream().map(Figures::json).toList());
            double cpuRatio = all.get(2).cpuMicros() / all.get(1).cpuMicros();
            double rateRatio = all.get(2).rate() / all.get(1).rate();
            double added = (all.get(5).p99Micros() - all.get(4).p99Micros()) / 1e3;
            figures.put("cpuBalancerPerRelay", round(cpuRatio));
            figures.put("rateBalancerPerRelay", round(rateRatio));
            figures.put("addedP99MsAtHalfLoad", round(added));
            figures.put("cacheConnections", bench.cacheConnections());
            output.result(figures, text(all, cpuRatio, rateRatio, added, bench.cacheConnections()));
            return all.stream().allMatch(one -> one.bad() == 0) ? 0 : 1;
        } finally {
            Checkout.remove(folder);
        }
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private static String text(List<Figures> all, double cpuRatio, double rateRatio, double added, long connections) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < all.size(); i++) {
            if (i % 3 == 0) {
                text.append(i == 0 ? "closed loop" : "half load  ")
                        .append("      requests/s   CPU us/request   p50 us    p99 us    bad\n");
            }
            Figures one = all.get(i);
            text.append(String.format(Locale.ROOT, "  %-12s %12.0f %16.2f %8.0f %9.0f %6d%n", one.way(), one.rate(),
                    one.cpuMicros(), one.p50Micros(), one.p99Micros(), one.bad()));
        }
        return text + String.format(Locale.ROOT, "balancer to relay: %.2f times the CPU a request, %.2f times the rate;"
                + " p99 at half load %+.2f ms; %d connections to caches", cpuRatio, rateRatio, added, connections);
    }
}
