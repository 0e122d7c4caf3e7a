package frostrelay.staleness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The caches that operators drain at peers. A balancer reports only the drains that operators set
 * at that balancer, with the digest of all of them. A report is valid as long as the peer's applied
 * versions contain that digest; therefore drains need no renewal, and their end needs no message. A
 * drain is adopted only if enough peers report it to prove a fact, because a command at a single
 * balancer applies only to that balancer.
 */
final class PeerAdminDrains {
    /** A report may be received before the applied versions that contain its digest. */
    private static final long REORDER_WINDOW_NANOS = 2_000_000_000L;

    private static final int MAX_CACHES = 1_024;

    private static final class DrainReport {
        long digest;
        long receivedAtNanos;

        /** The time at which the digest was last known to be the peer's current one. */
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

    /**
     * Returns a new set of the ready caches that at least {@code requiredReporters} peers drain.
     */
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
            // Keeps the drain for a limited time, as operators did not end it.
            return now - report.lastValidAtNanos > settings.reportLifetimeNanos();
        }
        report.lastValidAtNanos = now;
        return peer.appliedVersions.adminDrainsDigest() != report.digest
                && now - report.receivedAtNanos >= REORDER_WINDOW_NANOS;
    }

    /** Returns the time at which the next report may expire. */
    long nextTimerAtNanos(long now) {
        return reportsByCache.isEmpty() ? Long.MAX_VALUE : now + REORDER_WINDOW_NANOS;
    }
}
