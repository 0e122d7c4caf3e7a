package frostrelay.policy.api;

/**
 * A class of requests that are treated alike.
 *
 * @param latencyObjectiveNanos latency objective of a request without a work hint
 * @param objectiveStretchFactor multiple of {@link Request#work} by which the objective grows
 * @param deadlineNanos how long clients wait
 * @param priorityWeight priority weight of a request answered within its objective
 * @param latePriorityWeight fraction of that weight that a later answer has, 0 if it has none
 * @param idempotency whether requests may be executed more than once
 * @param deduplicationScope servers that drop repeats for one another
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
