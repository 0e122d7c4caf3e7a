package frostrelay.policy;

import frostrelay.policy.api.EndpointState;

/** The state of one server: its entry in the endpoint list and this balancer's observations. */
final class TrackedServer {
    /** A time in the distant past that does not overflow when subtracted from another time. */
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

    /** Moving average of the duration of the server's answers and timeouts. */
    double latencyNanos;

    final CircuitBreaker breaker = new CircuitBreaker();

    /** Time at which slow start began, 0 if the server is warm. */
    long warmingSinceNanos;

    /** Level of the slow start's token bucket, as of {@link #refilledAtNanos}. */
    double tokens;

    long refilledAtNanos;

    /** The cost of the attempts since {@link #windowStartedAtNanos}, during slow start. */
    double windowCost;

    long windowStartedAtNanos;

    /** How often slow start did not admit a request, since it began. */
    long heldBack;

    /** Number of recent answers, decaying exponentially, as of {@link #recentAnswersAtNanos}. */
    double recentAnswers;

    long recentAnswersAtNanos;

    /** Moving average of the fraction of the server's cache hits that are slow. */
    double slowHitFraction;

    /** Time at which a failed read at the server last counted as a failed origin fetch. */
    long fetchFailedAtNanos = LONG_AGO_NANOS;

    /** Set while peers report the server as an outlier. */
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
