package frostrelay.staleness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Caches that others' operators hold out of use. A balancer tells only holds that its own operators
 * set, with the digest of all that it holds: as long as its stamp has that digest, whoever brings
 * it, its word stands; when the stamp has another, it is over. So a hold needs no renewal, and a
 * release no message of its own. Adopted is what as many hold as it takes to prove a thing: one
 * operator's call at one balancer is that balancer's.
 */
final class PeerAdminDrains {
    /** A word may come before the stamp that it goes with. */
    private static final long REORDER_WINDOW_NANOS = 2_000_000_000L;

    private static final int MAX_CACHES = 1_024;

    private static final class DrainReport {
        long digest;
        long receivedAtNanos;

        /** When it was last known to stand. */
        long lastValidAtNanos;
    }

    private final StalenessSettings settings;
    private final PeerVersionState[] peers;
    private final Map<Long, Map<Integer, DrainReport>> reportsByCache = new HashMap<>();

    PeerAdminDrains(StalenessSettings settings, PeerVersionState[] peers) {
        this.settings = settings;
        this.peers = peers;
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

    /** Those held by so many at least, among {@code readyCaches}. */
    Set<Long> drainedCaches(
            long now, int requiredReporters, boolean isIsolated, Set<Long> readyCaches) {
        Set<Long> drained = new HashSet<>();
        reportsByCache.forEach(
                (cache, reports) -> {
                    reports.entrySet()
                            .removeIf(
                                    entry ->
                                            isExpired(
                                                    now,
                                                    peers[entry.getKey()],
                                                    entry.getValue(),
                                                    isIsolated));
                    if (reports.size() >= requiredReporters && readyCaches.contains(cache)) {
                        drained.add(cache);
                    }
                });
        reportsByCache.values().removeIf(Map::isEmpty);
        return drained;
    }

    private boolean isExpired(
            long now, PeerVersionState peer, DrainReport report, boolean isIsolated) {
        if (isIsolated || !peer.isKnownAlive()) {
            // Of one that is silent it stands a while longer: its operators' will does not end with
            // its datagrams.
            return now - report.lastValidAtNanos > settings.reportLifetimeNanos();
        }
        report.lastValidAtNanos = now;
        return peer.appliedVersions.adminDrainsDigest() != report.digest
                && now - report.receivedAtNanos >= REORDER_WINDOW_NANOS;
    }

    /** When something may be over. */
    long nextTimerAtNanos(long now) {
        return reportsByCache.isEmpty() ? Long.MAX_VALUE : now + REORDER_WINDOW_NANOS;
    }
}
