package frostrelay.policy.api;

/**
 * A request class; times in nanoseconds. {@code serializedByKey}: requests with one key run one at
 * a time.
 */
public record RequestClass(
        long latencyObjectiveNanos,
        double objectiveStretchFactor,
        long deadlineNanos,
        double priorityWeight,
        double latePriorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNanos,
        boolean stream,
        boolean serializedByKey) {}
