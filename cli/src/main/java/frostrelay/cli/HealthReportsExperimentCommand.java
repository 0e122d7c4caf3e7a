package frostrelay.cli;

import frostrelay.emulator.SimHealthReports;
import frostrelay.report.HealthReportsPage;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;

/**
 * How soon a tier of many sizes knows which caches are dead, what it takes for dead wrongly, and
 * what that costs.
 */
@Command(
        name = "judgements",
        mixinStandardHelpOptions = true,
        description = {
            "Plays tiers of balancers that tell each other what they see of caches, in simulated time."
        })
final class HealthReportsExperimentCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "8,100,512,2000",
            description = "Balancers (${DEFAULT-VALUE}).")
    private List<Integer> sizes;

    @Option(
            names = "--loss",
            split = ",",
            paramLabel = "PART",
            defaultValue = "0.01,0.1,0.3",
            description = "Parts of the datagrams that are lost (${DEFAULT-VALUE}).")
    private List<Double> losses;

    @Option(
            names = "--caches",
            paramLabel = "N",
            defaultValue = "60",
            description = "Caches (${DEFAULT-VALUE}).")
    private int caches;

    @Option(
            names = "--reads",
            paramLabel = "N",
            defaultValue = "10",
            description = "Reads of each balancer a second (${DEFAULT-VALUE}).")
    private double reads;

    @Option(
            names = "--dead",
            paramLabel = "PART",
            defaultValue = "0.2",
            description = "Caches that fall silent (${DEFAULT-VALUE}).")
    private double dead;

    @Option(
            names = "--for",
            paramLabel = "S",
            defaultValue = "10",
            description = "For so many seconds (${DEFAULT-VALUE}).")
    private int length;

    @Option(
            names = "--chance",
            paramLabel = "PART",
            defaultValue = "0.005",
            description = "Attempts at healthy caches that fail (${DEFAULT-VALUE}).")
    private double chance;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "3",
            description = "Days of each (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--report", paramLabel = "FILE", description = "Writes a page with plots.")
    private Path report;

    @Override
    public Integer call() throws IOException {
        List<SimHealthReports.Plan> plans = new ArrayList<>();
        for (int size : sizes) {
            for (double loss : losses) {
                for (int seed = 1; seed <= seeds; seed++) {
                    plans.add(
                            new SimHealthReports.Plan(
                                    size, caches, reads, loss, dead, length, chance, seed));
                }
            }
        }
        List<Map<String, Object>> played =
                IntStream.range(0, plans.size())
                        .parallel()
                        .mapToObj(i -> SimHealthReports.run(plans.get(i)))
                        .toList();
        StringBuilder text = new StringBuilder();
        for (Map<String, Object> one : played) {
            // What lies over time is for the plots.
            Map<String, Object> brief = new LinkedHashMap<>(one);
            brief.values().removeIf(List.class::isInstance);
            text.append(brief).append(System.lineSeparator());
        }
        if (report != null) {
            Files.writeString(report, new HealthReportsPage(played).html());
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("days", played);
        output.result(all, text.toString().stripTrailing());
        return 0;
    }
}
