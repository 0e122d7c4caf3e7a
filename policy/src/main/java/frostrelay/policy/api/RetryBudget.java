package frostrelay.policy.api;

/**
 * Limit on retries and hedged requests: within any window, {@code minRetries} plus {@code
 * retryRatio} of the requests received in it.
 *
 * @param minRetries retries allowed regardless of the number of requests
 * @param retryRatio retries allowed for each request
 * @param windowNanos length of the sliding window
 */
public record RetryBudget(double minRetries, double retryRatio, long windowNanos) {}
