package frostrelay.node;

import frostrelay.node.cluster.ClusterOptions;

/** Entry point of the balancer on the platform. */
public final class Main {
    private Main() {}

    /**
     * Takes no arguments. The environment variable {@code GW_CONFIG} is the path of the
     * configuration file; {@link ClusterOptions} lists the system properties.
     */
    public static void main(String[] args) {
        NodeProcess.start(System.getenv("GW_CONFIG"), Options::fromSystemProperties);
    }
}
