package frostrelay.gossip;

/**
 * Timeouts and limits of the gossip protocol.
 *
 * @param maxBytesPerSecond limit of the bytes that this member sends in any second, without the
 *     headers of lower layers
 * @param probePeriodNanos from one probe to the next
 * @param probeRetryNanos interval between the attempts of one probe; the third also requests
 *     indirect probes
 * @param missedProbesToSuspect number of periods in a row without an answer that make a suspicion
 * @param suspicionTimeoutNanos how long a suspected member has at least to refute, times the
 *     decimal logarithm of the cluster's size
 * @param isolationTimeoutNanos a member that received nothing for so long knows nothing of its
 *     peers
 * @param wireVersion version of what this member writes; readers go by the minimum version beside
 *     it, which stays 1
 */
public record GossipSettings(
        int maxBytesPerSecond,
        long probePeriodNanos,
        long probeRetryNanos,
        int missedProbesToSuspect,
        long suspicionTimeoutNanos,
        long isolationTimeoutNanos,
        int wireVersion) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The standard values. Bytes per second: a hundred balancers of ten requests a second cost 0.01
     * * 100 * 2048 / (256 * 1000) = 0.008 if all of them send at the limit without end; the mean is
     * an eighth of that. Probe period: a second is a tenth of the time of a restart, at two
     * datagrams. Retry: the longest round trip takes 60 ms and a garbage collection 20 ms; this is
     * about twice that. Missed probes: at 30% loss a period fails in 15 of 1,000, three in a row in
     * 3 of a million. Suspicion: an update reaches every member in about 1 s, and so does its
     * refutation. Isolation: at 30% loss five probes of its own and those of its peers all fail
     * with a probability of 1 in a million.
     */
    public static final GossipSettings STANDARD =
            new GossipSettings(
                    2048,
                    1_000 * NANOS_PER_MILLI,
                    150 * NANOS_PER_MILLI,
                    3,
                    2_000 * NANOS_PER_MILLI,
                    5_000 * NANOS_PER_MILLI,
                    1);

    /** A copy with another limit of bytes per second. */
    public GossipSettings withMaxBytesPerSecond(int bytesPerSecond) {
        return new GossipSettings(
                bytesPerSecond,
                probePeriodNanos,
                probeRetryNanos,
                missedProbesToSuspect,
                suspicionTimeoutNanos,
                isolationTimeoutNanos,
                wireVersion);
    }

    /** A copy that writes another wire version. */
    public GossipSettings withWireVersion(int version) {
        return new GossipSettings(
                maxBytesPerSecond,
                probePeriodNanos,
                probeRetryNanos,
                missedProbesToSuspect,
                suspicionTimeoutNanos,
                isolationTimeoutNanos,
                version);
    }
}
