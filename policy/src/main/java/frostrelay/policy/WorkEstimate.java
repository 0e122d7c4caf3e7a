package frostrelay.policy;

/**
 * Estimates the work of requests, in units of a typical request's, from the hints that requests
 * carry. The typical work is a geometric mean, which is never above the arithmetic one: a few heavy
 * requests hardly change it, and the cost of the others is rather too high than too low.
 */
final class WorkEstimate {
    /** The cost of a request without a hint. */
    static final double TYPICAL_COST = 1;

    /** The lowest cost, as a hint of nearly nothing may be wrong. */
    private static final double MIN_COST = 0.25;

    /** Requests over which the typical work is averaged. */
    private static final int AVERAGE_REQUESTS = 64;

    /**
     * Requests up to which the typical work is limited by the least work seen, as heavy requests
     * may be among the first ones.
     */
    private static final int MIN_REQUESTS = 16;

    /** That limit as a multiple of the least work seen. */
    private static final double MAX_LEAST_LOG_RATIO = Math.log(2);

    /** Limit on the multiple of the typical work with which one request counts in the average. */
    private static final double MAX_SAMPLE_LOG_RATIO = Math.log(32);

    private double typicalLogWork;
    private double leastLogWork = Double.MAX_VALUE;
    private int requestCount;

    /**
     * Records an arriving request and returns its estimated work in units of a typical request's.
     *
     * @param workNanos the hint, 0 for none
     */
    double record(long workNanos) {
        if (workNanos <= 0) {
            return TYPICAL_COST;
        }
        double logWork = Math.log(workNanos);
        leastLogWork = Math.min(leastLogWork, logWork);
        requestCount = Math.min(AVERAGE_REQUESTS, requestCount + 1);
        double difference = requestCount == 1 ? logWork : limit(logWork - typicalLogWork);
        typicalLogWork += difference / requestCount;
        return Math.max(MIN_COST, Math.exp(logWork - typicalLogWork()));
    }

    private double typicalLogWork() {
        return requestCount < MIN_REQUESTS
                ? Math.min(typicalLogWork, leastLogWork + MAX_LEAST_LOG_RATIO)
                : typicalLogWork;
    }

    private static double limit(double logRatio) {
        return Math.max(-MAX_SAMPLE_LOG_RATIO, Math.min(MAX_SAMPLE_LOG_RATIO, logRatio));
    }
}
