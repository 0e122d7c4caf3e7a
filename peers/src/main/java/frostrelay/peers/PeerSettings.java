package frostrelay.peers;

/**
 * The bounds of talk between balancers, in nanoseconds and bytes. Each standard value has its
 * reason beside it.
 *
 * @param ceiling most bytes that this balancer sends in any second, datagrams alone
 * @param period from one probe to the next
 * @param again an unanswered probe is sent again after this, and after as long again also through
 *     others
 * @param doubts so many periods in a row without an answer make a suspicion
 * @param object how long a suspected balancer has to object, times the logarithm of the fleet
 * @param deaf having heard nothing for so long, this balancer knows nothing of the others any more
 * @param form of what it writes; readers go by the least form that can read it, which stays 1
 */
public record PeerSettings(
        int ceiling, long period, long again, int doubts, long object, long deaf, int form) {
    private static final long MILLISECOND = 1_000_000L;

    /**
     * Ceiling: a hundred balancers of ten requests a second pay 0.01 * 100 * 2048 / (256 * 1000) =
     * 0.008 if all of them talk at it without end; the mean is an eighth of that. Period: a second
     * is a tenth of what a restart takes, at two datagrams. Again: the slowest way there and back
     * takes 60 ms, a garbage collection 20, twice that. Doubts: at 30% loss a period fails in 15 of
     * 1,000, three in a row in 3 of a million. Object: a rumour reaches everybody in about 1 s, the
     * objection as well. Deaf: five probes of its own and those of others, all in vain, have a
     * chance of 1 in a million at 30% loss.
     */
    public static final PeerSettings STANDARD =
            new PeerSettings(
                    2048,
                    1_000 * MILLISECOND,
                    150 * MILLISECOND,
                    3,
                    2_000 * MILLISECOND,
                    5_000 * MILLISECOND,
                    1);

    /** The same under another ceiling. */
    public PeerSettings under(int bytes) {
        return new PeerSettings(bytes, period, again, doubts, object, deaf, form);
    }

    /** The same as another build writes it. */
    public PeerSettings as(int other) {
        return new PeerSettings(ceiling, period, again, doubts, object, deaf, other);
    }
}
