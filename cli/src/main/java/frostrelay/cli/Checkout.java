package frostrelay.cli;

import frostrelay.testbed.fleet.BalancerCommand;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Where the program lies, and folders for what runs. */
final class Checkout {
    private static final String HOME = "frostrelay.home";

    private Checkout() {}

    /** The root of the checkout: told by the starter, or found above the current folder. */
    static Path root() {
        String configuredHome = System.getProperty(HOME);
        if (configuredHome != null) {
            return Path.of(configuredHome);
        }
        for (Path at = Path.of("").toAbsolutePath(); at != null; at = at.getParent()) {
            if (Files.isRegularFile(at.resolve("deploy/balancer.toml"))) {
                return at;
            }
        }
        throw new IllegalStateException(
                "no checkout of frostrelay here; start it with bin/frostrelay");
    }

    static BalancerCommand balancer() {
        return BalancerCommand.fromCheckout(root());
    }

    /** A folder for one run, which {@link #remove} takes away. */
    static Path folder() {
        try {
            return Files.createTempDirectory("frostrelay-");
        } catch (IOException e) {
            throw new UncheckedIOException("no room for temporary files", e);
        }
    }

    static void remove(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
            for (Path file : all) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | UncheckedIOException e) {
            System.err.println("left behind: " + folder);
        }
    }
}
