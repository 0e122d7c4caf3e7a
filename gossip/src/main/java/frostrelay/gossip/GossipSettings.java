package frostrelay.gossip;

/**
 * Timeouts and limits of the gossip protocol.
 *
 * @param maxBytesPerSecond limit on the bytes that this member sends in any second, excluding the
 *     headers of lower layers
 * @param probePeriodNanos interval between probes
 * @param probeRetryNanos interval between the attempts of one probe; the third also requests
 *     indirect probes
 * @param missedProbesToSuspect consecutive periods without an answer after which a member is
 *     suspected
 * @param suspicionTimeoutNanos minimum time that a suspected member has to refute; multiplied by
 *     the decimal logarithm of the cluster's size
 * @param isolationTimeoutNanos time without any received datagram after which a member considers
 *     itself isolated and the states of its peers unknown
 * @param wireVersion wire version that this member writes; readers check only the minimum version
 *     in the same header, which stays 1
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
     * The standard values.
     *
     * <ul>
     *   <li>Bytes per second: for a hundred balancers with ten requests per second each, the cost
     *       is 0.01 * 100 * 2048 / (256 * 1000) = 0.008 if all of them constantly send at the
     *       limit; the mean is an eighth of that.
     *   <li>Probe period: 1 s is a tenth of the duration of a restart and costs two datagrams.
     *   <li>Retry: about twice the sum of the longest round trip, 60 ms, and a garbage collection
     *       pause, 20 ms.
     *   <li>Missed probes: at 30% loss, a period fails with a probability of 15 in 1,000, three
     *       consecutive ones with 3 in a million.
     *   <li>Suspicion: an update reaches every member in about 1 s, and so does its refutation.
     *   <li>Isolation: at 30% loss, five probes of the member and those of its peers all fail with
     *       a probability of 1 in a million.
     * </ul>
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

    /** Returns a copy with another limit of bytes per second. */
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

    /** Returns a copy with another wire version. */
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
