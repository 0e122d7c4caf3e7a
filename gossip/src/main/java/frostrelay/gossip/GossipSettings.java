package frostrelay.gossip;

/**
 * The bounds of talk between balancers, in nanoseconds and bytes. Each standard value has its
 * reason beside it.
 *
 * @param maxBytesPerSecond most bytes that this balancer sends in any second, datagrams alone
 * @param probePeriodNanos from one probe to the next
 * @param probeRetryNanos an unanswered probe is sent again after this, and after as long again also
 *     through others
 * @param missedProbesToSuspect so many periods in a row without an answer make a suspicion
 * @param suspicionTimeoutNanos how long a suspected balancer has to object, times the logarithm of
 *     the fleet
 * @param isolationTimeoutNanos having heard nothing for so long, this balancer knows nothing of the
 *     others any more
 * @param wireVersion of what it writes; readers go by the least form that can read it, which stays
 *     1
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
     * Ceiling: a hundred balancers of ten requests a second pay 0.01 * 100 * 2048 / (256 * 1000) =
     * 0.008 if all of them talk at it without end; the mean is an eighth of that. Period: a second
     * is a tenth of what a restart takes, at two datagrams. Again: the slowest way there and back
     * takes 60 ms, a garbage collection 20, twice that. Doubts: at 30% loss a period fails in 15 of
     * 1,000, three in a row in 3 of a million. Object: a rumour reaches everybody in about 1 s, the
     * objection as well. Deaf: five probes of its own and those of others, all in vain, have a
     * chance of 1 in a million at 30% loss.
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

    /** The same under another ceiling. */
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

    /** The same as another build writes it. */
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
