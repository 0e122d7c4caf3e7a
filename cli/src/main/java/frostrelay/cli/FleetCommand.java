package frostrelay.cli;

import frostrelay.rig.day.Day;
import frostrelay.rig.fleet.Control;
import frostrelay.rig.fleet.Faults;
import frostrelay.rig.fleet.Fleet;
import frostrelay.rig.fleet.Program;
import frostrelay.rig.wire.Loopback;

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
    @Mixin private DayOptions options;

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
    private Path byHand;

    @Override
    public Integer call() throws Exception {
        Day day = options.day();
        Path folder = byHand == null ? Checkout.folder() : byHand;
        Program program = byHand == null ? Checkout.balancer() : null;
        try (Fleet fleet = new Fleet(day, folder, program);
                Faults faults =
                        new Faults(fleet, null, null, text -> System.out.println(">> " + text));
                Control calls = new Control(control, () -> status(fleet), faults::call)) {
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
            for (Fleet.Place place : fleet.balancers()) {
                System.out.print(
                        place.name()
                                + ": clients at "
                                + Loopback.text(place.listen())
                                + ", operators at "
                                + Loopback.text(place.console()));
                if (byHand != null) {
                    Files.createDirectories(folder);
                    Path file =
                            Files.writeString(
                                    folder.resolve(place.name() + ".json"), place.config());
                    System.out.print(", start it with: bin/frostrelay serve " + file);
                }
                System.out.println();
            }
            System.out.println(
                    day.caches()
                            + " caches run; faults at "
                            + Loopback.text(calls.address())
                            + "; Ctrl-C ends all");
            Thread.currentThread().join();
            return 0;
        }
    }

    private static Map<String, Object> status(Fleet fleet) {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("hits", fleet.hits());
        status.put("misses", fleet.misses());
        status.put("fetches", fleet.fetches());
        status.put("attempts", fleet.referee().attempts());
        Map<String, Object> balancers = new LinkedHashMap<>();
        fleet.balancers()
                .forEach(place -> balancers.put(place.name(), Loopback.text(place.listen())));
        status.put("balancers", balancers);
        return status;
    }
}
