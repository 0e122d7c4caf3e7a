package frostrelay.policy;

import frostrelay.policy.api.EndpointState;

/** One server as this balancer sees it: its entry in the endpoint list and what was observed. */
final class TrackedServer {
    /** Long past, without overflow when subtracted from a time. */
    private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

    final long id;

    /** Hash of the id, combined with a key's hash by rendezvous hashing. */
    final long salt;

    int zone;
    int kind;
    int cell;
    double weight;
    double inverseWeight;
    boolean isInLocalZone;
    EndpointState state = EndpointState.REMOVED;
    long startedAtNanos;

    /** This balancer's attempts in flight at the server. */
    int inFlight;

    /** Moving average of the duration of its answers and timeouts. */
    double latencyNanos;

    final CircuitBreaker breaker = new CircuitBreaker();

    /** Start of the slow start, 0 if the server is warm. */
    long warmingSinceNanos;

    /** Attempts that slow start allows now, as of {@link #refilledAtNanos}. */
    double tokens;

    long refilledAtNanos;

    /** Number of recent answers, decaying exponentially, as of {@link #recentAnswersAtNanos}. */
    double recentAnswers;

    long recentAnswersAtNanos;

    /** Moving average of the fraction of its cache hits that are slow. */
    double slowHitFraction;

    /** When a failed read here was last counted as a failed origin fetch. */
    long fetchFailedAtNanos = LONG_AGO_NANOS;

    /** Peers consider the server an outlier. */
    boolean isOutlier;

    /**
     * Reads for which the server was a candidate since it became an outlier, -1 before the first.
     */
    int skippedReads;

    TrackedServer(long id) {
        this.id = id;
        this.salt = SeededRandom.mix(id + SeededRandom.GOLDEN_GAMMA);
    }
}
