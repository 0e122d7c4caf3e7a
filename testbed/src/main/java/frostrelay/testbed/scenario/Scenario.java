package frostrelay.testbed.scenario;

import frostrelay.testbed.cache.CacheSpec;
import frostrelay.testbed.origin.OriginSpec;

import java.util.List;

/**
 * A day: a fleet, a load and what goes wrong. {@code durationNanos} and {@code discoveryDelayNanos}
 * (of discovery) in nanoseconds; the same {@code seed} gives the same requests and faults. {@code
 * drainGraceNanos}: how long a balancer may go on sending to a cache that it was told drains;
 * {@code deduplicationWindowNanos}: how long caches drop repeats of a keyed write.
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
    /** The same day at another length; faults move with it. */
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

    /** The same day without what goes wrong. */
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

    /** The same day with other requests. */
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
