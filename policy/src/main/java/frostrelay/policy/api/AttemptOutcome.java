package frostrelay.policy.api;

/**
 * The outcome of one attempt of a request.
 *
 * @param requestId the request's id
 * @param attempt the attempt's index within the request, from 0 in the order of {@link
 *     PolicyActions#send}
 * @param result how the attempt ended
 * @param durationNanos duration of the attempt on the caller's clock
 * @param requestCompleted whether the client has received its final answer from this attempt
 * @param source where a read's answer came from
 * @param loadReport the values of the server's load report in the order of the {@link
 *     LoadReportLayout}, empty if it sent none
 */
public record AttemptOutcome(
        long requestId,
        int attempt,
        AttemptResult result,
        long durationNanos,
        boolean requestCompleted,
        ResponseSource source,
        float[] loadReport) {}
