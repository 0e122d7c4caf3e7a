package frostrelay.rig.day;

import frostrelay.rig.archive.ArchiveSpec;
import frostrelay.rig.cache.CacheSpec;

import java.util.List;

/**
 * A day: a fleet, a load and what goes wrong. {@code length} and {@code lateness} (of discovery) in
 * nanoseconds; the same {@code seed} gives the same requests and faults. {@code drainGrace}: how
 * long a balancer may go on sending to a cache that it was told drains; {@code repeatWindow}: how
 * long caches drop repeats of a keyed write.
 */
public record Day(
        long seed,
        long length,
        int caches,
        int balancers,
        long lateness,
        long drainGrace,
        long repeatWindow,
        CacheSpec cache,
        ArchiveSpec archive,
        LoadSpec load,
        List<ClassSpec> classes,
        List<TenantSpec> tenants,
        List<FaultSpec> faults) {
    /** The same day at another length; faults move with it. */
    public Day lasting(long fresh) {
        double part = fresh / (double) length;
        List<FaultSpec> moved =
                faults.stream()
                        .map(
                                fault ->
                                        new FaultSpec(
                                                (long) (fault.at() * part),
                                                fault.kind(),
                                                fault.target(),
                                                fault.factor(),
                                                fault.amount(),
                                                (long) (fault.length() * part)))
                        .toList();
        return new Day(
                seed,
                fresh,
                caches,
                balancers,
                lateness,
                drainGrace,
                repeatWindow,
                cache,
                archive,
                load,
                classes,
                tenants,
                moved);
    }

    /** The same day without what goes wrong. */
    public Day quiet() {
        return new Day(
                seed,
                length,
                caches,
                balancers,
                lateness,
                drainGrace,
                repeatWindow,
                cache,
                archive,
                load,
                classes,
                tenants,
                List.of());
    }

    /** The same day with other requests. */
    public Day seeded(long fresh) {
        return new Day(
                fresh,
                length,
                caches,
                balancers,
                lateness,
                drainGrace,
                repeatWindow,
                cache,
                archive,
                load,
                classes,
                tenants,
                faults);
    }
}
