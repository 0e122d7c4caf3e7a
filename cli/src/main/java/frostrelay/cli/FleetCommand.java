package frostrelay.cli;

import frostrelay.testbed.fleet.BalancerCommand;
import frostrelay.testbed.fleet.ControlServer;
import frostrelay.testbed.fleet.FaultInjector;
import frostrelay.testbed.fleet.TestCluster;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.wire.Loopback;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

/** A fleet that runs until it is stopped, to be loaded and hurt by hand. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Starts a day's archive, caches, discovery and balancers on loopback and leaves them running until Ctrl-C.",
            "Load it with 'frostrelay load', hurt it with 'frostrelay fault'."
        })
final class FleetCommand implements Callable<Integer> {
    @Mixin private ScenarioOptions options;

    @Option(
            names = "--control",
            paramLabel = "PORT",
            defaultValue = "7801",
            description =
                    "Where it takes faults, on 127.0.0.1 (${DEFAULT-VALUE}; 0 for any free port).")
    private int control;

    @Option(
            names = "--by-hand",
            paramLabel = "FOLDER",
            description =
                    "Start no balancers; write their configurations here, for 'frostrelay serve'.")
    private Path configFolder;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = options.scenario();
        Path folder = configFolder == null ? Checkout.folder() : configFolder;
        BalancerCommand program = configFolder == null ? Checkout.balancer() : null;
        try (TestCluster fleet = new TestCluster(scenario, folder, program);
                FaultInjector faults =
                        new FaultInjector(
                                fleet, null, null, text -> System.out.println(">> " + text));
                ControlServer calls =
                        new ControlServer(control, () -> status(fleet), faults::inject)) {
            if (program != null) {
                Runnable end = fleet::close;
                Runtime.getRuntime()
                        .addShutdownHook(
                                new Thread(
                                        () -> {
                                            end.run();
                                            Checkout.remove(folder);
                                        }));
                fleet.startBalancers();
            }
            for (TestCluster.BalancerInstance place : fleet.balancers()) {
                System.out.print(
                        place.name()
                                + ": clients at "
                                + Loopback.text(place.listenAddress())
                                + ", operators at "
                                + Loopback.text(place.adminAddress()));
                if (configFolder != null) {
                    Files.createDirectories(folder);
                    Path file =
                            Files.writeString(
                                    folder.resolve(place.name() + ".json"), place.config());
                    System.out.print(", start it with: bin/frostrelay serve " + file);
                }
                System.out.println();
            }
            System.out.println(
                    scenario.caches()
                            + " caches run; faults at "
                            + Loopback.text(calls.address())
                            + "; Ctrl-C ends all");
            Thread.currentThread().join();
            return 0;
        }
    }

    private static Map<String, Object> status(TestCluster fleet) {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("hits", fleet.hits());
        status.put("misses", fleet.misses());
        status.put("fetches", fleet.fetches());
        status.put("attempts", fleet.invariantChecker().attemptCount());
        Map<String, Object> balancers = new LinkedHashMap<>();
        fleet.balancers()
                .forEach(
                        place -> balancers.put(place.name(), Loopback.text(place.listenAddress())));
        status.put("balancers", balancers);
        return status;
    }
}
