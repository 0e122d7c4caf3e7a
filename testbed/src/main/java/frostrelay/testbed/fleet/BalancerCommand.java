package frostrelay.testbed.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How the real balancer is started: the command line without what differs from balancer to
 * balancer.
 */
public record BalancerCommand(List<String> command) {
    private static final String MAIN_CLASS = "frostrelay.node.Main";

    /**
     * As the platform runs it, from the jar below a checkout's root. Throws IllegalStateException
     * if it is not built.
     */
    public static BalancerCommand fromCheckout(Path root) {
        Path jar = root.resolve("node/target/frostrelay-node.jar");
        if (!Files.isRegularFile(jar)) {
            throw new IllegalStateException("the balancer is not built: " + jar + " is missing");
        }
        List<String> command =
                new ArrayList<>(
                        List.of(javaExecutable(), "@" + root.resolve("deploy/jvm.options")));
        Path archive = root.resolve("node/target/frostrelay.jsa");
        if (Files.isRegularFile(archive)) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        command.addAll(List.of("-cp", jar.toString(), MAIN_CLASS));
        return new BalancerCommand(command);
    }

    /** From this process's own class path, for tests. */
    public static BalancerCommand fromClassPath() {
        return new BalancerCommand(
                List.of(
                        javaExecutable(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-Xshare:auto",
                        "-cp",
                        System.getProperty("java.class.path"),
                        MAIN_CLASS));
    }

    /** The java that runs this program. */
    public static String javaExecutable() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }
}
