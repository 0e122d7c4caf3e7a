package frostrelay.policy;

/**
 * The circuit breaker of one server. It opens when enough evidence of failure has accumulated,
 * admits one trial attempt after a delay, and closes on any success.
 */
final class CircuitBreaker {
    /**
     * Evidence at which the breaker opens. The evidence of a failure is the negative logarithm of
     * its probability at a server no worse than the average.
     */
    static final double OPEN_EVIDENCE = 14;

    /** Mean time from opening to the next trial, with a jitter of 20% in either direction. */
    private static final long TRIAL_DELAY_NANOS = 1_000_000_000L;

    private double evidence;

    /** Time from which a trial may be sent, 0 while the breaker is closed. */
    private long openUntilNanos;

    private boolean inTrial;

    /** Returns whether the breaker blocks new attempts. */
    boolean isBlocking(long now) {
        return openUntilNanos != 0 && (now < openUntilNanos || inTrial);
    }

    /** Records that an attempt was sent, which is a trial if the breaker is open. */
    void onAttemptStarted() {
        inTrial |= openUntilNanos != 0;
    }

    /** Ends a trial. Must be called after the attempt's success or failure has been recorded. */
    void onAttemptCompleted() {
        inTrial = false;
    }

    void close() {
        evidence = 0;
        openUntilNanos = 0;
    }

    void recordFailure(long now, double failureEvidence, SeededRandom random) {
        evidence += failureEvidence;
        if (evidence >= OPEN_EVIDENCE && (openUntilNanos == 0 || inTrial)) {
            openUntilNanos = now + (long) (TRIAL_DELAY_NANOS * (0.8 + 0.4 * random.nextUniform()));
        }
    }
}
