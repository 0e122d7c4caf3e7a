package frostrelay.testbed.cache;

import frostrelay.testbed.invariants.SlowStartMeter;

/**
 * What a cache machine is. {@code cores}, {@code slots}, {@code queueCapacity}: see {@link
 * WorkEngine}; {@code memoryBytes}: bytes of values; {@code maxConnections}: the most it holds;
 * {@code fetchTimeoutNanos}: nanoseconds; {@code coalesce}: misses of one key share a fetch; {@code
 * cancelStops}: work whose client left stops.
 */
public record CacheSpec(
        int cores,
        int slots,
        int queueCapacity,
        long memoryBytes,
        int maxConnections,
        long fetchTimeoutNanos,
        boolean coalesce,
        boolean cancelStops,
        SlowStartMeter.SlowStartProfile slowStart) {}
