package frostrelay.cli;

import frostrelay.testbed.bench.Bench;
import frostrelay.testbed.bench.Bench.Figures;
import frostrelay.testbed.bench.Bench.Phase;
import frostrelay.testbed.fleet.BalancerCommand;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** What the balancer costs. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = {
            "Measures, in one run: straight to a cache, through a relay that only copies bytes, through the balancer;"
                    + " in a closed loop, then at half the rate that the balancer reached.",
            "Needs four quiet cores."
        })
final class BenchCommand implements Callable<Integer> {
    private static final int RELAY = 1;
    private static final int BALANCER = 2;
    private static final int AUDITED = 3;

    @Mixin private Output output;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "2",
            description = "Of each measurement (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "5",
            description =
                    "Of all ways; the middle one counts, and the spread is told (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "64",
            description = "Of clients (${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--loops",
            paramLabel = "N",
            defaultValue = "2",
            description = "Threads of the load, which never sleep (${DEFAULT-VALUE}).")
    private int loops;

    @Option(
            names = "--audited",
            description = "Also measures a balancer that talks with peers and keeps account.")
    private boolean audited;

    @Override
    public Integer call() throws Exception {
        Path folder = Checkout.folder();
        Path own = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<String> relay =
                List.of(
                        BalancerCommand.javaExecutable(),
                        "@" + Checkout.root().resolve("deploy/jvm.options"),
                        "-cp",
                        own.toString(),
                        Main.class.getName(),
                        "relay");
        try (Bench bench = new Bench(connections, seconds, loops)) {
            List<Phase> phases =
                    bench.run(
                            Checkout.balancer(),
                            further(),
                            relay,
                            folder,
                            Math.max(1, rounds),
                            output::progress);
            double[] cpu =
                    phases.get(0)
                            .compare(
                                    BALANCER,
                                    RELAY,
                                    (one, other) -> one / other,
                                    Figures::cpuMicros);
            double[] rate =
                    phases.get(0)
                            .compare(
                                    BALANCER,
                                    RELAY,
                                    (one, other) -> one / other,
                                    Figures::perSecond);
            double[] added =
                    phases.get(1)
                            .compare(
                                    BALANCER,
                                    RELAY,
                                    (one, other) -> (one - other) / 1e3,
                                    Figures::p99Micros);
            Map<String, Object> figures = new LinkedHashMap<>();
            for (Phase phase : phases) {
                figures.put(
                        phase.name().replace(' ', '-'),
                        List.of(
                                phase.median(0).json(),
                                phase.median(RELAY).json(),
                                phase.median(BALANCER).json()));
            }
            figures.put("cpuBalancerPerRelay", spread(cpu));
            figures.put("rateBalancerPerRelay", spread(rate));
            figures.put("addedP99MsAtHalfLoad", spread(added));
            figures.put("cacheConnections", bench.cacheConnections());
            String further = "";
            if (audited) {
                double[] more =
                        phases.get(0)
                                .compare(
                                        AUDITED,
                                        BALANCER,
                                        (one, other) -> one / other,
                                        Figures::cpuMicros);
                double[] half =
                        phases.get(1)
                                .compare(
                                        AUDITED,
                                        BALANCER,
                                        (one, other) -> one / other,
                                        Figures::cpuMicros);
                long memory =
                        phases.get(1).median(AUDITED).residentKb()
                                - phases.get(1).median(BALANCER).residentKb();
                figures.put("cpuAuditedPerBalancer", spread(more));
                figures.put("cpuAuditedPerBalancerAtHalfLoad", spread(half));
                figures.put("memoryAuditedKb", memory);
                further =
                        String.format(
                                Locale.ROOT,
                                "%naudited to balancer: CPU a request %.3f times (%.3f to %.3f),"
                                        + " at half load %.3f (%.3f to %.3f), memory %+d KB",
                                more[1],
                                more[0],
                                more[2],
                                half[1],
                                half[0],
                                half[2],
                                memory);
            }
            output.result(
                    figures, text(phases, cpu, rate, added, bench.cacheConnections()) + further);
            return phases.stream().allMatch(phase -> phase.median(BALANCER).errors() == 0) ? 0 : 1;
        } finally {
            Checkout.remove(folder);
        }
    }

    private BalancerCommand further() {
        if (!audited) {
            return null;
        }
        List<String> command = new ArrayList<>(Checkout.balancer().command());
        command.addAll(
                command.size() - 1, List.of("-Dfrostrelay.peers=on", "-Dfrostrelay.audit=on"));
        return new BalancerCommand(command);
    }

    private static Map<String, Object> spread(double[] values) {
        Map<String, Object> spread = new LinkedHashMap<>();
        spread.put("least", round(values[0]));
        spread.put("middle", round(values[1]));
        spread.put("most", round(values[2]));
        return spread;
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private static String text(
            List<Phase> phases, double[] cpu, double[] rate, double[] added, long connections) {
        StringBuilder text = new StringBuilder();
        for (Phase phase : phases) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-12s %13s %16s %8s %9s %6s%n",
                            phase.name(),
                            "requests/s",
                            "CPU us/request",
                            "p50 us",
                            "p99 us",
                            "bad"));
            for (int way = 0; way < phase.roundsByTarget().size(); way++) {
                Figures one = phase.median(way);
                text.append(
                        String.format(
                                Locale.ROOT,
                                "  %-10s %13.0f %16.2f %8.0f %9.0f %6d%n",
                                one.target(),
                                one.perSecond(),
                                one.cpuMicros(),
                                one.p50Micros(),
                                one.p99Micros(),
                                one.errors()));
            }
        }
        return text
                + String.format(
                        Locale.ROOT,
                        "balancer to relay, middle of the rounds (least to most):%n"
                                + "  CPU a request %.2f times (%.2f to %.2f), rate %.2f times (%.2f to %.2f),"
                                + " p99 at half load %+.2f ms (%+.2f to %+.2f)%n  %d connections to caches",
                        cpu[1],
                        cpu[0],
                        cpu[2],
                        rate[1],
                        rate[0],
                        rate[2],
                        added[1],
                        added[0],
                        added[2],
                        connections);
    }
}
