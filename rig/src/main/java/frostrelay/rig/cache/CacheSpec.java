package frostrelay.rig.cache;

import frostrelay.rig.referee.ColdMeter;

/**
 * What a cache machine is. {@code cores}, {@code slots}, {@code queue}: see {@link WorkEngine};
 * {@code memory}: bytes of values; {@code connections}: the most it holds; {@code fetchTimeout}:
 * nanoseconds; {@code coalesce}: misses of one key share a fetch; {@code cancelStops}: work whose
 * client left stops.
 */
public record CacheSpec(
        int cores,
        int slots,
        int queue,
        long memory,
        int connections,
        long fetchTimeout,
        boolean coalesce,
        boolean cancelStops,
        ColdMeter.Warmth warmth) {}
