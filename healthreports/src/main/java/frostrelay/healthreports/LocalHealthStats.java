package frostrelay.healthreports;

/** This balancer's own recent results with one cache: exponentially decaying counts. */
final class LocalHealthStats {
    /** Decayed failure counts below this fraction of an attempt are reset to 0. */
    private static final double MIN_FAILURES = 0.3;

    private static final double LN2 = Math.log(2);
    private double successes;
    private double failures;

    /** Failed or unanswered attempts since the last answer. */
    private int consecutiveFailures;

    private int observationBits;
    private long decayedAtNanos;
    private long lastSuccessNanos = Long.MIN_VALUE / 2;

    /** The last report written about the cache; null if there is none. */
    HealthReport lastReport;

    long lastReportNanos = Long.MIN_VALUE / 2;
    int sequenceNumber;

    /**
     * Counts an attempt that was sent at {@code sentAtNanos}. An unanswered attempt is ignored if
     * the cache has answered another one since, because then the key is slow and not the cache.
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

    /** Returns whether the cache answered recently enough to outweigh the reports of peers. */
    boolean hasFreshSuccess(long now, long freshNanos) {
        return now - lastSuccessNanos < freshNanos && consecutiveFailures == 0;
    }

    /** Returns whether the latest attempt failed and has not decayed yet. */
    boolean isFailing() {
        return consecutiveFailures > 0;
    }

    /**
     * Returns the time of the cache's last answer, which supersedes older reports, or {@link
     * Long#MIN_VALUE} if an attempt has failed since.
     */
    long answeredAtNanos() {
        return consecutiveFailures == 0 ? lastSuccessNanos : Long.MIN_VALUE;
    }

    /**
     * Returns whether two attempts in a row failed, one failed after a half-life without an answer,
     * or most recent ones failed. Unanswered attempts alone do not count while the cache has
     * answered others within a half-life, because then it is slow for some keys only.
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

    /** Writes the next report about the cache and keeps it as {@link #lastReport}. */
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
                        ++sequenceNumber & HealthReport.U16_MASK,
                        serverStart,
                        unhealthy ? 0 : toReportCount(successes),
                        unhealthy ? toReportCount(Math.max(1, failures)) : 0,
                        unhealthy ? observationBits : 0);
        lastReportNanos = now;
        return lastReport;
    }

    private static int toReportCount(double count) {
        return (int) Math.min(HealthReport.MAX_COUNT, Math.ceil(count));
    }
}
