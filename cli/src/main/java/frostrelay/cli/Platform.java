package frostrelay.cli;

import frostrelay.config.BadConfigException;
import frostrelay.config.Problem;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.ConfigFile;

import java.nio.file.Path;
import java.util.List;

/** Checks of the platform's own JSON, which the balancer reads by itself. */
final class Platform {
    private Platform() {}

    /** What holds, a line each; throws what is wrong. */
    static String check(Path file) {
        try {
            return String.join(System.lineSeparator(), ConfigFile.describe(file))
                    + System.lineSeparator();
        } catch (ConfigException e) {
            throw new BadConfigException(
                    List.of(
                            new Problem(
                                    file.toString(),
                                    0,
                                    "",
                                    e.getMessage(),
                                    "a configuration as docs/configuration.md describes it")));
        }
    }
}
