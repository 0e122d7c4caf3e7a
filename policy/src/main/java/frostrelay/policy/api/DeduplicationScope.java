package frostrelay.policy.api;

/**
 * The servers that share their memory of {@link Idempotency#IDEMPOTENCY_KEY} requests: a repeat is
 * dropped if it reaches the same scope as the first attempt.
 */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell. */
    CELL
}
