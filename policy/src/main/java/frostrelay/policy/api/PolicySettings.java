package frostrelay.policy.api;

import java.util.List;

/**
 * Settings of one balancer's decision module.
 *
 * @param classes request classes; {@link Request#requestClass} is an index into them
 * @param tenants tenants; {@link Request#tenant} is an index into them
 * @param zone zone of this balancer
 * @param instanceIndex index of this balancer among its peers, from 0
 * @param instanceCount number of balancers, at least 1
 * @param lookAside whether the balancer reads the origin itself after a cache miss; otherwise the
 *     caches fetch from the origin
 * @param originKind value of {@link Server#kind} for origins in look-aside mode, -1 for none
 * @param subscribe whether the module must subscribe to changes of the endpoint list
 * @param maxAttempts attempts of one request, the first included
 * @param hedgingAllowed whether a second attempt may run concurrently with a pending one
 * @param cancellationAllowed whether pending attempts may be cancelled
 * @param connectTimeoutNanos longest time to establish a connection
 * @param retryAfterSupported whether clients obey a Retry-After
 * @param maxRetryAfterNanos largest Retry-After given to clients
 * @param drainGraceNanos time within which a draining server must get no new requests
 * @param pollIntervalNanos time within which changes of the endpoint list must be known
 * @param slowStartInitialFraction fraction of its capacity that a cold server has at first
 * @param slowStartNanos length of the slow start
 * @param overloadMultiple load above which a cold server fails, as a multiple of its current
 *     capacity
 * @param overloadWindowNanos how long that load must last for the server to fail, at least 1
 * @param overQuotaWeight priority weight of requests over their tenant's quota, as a fraction of
 *     their class's weight
 * @param keyQuarantineNanos how long a serialized key is blocked after an attempt that may still be
 *     running
 * @param retryBudget the retry budget, null if none is configured
 * @param loadReportLayout indexes of the values in servers' load reports
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
