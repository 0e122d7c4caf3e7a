package frostrelay.policy;

import com.tdunning.math.stats.MergingDigest;
import com.tdunning.math.stats.TDigest;

import frostrelay.policy.api.RetryBudget;

import java.util.*;

/**
 * When a copy of a slow read goes out, a quantile of recent served latencies, and what may be
 * repeated.
 */
final class HedgingPolicy {
    private static final double HEDGE_QUANTILE = 0.95;
    private static final double COMPRESSION = 50;

    /** A digest begins anew after so many samples, or so long once it holds the minimum sample. */
    private static final int MAX_SAMPLES = 512;

    private static final long MAX_AGE_NANOS = 10_000_000_000L;
    private static final int MIN_SAMPLES = 32;
    private static final int REFRESH_SAMPLES = 16;

    /** The budget of further attempts where none is stated. */
    private static final RetryBudget DEFAULT_BUDGET = new RetryBudget(10, 0.2, 5_000_000_000L);

    private TDigest digest = new MergingDigest(COMPRESSION);
    private long startedAtNanos;
    private int samples;
    private long hedgeDelayNanos;

    /** The sixth rule, with the times of requests taken and of further attempts. */
    private RetryBudget budget;

    private final Deque<Long> requestTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();

    HedgingPolicy(RetryBudget budget) {
        onSettings(budget);
    }

    final void onSettings(RetryBudget newBudget) {
        budget = newBudget != null ? newBudget : DEFAULT_BUDGET;
    }

    /** A request came, whether refused or not. */
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
     * Takes a copy or a retry from the budget, a window that slides. Guards against copies that
     * pile up when every cache slows at once, and retries that keep a full fleet full.
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

    /** A read was answered after {@code latencyNanos}, counted from its first send. */
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

    /** The wait before a copy, -1 for none: a handful of samples has no tail. */
    long hedgeDelayNanos() {
        return hedgeDelayNanos > 0 ? hedgeDelayNanos : -1;
    }
}
