package frostrelay.staleness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The caches that this balancer avoids because of reports from its peers: caches that are drained
 * at peers, and caches that are unavailable in newer endpoint lists than the local one, until the
 * local list has caught up or the reports expire. Reports can only exclude caches, and at most a
 * limited fraction of them.
 */
final class CacheAvoidance {
    private static final int MAX_CACHES = 4_096;

    /** The peers that report a cache as unavailable, each with the revision of its list. */
    private static final class UnavailabilityReport {
        long sinceNanos;

        /** Whether the lifetime of a report by a single peer has ended. */
        boolean isSingleReportExpired;

        final Map<Integer, Long> revisionByReporter = new HashMap<>();
    }

    /**
     * A cache that may be avoided.
     *
     * @param listRevision the newest revision that enough peers prove by reporting the cache as
     *     unavailable in this or a later one; {@link Long#MIN_VALUE} for too few reporters
     * @param reporterCount number of all peers that report the cache as unavailable
     */
    private record Candidate(long cache, long listRevision, int reporterCount) {}

    /** Orders by newest list revision, then by most reporters. */
    private static final Comparator<Candidate> BY_PRIORITY =
            Comparator.comparingLong(Candidate::listRevision)
                    .thenComparingInt(Candidate::reporterCount)
                    .reversed()
                    .thenComparingLong(Candidate::cache);

    private final StalenessSettings settings;
    private final FleetVersions fleet;
    private final RolloutGuard rolloutGuard;
    private final ListStaleness list;
    private final StalenessDetector.Actions actions;
    private final PeerAdminDrains peerDrains;
    private final Map<Long, UnavailabilityReport> reportsByCache = new LinkedHashMap<>();

    /** For each cache, the list revision in which each peer reports it as available again. */
    private final Map<Long, Map<Integer, Long>> restorationsByCache = new HashMap<>();

    private Set<Long> readyCaches = Set.of();
    private Set<Long> locallyDrained = Set.of();
    private Set<Long> avoidedCaches = Set.of();
    private Set<Long> drainedByPeers = Set.of();

    CacheAvoidance(
            StalenessSettings settings,
            FleetVersions fleet,
            RolloutGuard rolloutGuard,
            ListStaleness list,
            StalenessDetector.Actions actions) {
        this.settings = settings;
        this.fleet = fleet;
        this.rolloutGuard = rolloutGuard;
        this.list = list;
        this.actions = actions;
        peerDrains = new PeerAdminDrains(settings, fleet);
    }

    void setReadyCaches(Set<Long> caches) {
        readyCaches = caches;
    }

    void setLocallyDrained(Set<Long> caches) {
        locallyDrained = Set.copyOf(caches);
    }

    Set<Long> avoidedCaches() {
        return avoidedCaches;
    }

    Set<Long> drainedByPeers() {
        return drainedByPeers;
    }

    void onPeerAdminDrain(long now, int from, long digest, long cache) {
        peerDrains.onPeerAdminDrain(now, from, digest, cache);
    }

    /** Records that a peer reports a cache as unavailable; returns false if that is ignored. */
    boolean onUnavailable(long now, int from, long listRevision, long cache) {
        if (!isRelevant(listRevision, cache)
                || reportsByCache.size() >= MAX_CACHES
                || listRevision < newestRestoration(cache)) {
            return false;
        }
        UnavailabilityReport report =
                reportsByCache.computeIfAbsent(cache, id -> new UnavailabilityReport());
        if (report.revisionByReporter.isEmpty()) {
            report.sinceNanos = now;
        }
        report.revisionByReporter.merge(from, listRevision, Math::max);
        return true;
    }

    /** Records that a peer reports a cache as available again; returns false if it is ignored. */
    boolean onRestored(int from, long listRevision, long cache) {
        if (!isRelevant(listRevision, cache)
                || restorationsByCache.size() >= MAX_CACHES
                        && !restorationsByCache.containsKey(cache)) {
            return false;
        }
        restorationsByCache
                .computeIfAbsent(cache, id -> new HashMap<>())
                .merge(from, listRevision, Math::max);
        return true;
    }

    private boolean isRelevant(long listRevision, long cache) {
        return !isCaughtUpWith(listRevision) && readyCaches.contains(cache);
    }

    private boolean isCaughtUpWith(long listRevision) {
        return listRevision <= fleet.localVersions().listRevision();
    }

