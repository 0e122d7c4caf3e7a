package frostrelay.emulator;

import org.HdrHistogram.Histogram;

import java.util.Arrays;

/** The results that clients observed, by client request; retries belong to their first attempt. */
public final class RunStatistics {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_LATENCY_MICROS = 120_000_000L;

    /** Weight of an answer after the latency objective, relative to one in time. */
    static final double LATE_WEIGHT = 0.3;

    /**
     * The operators' weights of the whole run, its worst ten seconds, its worst class and its worst
     * tenant.
     */
    private static final double[] OBJECTIVE_WEIGHTS = {0.45, 0.15, 0.3, 0.1};

    private static final int WORST_WINDOW_SECONDS = 10;

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);

    /** Latencies since the last {@link #resetRecent}. */
    private final Histogram recentLatencyMicros = new Histogram(MAX_LATENCY_MICROS, 2);

    /** Requests that started earlier are not counted. */
    private final long measureFromNanos;

    /** Counts by the second in which the first attempt was made. */
    private final int[] requestedBySecond;

    private final int[] inTimeBySecond;

    /** Requested and earned weight by second, class and tenant. Late answers earn a fraction. */
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

    void asked(long requestedAtNanos, int requestClass, int tenant, double weight) {
        if (requestedAtNanos < measureFromNanos) {
            return;
        }
        add(requestedWeight, requestedAtNanos, requestClass, tenant, weight);
        requestCount++;
        totalWeight += weight;
        requestedBySecond[(int) ((requestedAtNanos - measureFromNanos) / NANOS_PER_SECOND)]++;
    }

    void recordAttempt(long requestedAtNanos) {
        attemptCount += requestedAtNanos < measureFromNanos ? 0 : 1;
    }

    private void add(
            double[][] sums, long requestedAtNanos, int requestClass, int tenant, double weight) {
        sums[0][(int) ((requestedAtNanos - measureFromNanos) / NANOS_PER_SECOND)] += weight;
        sums[1][requestClass] += weight;
        sums[2][tenant] += weight;
    }

    void served(
            long requestedAtNanos,
            long latencyNanos,
            boolean isInTime,
            int requestClass,
            int tenant,
            double weight) {
        if (requestedAtNanos < measureFromNanos) {
            return;
        }
        add(
                earnedWeight,
                requestedAtNanos,
                requestClass,
                tenant,
                isInTime ? weight : LATE_WEIGHT * weight);
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1_000));
        recentLatencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1_000));
        if (isInTime) {
            inTime++;
            inTimeWeight += weight;
            inTimeBySecond[(int) ((requestedAtNanos - measureFromNanos) / NANOS_PER_SECOND)]++;
        } else {
            late++;
        }
    }

    void recordFailure(long requestedAtNanos, boolean wasRejected) {
        if (requestedAtNanos < measureFromNanos) {
            return;
        }
        if (wasRejected) {
            rejected++;
        } else {
            failed++;
        }
    }

    /** Returns the number of client requests, retries not counted. */
    public long asked() {
        return requestCount;
    }

    /** Returns the number of client attempts, retries included. */
    public long attemptCount() {
        return attemptCount;
    }

    /** Returns the number of requests answered within their latency objective. */
    public long inTime() {
        return inTime;
    }

    /** Returns the number of requests answered after their latency objective. */
    public long late() {
        return late;
    }

    /** Returns the number of requests whose last attempt was rejected. */
    public long rejected() {
        return rejected;
    }

    /** Returns the number of requests that failed or remained unanswered. */
    public long failed() {
        return failed;
    }

    /** Returns the weight answered in time as a fraction of the requested weight. */
    public double inTimeFraction() {
        return totalWeight == 0 ? 0 : inTimeWeight / totalWeight;
    }

    /**
     * Returns the operators' objective: the weighted sum for the whole run, its worst ten seconds,
     * worst class and worst tenant, before costs are deducted.
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

    /**
     * Returns a percentile of the latency of served requests, from the first attempt, in
     * milliseconds.
     */
    public double latencyMillis(double percentile) {
        return latencyMicros.getTotalCount() == 0
                ? 0
                : latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    /**
     * Returns a percentile of the latency of requests served since {@link #resetRecent}, in
     * milliseconds; 0 if there are none.
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
     * Returns the fraction of requests made from second {@code from} until before second {@code to}
     * that were served in time; 1 if there are none.
     */
    public double served(int from, int to) {
        long all = Arrays.stream(requestedBySecond, from, to).sum();
        return all == 0 ? 1 : Arrays.stream(inTimeBySecond, from, to).sum() / (double) all;
    }

    /** Returns the number of seconds of the run, rounded up. */
    public int seconds() {
        return requestedBySecond.length;
    }
}
