package frostrelay.node;

import frostrelay.node.lifecycle.SharedDirectory;

/**
 * Divides the file descriptors that a balancer may use among client connections, upstream
 * connections and a reserve. The limit applies to all processes of a balancer together, so that the
 * share of this one depends on the usage of its peer processes. Not thread-safe.
 */
final class DescriptorLimits {
    /**
     * Descriptors reserved for the JVM itself (11 when idle), discovery, the admin server, the
     * listening sockets and connections being accepted.
     */
    private static final int MAX_RESERVED = 48;

    private static final int RESERVED_DIVISOR = 4;

    /**
     * Clients with requests use at most a third of the descriptors. Extra descriptors are available
     * for closed connections that have not been handled yet, which would otherwise displace active
     * clients, for idle clients and for clients whose requests are only rejected.
     */
    private static final int REQUEST_CLIENTS_DIVISOR = 3;

    private static final int EXTRA_CLIENTS_DIVISOR = 8;
    private static final int SURPLUS_CLIENTS_DIVISOR = 16;
    private static final int MAX_SURPLUS_CLIENTS = 16;

    private final int maxSurplusClients;

    /** Descriptors for clients and for upstream connections, over all processes. */
    private final int clientDescriptors;

    private final int upstreamDescriptors;

    /** Descriptors that each process reserves. */
    private int reservedPerProcess;

    DescriptorLimits(int descriptorLimit) {
        reservedPerProcess = reserved(descriptorLimit);
        maxSurplusClients =
                Math.min(MAX_SURPLUS_CLIENTS, descriptorLimit / SURPLUS_CLIENTS_DIVISOR);
        clientDescriptors =
                Math.max(
                        1,
                        descriptorLimit / REQUEST_CLIENTS_DIVISOR
                                + descriptorLimit / EXTRA_CLIENTS_DIVISOR);
        upstreamDescriptors =
                Math.max(
                        1,
                        descriptorLimit
                                - reservedPerProcess
                                - clientDescriptors
                                - maxSurplusClients);
    }

    private static int reserved(int descriptorLimit) {
        return Math.min(MAX_RESERVED, descriptorLimit / RESERVED_DIVISOR);
    }

    /**
     * Applies the limit of a reloaded configuration. Until a restart, this changes only the reserve
     * that is subtracted for each peer process.
     */
    void onReload(int descriptorLimit) {
        reservedPerProcess = reserved(descriptorLimit);
    }

    /** Returns how many connections over the maximum are accepted only to reject their requests. */
    int maxSurplusClients() {
        return maxSurplusClients;
    }

    /**
     * Returns the limit on client connections of this process: the descriptors that its peer
     * processes do not use, but at least an equal share.
     */
    int maxClients(SharedDirectory.Snapshot sharedState) {
        return Math.max(
                clientDescriptors / (1 + sharedState.peerProcessCount()),
                clientDescriptors - sharedState.peerUsage().clients());
    }

    /**
     * Returns the limit on upstream connections of this process, computed like {@link #maxClients}
     * after subtracting a reserve for each peer process.
     */
    int maxUpstreamConnections(SharedDirectory.Snapshot sharedState) {
        int processCount = 1 + sharedState.peerProcessCount();
        int available =
                Math.max(
                        processCount,
                        upstreamDescriptors - sharedState.peerProcessCount() * reservedPerProcess);
        return Math.max(available / processCount, available - sharedState.peerUsage().upstreams());
    }
}
