package frostrelay.node;

import frostrelay.node.cluster.ClusterOptions;

/** The real balancer as the platform starts it. */
public final class Main {
    private Main() {}

    /**
     * Takes no arguments; {@code GW_CONFIG} names the configuration; {@link ClusterOptions} its
     * properties.
     */
    public static void main(String[] args) {
        NodeProcess.start(System.getenv("GW_CONFIG"), Options::fromSystemProperties);
    }
}
