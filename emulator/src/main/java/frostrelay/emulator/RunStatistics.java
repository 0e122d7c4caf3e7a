package frostrelay.emulator;

import org.HdrHistogram.Histogram;

import java.util.Arrays;

/** What clients got, by first tries: a client's retries belong to its first try. */
public final class RunStatistics {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_LATENCY_MICROS = 120_000_000L;

    /** What an answer after its aim is worth, as a part. */
    static final double LATE_WEIGHT = 0.3;

    /**
     * What the whole day, its worst ten seconds, its worst class and its worst tenant weigh for the
     * operators.
     */
    private static final double[] OBJECTIVE_WEIGHTS = {0.45, 0.15, 0.3, 0.1};

    private static final int WORST_WINDOW_SECONDS = 10;

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);

    /** Of the second that runs. */
    private final Histogram recentLatencyMicros = new Histogram(MAX_LATENCY_MICROS, 2);

    /** What began before is not counted. */
    private final long measureFromNanos;

    /** By the second in which first tries were made. */
    private final int[] requestedBySecond;

    private final int[] inTimeBySecond;

    /** Worth asked for and earned, answers after the aim included: by second, class and tenant. */
    private final double[][] requestedWeight;

    private final double[][] earnedWeight;
    private long requestCount;
    private long attemptCount;
    private long inTime;
    private long late;
    private long rejected;
    private long failed;
    private double totalWeight;
    private double inTimeWeight;

    RunStatistics(long start, long length, int classes, int tenants) {
        this.measureFromNanos = start;
        int seconds = (int) ((length + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND);
        requestedWeight =
                new double[][] {
                    new double[seconds], new double[classes], new double[Math.max(1, tenants)]
                };
        earnedWeight =
                new double[][] {
                    new double[seconds], new double[classes], new double[Math.max(1, tenants)]
                };
        requestedBySecond = new int[seconds];
        inTimeBySecond = new int[seconds];
    }

    void asked(long at, int requestClass, int tenant, double worth) {
        if (at < measureFromNanos) {
            return;
        }
        add(requestedWeight, at, requestClass, tenant, worth);
        requestCount++;
        totalWeight += worth;
        requestedBySecond[(int) ((at - measureFromNanos) / NANOS_PER_SECOND)]++;
    }

    void recordAttempt(long at) {
        attemptCount += at < measureFromNanos ? 0 : 1;
    }

    private void add(double[][] sums, long at, int requestClass, int tenant, double worth) {
        sums[0][(int) ((at - measureFromNanos) / NANOS_PER_SECOND)] += worth;
        sums[1][requestClass] += worth;
        sums[2][tenant] += worth;
    }

    void served(long at, long took, boolean good, int requestClass, int tenant, double worth) {
        if (at < measureFromNanos) {
            return;
        }
        add(earnedWeight, at, requestClass, tenant, good ? worth : LATE_WEIGHT * worth);
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, took / 1_000));
        recentLatencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, took / 1_000));
        if (good) {
            inTime++;
            inTimeWeight += worth;
            inTimeBySecond[(int) ((at - measureFromNanos) / NANOS_PER_SECOND)]++;
        } else {
            late++;
        }
    }

    void recordFailure(long at, boolean wasRejected) {
        if (at < measureFromNanos) {
            return;
        }
        if (wasRejected) {
            rejected++;
        } else {
            failed++;
        }
    }

    /** First tries. */
    public long asked() {
        return requestCount;
    }

    /** All tries, clients' retries included. */
    public long attemptCount() {
        return attemptCount;
    }

    /** First tries answered within their aim. */
    public long inTime() {
        return inTime;
    }

    /** First tries answered after their aim. */
    public long late() {
        return late;
    }

    /** First tries that ended refused. */
    public long rejected() {
        return rejected;
    }

    /** First tries that ended failed or unanswered. */
    public long failed() {
        return failed;
    }

    /** Worth answered in time over worth asked for. */
    public double inTimeFraction() {
        return totalWeight == 0 ? 0 : inTimeWeight / totalWeight;
    }

    /**
     * The operators' goal: whole day, worst ten seconds, worst class and worst tenant weighed,
     * before any price.
     */
    public double objective() {
        double overall =
                Arrays.stream(earnedWeight[1]).sum()
                        / Math.max(1e-9, Arrays.stream(requestedWeight[1]).sum());
        double worstWindow = 1;
        for (int from = 0; from + WORST_WINDOW_SECONDS <= requestedWeight[0].length; from++) {
            double windowWeight =
                    Arrays.stream(requestedWeight[0], from, from + WORST_WINDOW_SECONDS).sum();
            worstWindow =
                    windowWeight == 0
                            ? worstWindow
                            : Math.min(
                                    worstWindow,
                                    Arrays.stream(
                                                            earnedWeight[0],
                                                            from,
                                                            from + WORST_WINDOW_SECONDS)
                                                    .sum()
                                            / windowWeight);
        }
        return OBJECTIVE_WEIGHTS[0] * overall
                + OBJECTIVE_WEIGHTS[1] * Math.min(overall, worstWindow)
                + OBJECTIVE_WEIGHTS[2] * minFraction(1)
                + OBJECTIVE_WEIGHTS[3] * minFraction(2);
    }

    private double minFraction(int by) {
        double minimum = 1;
        for (int i = 0; i < requestedWeight[by].length; i++) {
            minimum =
                    requestedWeight[by][i] == 0
                            ? minimum
                            : Math.min(minimum, earnedWeight[by][i] / requestedWeight[by][i]);
        }
        return minimum;
    }

    /** A percentile of served latencies from the first try on, in milliseconds. */
    public double latencyMillis(double percentile) {
        return latencyMicros.getTotalCount() == 0
                ? 0
                : latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    /**
     * A percentile of what was served since it was last forgotten, in milliseconds; 0 for nothing.
     */
    double recentLatencyMillis(double percentile) {
        return recentLatencyMicros.getTotalCount() == 0
                ? 0
                : recentLatencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    void resetRecent() {
        recentLatencyMicros.reset();
    }

    /**
     * The share of a span's first tries that were served in time; seconds from the start, the last
     * one not included.
     */
    public double served(int from, int to) {
        long all = Arrays.stream(requestedBySecond, from, to).sum();
        return all == 0 ? 1 : Arrays.stream(inTimeBySecond, from, to).sum() / (double) all;
    }

    /** Whole seconds of the day. */
    public int seconds() {
        return requestedBySecond.length;
    }
}
