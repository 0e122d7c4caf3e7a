package frostrelay.policy.api;

/**
 * Further attempts allowed within any span: {@code minRetries} and {@code retryRatio} of the
 * requests taken.
 */
public record RetryBudget(double minRetries, double retryRatio, long windowNanos) {}
