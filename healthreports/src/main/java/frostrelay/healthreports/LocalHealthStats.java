package frostrelay.healthreports;

/** What this balancer saw of one cache lately: counts that fade. */
final class LocalHealthStats {
    /** Less than a third of one attempt is gone. */
    private static final double MIN_FAILURES = 0.3;

    private static final double LN2 = Math.log(2);
    private double successes;
    private double failures;

    /** Attempts in a row that were none. */
    private int consecutiveFailures;

    private int observationBits;
    private long decayedAtNanos;
    private long lastSuccessNanos = Long.MIN_VALUE / 2;

    /** What was last written of it, and when; null for nothing. */
    HealthReport lastReport;

    long lastReportNanos = Long.MIN_VALUE / 2;
    int sequenceNumber;

    /**
     * {@code sentAtNanos}: of the attempt. One unanswered while its cache answered others tells of
     * its key, not of the cache.
     */
    void recordAttempt(
            long now, AttemptObservation observation, long sentAtNanos, long halfLifeNanos) {
        if (observation == AttemptObservation.SILENT && lastSuccessNanos >= sentAtNanos) {
            return;
        }
        decay(now, halfLifeNanos);
        if (observation == AttemptObservation.ANSWERED) {
            successes++;
            lastSuccessNanos = now;
            consecutiveFailures = 0;
        } else {
            failures++;
            consecutiveFailures++;
            observationBits |= observation.bit();
        }
    }

    private void decay(long now, long halfLifeNanos) {
        double remainingFraction = Math.exp(-LN2 * (now - decayedAtNanos) / halfLifeNanos);
        successes *= remainingFraction;
        failures *= remainingFraction;
        decayedAtNanos = now;
        if (failures < MIN_FAILURES) {
            failures = 0;
            consecutiveFailures = 0;
            observationBits = 0;
        }
    }

    /** Whether an answer came so lately that others' word counts for nothing. */
    boolean hasFreshSuccess(long now, long freshNanos) {
        return now - lastSuccessNanos < freshNanos && consecutiveFailures == 0;
    }

    /** Whether the last attempt, if lately, was none. */
    boolean isFailing() {
        return consecutiveFailures > 0;
    }

    /** When it last answered, if nothing has failed since: word older than that is overtaken. */
    long answeredAtNanos() {
        return consecutiveFailures == 0 ? lastSuccessNanos : Long.MIN_VALUE;
    }

    /**
     * Two in a row, one behind a long while without an answer, or most of what was seen lately;
     * silence alone not where it answered others lately, as it is slow for some keys then.
     */
    boolean isUnhealthy(long now, HealthReportSettings settings) {
        decay(now, settings.halfLifeNanos());
        if (observationBits == AttemptObservation.SILENT.bit()
                && now - lastSuccessNanos < settings.halfLifeNanos()) {
            return false;
        }
        return failures > successes
                || consecutiveFailures >= 2
                || consecutiveFailures == 1 && now - lastSuccessNanos >= settings.halfLifeNanos();
    }

    HealthReport writeReport(
            long now,
            int rank,
            long incarnation,
            int serverStart,
            boolean unhealthy,
            long halfLifeNanos) {
        decay(now, halfLifeNanos);
        lastReport =
                new HealthReport(
                        rank,
                        incarnation,
                        ++sequenceNumber & 0xffff,
                        serverStart,
                        unhealthy ? 0 : (int) Math.min(255, Math.ceil(successes)),
                        unhealthy ? (int) Math.min(255, Math.ceil(Math.max(1, failures))) : 0,
                        unhealthy ? observationBits : 0);
        lastReportNanos = now;
        return lastReport;
    }
}
