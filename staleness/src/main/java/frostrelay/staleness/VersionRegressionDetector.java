package frostrelay.staleness;

/**
 * Whether this balancer serves worse since it took a version, by its own counts alone. Others
 * compare such words of those that took a version with those of balancers that did not: a fault of
 * caches hits both. Lists change all the time, and each cache that drains leaves less room: of a
 * list only that it ends nearly all service is held against it.
 */
public final class VersionRegressionDetector {
    private static final long NEVER_NANOS = Long.MIN_VALUE;
    private static final int WINDOW_SECONDS = 10;

    /** A share over fewer requests is chance: at 20 a share of 0.9 has a spread of 0.07. */
    private static final int MIN_REQUESTS = 20;

    /** One bad second is a start, a pause or a burst. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    /** Of what was usual: a list that leaves less is no mere drain. */
    private static final double LIST_FAILURE_RATIO = 0.25;

    /**
     * Nothing is known of before where it has just started: then half is the measure of a
     * configuration.
     */
    private static final double DEFAULT_CONFIG_THRESHOLD = 0.5;

    private final StalenessSettings settings;

    /** Requests that ended and those served among them, by seconds, in a ring. */
    private final long[] completed = new long[WINDOW_SECONDS];

    private final long[] served = new long[WINDOW_SECONDS];
    private int currentSecond;
    private long previousCompleted;
    private long previousServed;
    private double baselineSuccessRatio = Double.NaN;
    private long versionAppliedAtNanos = NEVER_NANOS;
    private int consecutiveFailures;
    private boolean isFailing;

    private final VersionKind kind;

    /** {@code settings}: how much worse is worse, and for how long a version is answerable. */
    public VersionRegressionDetector(StalenessSettings settings, VersionKind kind) {
        this.settings = settings;
        this.kind = kind;
    }

    /**
     * Another version holds from now on. Where one comes soon behind another, what was usual before
     * the first stays the measure.
     */
    public void onVersionApplied(long now) {
        if (versionAppliedAtNanos == NEVER_NANOS
                || now - versionAppliedAtNanos > settings.attributionWindowNanos()) {
            double successRatio = successRatio(WINDOW_SECONDS);
            baselineSuccessRatio = Double.isNaN(successRatio) ? baselineSuccessRatio : successRatio;
        }
        versionAppliedAtNanos = now;
        java.util.Arrays.fill(completed, 0);
        java.util.Arrays.fill(served, 0);
    }

    /**
     * Counts since the start, about once a second: requests that ended, whatever came of them, and
     * those that were served.
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
        double successRatio = successRatio(3);
        if (!Double.isNaN(successRatio)) {
            double threshold = failureThreshold();
            consecutiveFailures =
                    successRatio
                                    < (isFailing
                                            ? threshold + settings.failureMargin() / 2
                                            : threshold)
                            ? consecutiveFailures + 1
                            : 0;
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

    /**
     * Served of those that ended in the last so many seconds; NaN where they are too few to tell.
     */
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
     * Whether it serves worse, by more than the settings allow, than before it took the version.
     */
    public boolean isFailing() {
        return isFailing;
    }
}
