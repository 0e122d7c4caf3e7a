package frostrelay.policy;

import com.tdunning.math.stats.MergingDigest;
import com.tdunning.math.stats.TDigest;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.RetryBudget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The delay after which a slow read is hedged, a quantile of recent latencies, and the budget that
 * limits retries and hedged requests.
 */
final class HedgingPolicy {
    private static final double HEDGE_QUANTILE = 0.95;

    /** Compression parameter of the t-digest, which has about as many centroids. */
    private static final double COMPRESSION = 50;

    /**
     * The digest is replaced after {@code MAX_SAMPLES}, or at {@code MAX_AGE_NANOS} if it has at
     * least {@code MIN_SAMPLES}, so that the quantile follows recent latencies.
     */
    private static final int MAX_SAMPLES = 512;

    private static final long MAX_AGE_NANOS = 10_000_000_000L;
    private static final int MIN_SAMPLES = 32;

    /** Samples between two updates of the hedging delay. */
    private static final int REFRESH_SAMPLES = 16;

    /** The retry budget where none is configured. */
    private static final RetryBudget DEFAULT_BUDGET = new RetryBudget(10, 0.2, 5_000_000_000L);

    private TDigest digest = new MergingDigest(COMPRESSION);
    private long startedAtNanos;
    private int samples;
    private long hedgeDelayNanos;

    private RetryBudget budget;
    private boolean isBudgetConfigured;

    /** Times of recent requests, and of recent retries and hedged requests. */
    private final Deque<Long> requestTimes = new ArrayDeque<>();

    private final Deque<Long> retryTimes = new ArrayDeque<>();

    HedgingPolicy(RetryBudget budget) {
        onSettings(budget);
    }

    void onSettings(RetryBudget newBudget) {
        isBudgetConfigured = newBudget != null;
        budget = isBudgetConfigured ? newBudget : DEFAULT_BUDGET;
    }

    /** Counts an arriving request, whether it is admitted or not. */
    void recordRequest(long now) {
        requestTimes.add(now);
        expire(requestTimes, now - budget.windowNanos());
    }

    private static void expire(Deque<Long> times, long untilNanos) {
        while (!times.isEmpty() && times.peek() <= untilNanos) {
            times.poll();
        }
    }

    /**
     * Takes one retry or hedged request from the budget of the sliding window; returns false if the
     * budget is used up. Prevents an excess of hedged requests when all caches slow down at once,
     * and retries that keep an overloaded fleet overloaded.
     */
    boolean trySpendRetry(long now) {
        expire(requestTimes, now - budget.windowNanos());
        expire(retryTimes, now - budget.windowNanos() - 1);
        boolean allowed =
                retryTimes.size() + 1
                        <= budget.minRetries() + budget.retryRatio() * requestTimes.size();
        if (allowed) {
            retryTimes.add(now);
        }
        return allowed;
    }

    /** Returns whether a retry adds no load and is therefore not taken from the retry budget. */
    boolean isExempt(
            RequestState state, AttemptResult result, boolean idleRejection, boolean overloaded) {
        if (result == AttemptResult.MISS) {
            return true;
        }
        boolean reachedNoServer =
                result == AttemptResult.CONNECT_FAILED && state.attemptCount == 1 && !overloaded;
        return (idleRejection || reachedNoServer) && !isBudgetConfigured;
    }

    /** Records the latency of an answered read, counted from its first send. */
    void recordLatency(long now, long latencyNanos) {
        digest.add(latencyNanos);
        samples++;
        if (samples >= MIN_SAMPLES && samples % REFRESH_SAMPLES == 0) {
            hedgeDelayNanos = (long) digest.quantile(HEDGE_QUANTILE);
        }
        if (samples >= MAX_SAMPLES
                || now - startedAtNanos > MAX_AGE_NANOS && samples >= MIN_SAMPLES) {
            digest = new MergingDigest(COMPRESSION);
            startedAtNanos = now;
            samples = 0;
        }
    }

    /** Returns the delay before a hedged request; -1 until there are enough samples. */
    long hedgeDelayNanos() {
        return hedgeDelayNanos > 0 ? hedgeDelayNanos : -1;
    }
}