    /**
     * Returns the newest proven revision in which a peer reports a cache as available again; {@link
     * Long#MIN_VALUE} if there is none. An unproven revision must not invalidate other peers'
     * reports.
     */
    private long newestRestoration(long cache) {
        long newestRestored = Long.MIN_VALUE;
        for (long listRevision : restorationsByCache.getOrDefault(cache, Map.of()).values()) {
            if (listRevision <= list.newestRevision()) {
                newestRestored = Math.max(newestRestored, listRevision);
            }
        }
        return newestRestored;
    }

    /** Returns the time at which the next report may expire. */
    long nextTimerAtNanos(long now) {
        long nextNanos = peerDrains.nextTimerAtNanos(now);
        for (UnavailabilityReport report : reportsByCache.values()) {
            long lifetimeNanos =
                    report.isSingleReportExpired
                            ? settings.reportLifetimeNanos()
                            : settings.singleReportLifetimeNanos();
            nextNanos = Math.min(nextNanos, report.sinceNanos + lifetimeNanos);
        }
        return nextNanos;
    }

    /** Removes the reports that expired or were superseded by newer lists. */
    void removeOutdated(long now) {
        reportsByCache.keySet().removeIf(cache -> !readyCaches.contains(cache));
        restorationsByCache.keySet().removeIf(cache -> !readyCaches.contains(cache));
        for (Map<Integer, Long> restorations : restorationsByCache.values()) {
            restorations.values().removeIf(this::isCaughtUpWith);
        }
        restorationsByCache.values().removeIf(Map::isEmpty);
        for (Map.Entry<Long, UnavailabilityReport> entry : reportsByCache.entrySet()) {
            UnavailabilityReport report = entry.getValue();
            report.isSingleReportExpired |=
                    now - report.sinceNanos >= settings.singleReportLifetimeNanos();
            // Checked per reporter, as a false high revision must not preserve other peers'
            // reports.
            report.revisionByReporter
                    .values()
                    .removeIf(
                            listRevision ->
                                    isCaughtUpWith(listRevision)
                                            || listRevision < newestRestoration(entry.getKey()));
        }
        reportsByCache
                .values()
                .removeIf(
                        report ->
                                report.revisionByReporter.isEmpty()
                                        || now - report.sinceNanos
                                                >= settings.reportLifetimeNanos());
    }

    /**
     * Selects the caches to avoid, up to the maximum fraction: administrative drains first, then
     * the caches that are unavailable in the newest lists. Locally drained caches are not included,
     * as they are not used in any case.
     */
    void update(long now) {
        int maxAvoided =
                readyCaches.size() < 2
                        ? 0
                        : (int) Math.ceil(readyCaches.size() * settings.maxAvoidedFraction());
        int required = fleet.requiredReporters();
        Set<Long> newlyAvoided = new TreeSet<>();
        drainedByPeers = peerDrains.drainedCaches(now, required, readyCaches);
        drainedByPeers.removeAll(locallyDrained);
        drainedByPeers.stream().sorted().limit(maxAvoided).forEach(newlyAvoided::add);
        for (Candidate candidate : candidates(now, required)) {
            if (newlyAvoided.size() < maxAvoided) {
                newlyAvoided.add(candidate.cache);
            }
        }
        if (!newlyAvoided.equals(avoidedCaches)) {
            avoidedCaches = newlyAvoided;
            actions.avoidCaches(Set.copyOf(newlyAvoided));
        }
    }

    private List<Candidate> candidates(long now, int required) {
        List<Candidate> candidates = new ArrayList<>();
        for (Map.Entry<Long, UnavailabilityReport> entry : reportsByCache.entrySet()) {
            List<Long> listRevisions =
                    entry.getValue().revisionByReporter.values().stream().sorted().toList();
            long listRevision =
                    listRevisions.size() >= required
                            ? listRevisions.get(listRevisions.size() - required)
                            : Long.MIN_VALUE;
            boolean isCredible =
                    listRevision != Long.MIN_VALUE
                            ? !rolloutGuard.shouldNotFollow(now, VersionKind.LIST, listRevision)
                            : !entry.getValue().isSingleReportExpired;
            if (isCredible && !locallyDrained.contains(entry.getKey())) {
                candidates.add(new Candidate(entry.getKey(), listRevision, listRevisions.size()));
            }
        }
        candidates.sort(BY_PRIORITY);
        return candidates;
    }
}
