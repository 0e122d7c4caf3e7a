package frostrelay.policy.api;

/** The end of an attempt. {@code requestCompleted}: the request has its final answer. */
public record AttemptOutcome(
        long requestId,
        int attempt,
        AttemptResult result,
        long durationNanos,
        boolean requestCompleted,
        ResponseSource source,
        float[] loadReport) {}
