package frostrelay.staleness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Caches that peers' operators drain. A balancer reports only the drains that its own operators
 * set, with the digest of all of them: the report is valid as long as the peer's applied versions
 * have that digest. So a drain needs no renewal, and its end no message of its own. A drain is
 * adopted once as many peers report it as it takes to prove a fact: a single operator's command
 * concerns a single balancer.
 */
final class PeerAdminDrains {
    /** A report may arrive before the applied versions that have its digest. */
    private static final long REORDER_WINDOW_NANOS = 2_000_000_000L;

    private static final int MAX_CACHES = 1_024;

    private static final class DrainReport {
        long digest;
        long receivedAtNanos;

        /** When its digest was last known to be the peer's current one. */
        long lastValidAtNanos;
    }

    private final StalenessSettings settings;
    private final FleetVersions fleet;
    private final Map<Long, Map<Integer, DrainReport>> reportsByCache = new HashMap<>();

    PeerAdminDrains(StalenessSettings settings, FleetVersions fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    void onPeerAdminDrain(long now, int from, long digest, long cache) {
        if (reportsByCache.size() >= MAX_CACHES && !reportsByCache.containsKey(cache)) {
            return;
        }
        DrainReport report =
                reportsByCache
                        .computeIfAbsent(cache, id -> new HashMap<>())
                        .computeIfAbsent(from, rank -> new DrainReport());
        report.digest = digest;
        report.receivedAtNanos = now;
        report.lastValidAtNanos = now;
    }

    /** Those of the ready caches that at least so many peers report. The set is the caller's. */
    Set<Long> drainedCaches(long now, int requiredReporters, Set<Long> readyCaches) {
        Set<Long> drained = new HashSet<>();
        reportsByCache.forEach(
                (cache, reports) -> {
                    reports.entrySet()
                            .removeIf(entry -> isExpired(now, entry.getKey(), entry.getValue()));
                    if (reports.size() >= requiredReporters && readyCaches.contains(cache)) {
                        drained.add(cache);
                    }
                });
        reportsByCache.values().removeIf(Map::isEmpty);
        return drained;
    }

    private boolean isExpired(long now, int rank, DrainReport report) {
        PeerVersionState peer = fleet.peer(rank);
        if (fleet.isIsolated() || !peer.isKnownAlive()) {
            // A drain outlives the balancer that reported it for a while: operators did not end it.
            return now - report.lastValidAtNanos > settings.reportLifetimeNanos();
        }
        report.lastValidAtNanos = now;
        return peer.appliedVersions.adminDrainsDigest() != report.digest
                && now - report.receivedAtNanos >= REORDER_WINDOW_NANOS;
    }

    /** When a report may expire. */
    long nextTimerAtNanos(long now) {
        return reportsByCache.isEmpty() ? Long.MAX_VALUE : now + REORDER_WINDOW_NANOS;
    }
}
