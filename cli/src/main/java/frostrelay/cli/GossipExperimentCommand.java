package frostrelay.cli;

import frostrelay.emulator.SimGossip;
import frostrelay.report.GossipPage;
import frostrelay.report.StaleInstancesPage;

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

/** How fast news goes round in tiers of many sizes, and what it costs. */
@Command(
        name = "peers",
        mixinStandardHelpOptions = true,
        description = {
            "Plays tiers of balancers that talk, in simulated time: how soon a change is known everywhere, false suspicions, bytes."
        })
final class GossipExperimentCommand implements Callable<Integer> {
    @Mixin private Output output;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "8,64,512,2000",
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
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "120",
            description = "Of each day (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "3",
            description = "Days of each (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--changes",
            paramLabel = "N",
            defaultValue = "20",
            description = "Changes a day (${DEFAULT-VALUE}).")
    private int changes;

    @Option(
            names = "--together",
            description = "All of them change within 300 ms, once, as at a new list.")
    private boolean simultaneous;

    @Option(
            names = "--kill",
            paramLabel = "N",
            defaultValue = "0",
            description = "Balancers that die (${DEFAULT-VALUE}).")
    private int killed;

    @Option(
            names = "--partition",
            paramLabel = "PART",
            defaultValue = "0",
            description = "Cut off for ten seconds.")
    private double partition;

    @Option(
            names = "--late",
            paramLabel = "PART",
            defaultValue = "0",
            description =
                    "With --together: whose discovery tells them 30 s late; how they find out and what they ask.")
    private double late;

    @Option(
            names = "--askable",
            description =
                    "With --late: a call out of turn brings it, as only their watches are lost.")
    private boolean discoveryAvailable;

    @Option(
            names = "--ceiling",
            paramLabel = "BYTES",
            defaultValue = "2048",
            description = "In any second (${DEFAULT-VALUE}).")
    private int ceiling;

    @Option(names = "--report", paramLabel = "FILE", description = "Writes a page with plots.")
    private Path report;

    @Override
    public Integer call() throws IOException {
        List<SimGossip.Plan> plans = new ArrayList<>();
        for (int size : sizes) {
            for (double loss : losses) {
                for (int seed = 1; seed <= seeds; seed++) {
                    plans.add(
                            new SimGossip.Plan(
                                    size,
                                    loss,
                                    2_100_000L,
                                    30_000_000L,
                                    ceiling,
                                    seconds,
                                    changes,
                                    simultaneous,
                                    Math.min(killed, size / 2),
                                    partition,
                                    late,
                                    discoveryAvailable,
                                    seed));
                }
            }
        }
        List<Map<String, Object>> played =
                IntStream.range(0, plans.size())
                        .parallel()
                        .mapToObj(i -> SimGossip.run(plans.get(i)))
                        .toList();
        StringBuilder text = new StringBuilder();
        for (Map<String, Object> one : played) {
            text.append(one).append(System.lineSeparator());
        }
        if (report != null) {
            Files.writeString(
                    report,
                    late > 0
                            ? new StaleInstancesPage(played).html()
                            : new GossipPage(played).html());
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("days", played);
        output.result(all, text.toString().stripTrailing());
        return 0;
    }
}
