package frostrelay.testbed.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command line that starts a real balancer, without the settings of an individual balancer. */
public record BalancerCommand(List<String> command) {
    private static final String MAIN_CLASS = "frostrelay.node.Main";

    /**
     * Returns the command that the platform uses, with the jar built in a checkout. Throws
     * IllegalStateException if the jar is missing.
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

    /** Returns a command that uses the class path of this process, for tests. */
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

    /** Returns the path of the Java executable that runs this process. */
    public static String javaExecutable() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }
}
