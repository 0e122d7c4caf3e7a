package frostrelay.staleness;

import java.util.Arrays;

/**
 * Detects that this balancer serves worse since it applied a version, by its own counts alone.
 * Peers compare the reports of balancers that apply a version with those of balancers that do not,
 * as a fault of the caches affects both. Lists change all the time, and each draining cache reduces
 * the capacity: a list counts as failing only if it ends nearly all service.
 */
public final class VersionRegressionDetector {
    private static final long NEVER_NANOS = Long.MIN_VALUE;
    private static final int WINDOW_SECONDS = 10;
    private static final int EVALUATED_SECONDS = 3;

    /**
     * Fewer requests are not significant: at 20 a ratio of 0.9 has a standard deviation of 0.07.
     */
    private static final int MIN_REQUESTS = 20;

    /** A single bad second may be a start, a pause or a burst. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    /** Part of the usual success ratio: less than this is no mere drain. */
    private static final double LIST_FAILURE_RATIO = 0.25;

    /** The threshold of a configuration after a start, when there is no earlier ratio. */
    private static final double DEFAULT_CONFIG_THRESHOLD = 0.5;

    private final StalenessSettings settings;
    private final VersionKind kind;

    /** Completed requests, and those served among them, by second, in a ring. */
    private final long[] completed = new long[WINDOW_SECONDS];

    private final long[] served = new long[WINDOW_SECONDS];
    private int currentSecond;
    private long previousCompleted;
    private long previousServed;
    private double baselineSuccessRatio = Double.NaN;
    private long versionAppliedAtNanos = NEVER_NANOS;
    private int consecutiveFailures;
    private boolean isFailing;

    /** Starts without a version to watch. */
    public VersionRegressionDetector(StalenessSettings settings, VersionKind kind) {
        this.settings = settings;
        this.kind = kind;
    }

    /**
     * Another version applies from now on. If it follows soon after another, the baseline stays the
     * ratio before the first of them.
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
     * Counts since the start, to be passed about once a second.
     *
     * @param totalCompleted requests that completed in whatever way
     * @param totalServed those among them that were served
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
            // Hysteresis: recovering takes half of the margin more.
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

    /** The part served of what completed in the last seconds; NaN where that is too little. */
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
     * Whether it serves worse, by more than the settings allow, than under the previous version.
     */
    public boolean isFailing() {
        return isFailing;
    }
}
