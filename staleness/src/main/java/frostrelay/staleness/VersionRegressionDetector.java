package frostrelay.staleness;

import java.util.Arrays;

/**
 * A detector of a decrease in this balancer's success ratio after it applied a version. Uses only
 * the local request counts. Peers compare the reports of balancers that apply a version with those
 * of balancers that do not, because a fault of the caches affects both. Lists change frequently,
 * and each draining cache reduces the capacity; therefore a list counts as failing only if nearly
 * all requests fail.
 */
public final class VersionRegressionDetector {
    private static final long NEVER_NANOS = Long.MIN_VALUE;
    private static final int WINDOW_SECONDS = 10;
    private static final int EVALUATED_SECONDS = 3;

    /** Minimum sample size: with 20 requests, a ratio of 0.9 has a standard deviation of 0.07. */
    private static final int MIN_REQUESTS = 20;

    /** A single failing second may be due to a start, a pause or a burst. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    /**
     * Fraction of the baseline success ratio; draining caches alone do not reduce it below this.
     */
    private static final double LIST_FAILURE_RATIO = 0.25;

    /** Threshold for a configuration after a start, when there is no baseline. */
    private static final double DEFAULT_CONFIG_THRESHOLD = 0.5;

    private final StalenessSettings settings;
    private final VersionKind kind;

    /** Ring buffers of completed and of served requests, one element per second. */
    private final long[] completed = new long[WINDOW_SECONDS];

    private final long[] served = new long[WINDOW_SECONDS];
    private int currentSecond;
    private long previousCompleted;
    private long previousServed;
    private double baselineSuccessRatio = Double.NaN;
    private long versionAppliedAtNanos = NEVER_NANOS;
    private int consecutiveFailures;
    private boolean isFailing;

    /** Creates a detector without a version under observation. */
    public VersionRegressionDetector(StalenessSettings settings, VersionKind kind) {
        this.settings = settings;
        this.kind = kind;
    }

    /**
     * Starts to observe a newly applied version. If it follows another within the attribution
     * window, the baseline remains the success ratio before the first of them.
     */
    public void onVersionApplied(long now) {
        if (versionAppliedAtNanos == NEVER_NANOS
                || now - versionAppliedAtNanos > settings.attributionWindowNanos()) {
            double successRatio = successRatio(WINDOW_SECONDS);
            baselineSuccessRatio = Double.isNaN(successRatio) ? baselineSuccessRatio : successRatio;
        }
        versionAppliedAtNanos = now;
        Arrays.fill(completed, 0);
        Arrays.fill(served, 0);
    }

    /**
     * Updates the evaluation with the counts since the process start; called about once a second.
     *
     * @param totalCompleted number of completed requests, successful or not
     * @param totalServed number of completed requests that were served
     */
    public void onServiceCounts(long now, long totalCompleted, long totalServed) {
        currentSecond = (currentSecond + 1) % WINDOW_SECONDS;
        completed[currentSecond] = totalCompleted - previousCompleted;
        served[currentSecond] = totalServed - previousServed;
        previousCompleted = totalCompleted;
        previousServed = totalServed;
        if (versionAppliedAtNanos == NEVER_NANOS
                || now - versionAppliedAtNanos > settings.attributionWindowNanos()) {
            isFailing = false;
            consecutiveFailures = 0;
            return;
        }
        double successRatio = successRatio(EVALUATED_SECONDS);
        if (!Double.isNaN(successRatio)) {
            // Hysteresis: to recover, the ratio must also exceed the threshold by half of the
            // margin.
            double threshold =
                    isFailing
                            ? failureThreshold() + settings.failureMargin() / 2
                            : failureThreshold();
            consecutiveFailures = successRatio < threshold ? consecutiveFailures + 1 : 0;
            isFailing = consecutiveFailures >= MIN_CONSECUTIVE_FAILURES;
        }
    }

    private double failureThreshold() {
        if (kind == VersionKind.LIST) {
            return Double.isNaN(baselineSuccessRatio)
                    ? 0
                    : baselineSuccessRatio * LIST_FAILURE_RATIO;
        }
        return Double.isNaN(baselineSuccessRatio)
                ? DEFAULT_CONFIG_THRESHOLD
                : baselineSuccessRatio - settings.failureMargin();
    }

    /** Returns the success ratio of the last seconds; NaN if too few requests completed. */
    private double successRatio(int seconds) {
        long totalCompleted = 0;
        long totalServed = 0;
        for (int i = 0; i < seconds; i++) {
            totalCompleted += completed[(currentSecond - i + WINDOW_SECONDS) % WINDOW_SECONDS];
            totalServed += served[(currentSecond - i + WINDOW_SECONDS) % WINDOW_SECONDS];
        }
        return totalCompleted < MIN_REQUESTS ? Double.NaN : totalServed / (double) totalCompleted;
    }

    /**
     * Returns whether the balancer serves worse under the current version than under the previous
     * one, by more than the settings allow.
     */
    public boolean isFailing() {
        return isFailing;
    }
}
