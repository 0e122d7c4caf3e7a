package frostrelay.policy.api;

/**
 * The servers that drop repeats of a {@link Idempotency#IDEMPOTENCY_KEY} request for one another.
 */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
