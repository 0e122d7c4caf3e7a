package frostrelay.testbed.cache;

import frostrelay.testbed.invariants.SlowStartMeter;

/**
 * The properties of a cache. {@code cores}, {@code slots}, {@code queueCapacity}: see {@link
 * WorkEngine}; {@code memoryBytes}: maximum total size of values; {@code maxConnections}: maximum
 * number of open connections; {@code fetchTimeoutNanos}: nanoseconds; {@code coalesce}: concurrent
 * misses of a key share a fetch; {@code cancelStops}: work is cancelled when its connection closes.
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
