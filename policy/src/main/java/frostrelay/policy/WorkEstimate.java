package frostrelay.policy;

/**
 * Estimates the work of requests, in units of a typical request's, from the hints that requests
 * carry. The typical work is a mean in which no request counts with more than a few times the
 * typical work: it is hardly above an ordinary request's, whatever the heavy ones cost, and never
 * above the true mean for long, so that costs are rather too high than too low.
 */
final class WorkEstimate {
    /** The cost of a request without a hint. */
    static final double TYPICAL_COST = 1;

    /** The highest cost of an ordinary request; the limit on what one counts with in the mean. */
    static final double MAX_ORDINARY_COST = 4;

    /** The lowest cost, as a hint of nearly nothing may be wrong. */
    private static final double MIN_COST = 0.25;

    /** Requests over which the typical work is averaged. */
    private static final int AVERAGE_REQUESTS = 64;

    /**
     * Requests up to which the typical work is limited by the least work seen, as heavy requests
     * may be among the first ones.
     */
    private static final int MIN_REQUESTS = 8;

    /** That limit as a multiple of the least work seen. */
    private static final double MAX_LEAST_RATIO = 2;

    private double typicalNanos;
    private double leastNanos = Double.MAX_VALUE;
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
        leastNanos = Math.min(leastNanos, workNanos);
        requestCount = Math.min(AVERAGE_REQUESTS, requestCount + 1);
        double counted =
                requestCount == 1
                        ? workNanos
                        : Math.min(workNanos, MAX_ORDINARY_COST * typicalNanos);
        typicalNanos += (counted - typicalNanos) / requestCount;
        if (requestCount < MIN_REQUESTS) {
            typicalNanos = Math.min(typicalNanos, MAX_LEAST_RATIO * leastNanos);
        }
        return Math.max(MIN_COST, workNanos / typicalNanos);
    }
}
