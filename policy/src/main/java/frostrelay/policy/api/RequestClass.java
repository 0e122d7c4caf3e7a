package frostrelay.policy.api;

/**
 * A class of requests that share objectives, weights and retry rules.
 *
 * @param latencyObjectiveNanos latency objective of a request without a work hint
 * @param objectiveStretchFactor multiple of {@link Request#work} by which the objective grows
 * @param deadlineNanos how long clients wait
 * @param priorityWeight priority weight of a request answered within its objective
 * @param latePriorityWeight fraction of {@code priorityWeight} for a later answer; 0 if late
 *     answers are worthless
 * @param idempotency whether requests may be executed more than once
 * @param deduplicationScope servers that share the memory by which repeats are dropped
 * @param deduplicationWindowNanos how long servers recognize a repeat
 * @param stream whether answers are streamed
 * @param serializedByKey whether requests with the same key run one at a time
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
