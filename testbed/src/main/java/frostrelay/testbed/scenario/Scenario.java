package frostrelay.testbed.scenario;

import frostrelay.testbed.cache.CacheSpec;
import frostrelay.testbed.origin.OriginSpec;

import java.util.List;

/**
 * A scenario: a cluster, a load and injected faults. {@code durationNanos} and {@code
 * discoveryDelayNanos} in nanoseconds; the same {@code seed} gives the same requests and faults.
 * {@code drainGraceNanos}: how long a balancer may still send to a cache after it was notified of
 * the drain; {@code deduplicationWindowNanos}: how long caches detect repeated writes with the same
 * idempotency key.
 */
public record Scenario(
        long seed,
        long durationNanos,
        int caches,
        int balancers,
        long discoveryDelayNanos,
        long drainGraceNanos,
        long deduplicationWindowNanos,
        CacheSpec cache,
        OriginSpec origin,
        LoadSpec load,
        List<ClassSpec> classes,
        List<TenantSpec> tenants,
        List<FaultSpec> faults) {
    /**
     * Returns this scenario with another duration; the times of faults are scaled in proportion.
     */
    public Scenario withDuration(long newDurationNanos) {
        double scale = newDurationNanos / (double) durationNanos;
        List<FaultSpec> scaledFaults =
                faults.stream()
                        .map(
                                fault ->
                                        new FaultSpec(
                                                (long) (fault.startNanos() * scale),
                                                fault.kind(),
                                                fault.target(),
                                                fault.factor(),
                                                fault.amountNanos(),
                                                (long) (fault.durationNanos() * scale)))
                        .toList();
        return new Scenario(
                seed,
                newDurationNanos,
                caches,
                balancers,
                discoveryDelayNanos,
                drainGraceNanos,
                deduplicationWindowNanos,
                cache,
                origin,
                load,
                classes,
                tenants,
                scaledFaults);
    }

    /** Returns this scenario without faults. */
    public Scenario withoutFaults() {
        return new Scenario(
                seed,
                durationNanos,
                caches,
                balancers,
                discoveryDelayNanos,
                drainGraceNanos,
                deduplicationWindowNanos,
                cache,
                origin,
                load,
                classes,
                tenants,
                List.of());
    }

    /** Returns this scenario with another seed. */
    public Scenario withSeed(long newSeed) {
        return new Scenario(
                newSeed,
                durationNanos,
                caches,
                balancers,
                discoveryDelayNanos,
                drainGraceNanos,
                deduplicationWindowNanos,
                cache,
                origin,
                load,
                classes,
                tenants,
                faults);
    }
}
