package frostrelay.policy.api;

import java.util.List;

/**
 * What a balancer is told at its start; times in nanoseconds. {@code keyQuarantineNanos}: how long
 * a key in order rests after an attempt that may still be running. {@code retryBudget}: null where
 * there is none.
 */
public record PolicySettings(
        List<RequestClass> classes,
        List<Tenant> tenants,
        int zone,
        int instanceIndex,
        int instanceCount,
        boolean lookAside,
        int originKind,
        boolean subscribe,
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        long connectTimeoutNanos,
        boolean retryAfterSupported,
        long maxRetryAfterNanos,
        long drainGraceNanos,
        long pollIntervalNanos,
        double slowStartInitialFraction,
        long slowStartNanos,
        double overloadMultiple,
        long overloadWindowNanos,
        double overQuotaWeight,
        long keyQuarantineNanos,
        RetryBudget retryBudget,
        LoadReportLayout loadReportLayout) {}
