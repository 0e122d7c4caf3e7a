package frostrelay.policy.api;

/** Whether a request of a class may be executed more than once. */
public enum Idempotency {
    /** Repeated execution is harmless. */
    IDEMPOTENT,
    /** Servers of one {@link DeduplicationScope} drop repeats within the deduplication window. */
    IDEMPOTENCY_KEY,
    /** Requests must never be executed twice. */
    NOT_IDEMPOTENT
}
