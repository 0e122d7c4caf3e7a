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
 * The caches that this balancer avoids because of its peers: those that peers' operators drain, and
 * those that newer endpoint lists than the local one rule out, until the local list has caught up
 * or the reports expire. Reports only take caches away, and never more than a part of them.
 */
final class CacheAvoidance {
    private static final int MAX_CACHES = 4_096;

    /** Who rules a cache out, each by the revision of its own list. */
    private static final class UnavailabilityReport {
        long sinceNanos;

        /** The report of a single peer has been believed for as long as it may be. */
        boolean isSingleReportExpired;

        final Map<Integer, Long> revisionByReporter = new HashMap<>();
    }

    /**
     * A cache that may be avoided: by which revision enough peers rule it out, {@link
     * Long#MIN_VALUE} where too few do, and how many peers do at all.
     */
    private record Candidate(long cache, long listRevision, int reporterCount) {}

    /** The newest lists first, then the most reporters. */
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

    /** By which revision each peer allows a cache again. */
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

    /** Records that a peer rules a cache out; false where that is ignored. */
    boolean onUnavailable(long now, int from, long listRevision, long cache) {
        if (!isNews(listRevision, cache)
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

    /** Records that a peer allows a cache again; false where that is ignored. */
    boolean onRestored(int from, long listRevision, long cache) {
        if (!isNews(listRevision, cache)
                || restorationsByCache.size() >= MAX_CACHES
                        && !restorationsByCache.containsKey(cache)) {
            return false;
        }
        restorationsByCache
                .computeIfAbsent(cache, id -> new HashMap<>())
                .merge(from, listRevision, Math::max);
        return true;
    }

    private boolean isNews(long listRevision, long cache) {
        return !isCaughtUpWith(listRevision) && readyCaches.contains(cache);
    }

    private boolean isCaughtUpWith(long listRevision) {
        return listRevision <= fleet.localVersions().listRevision();
    }

    /**
     * The newest proven revision by which a peer allows a cache again; {@link Long#MIN_VALUE} where
     * there is none. An unproven revision must not end the reports of others.
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

    /** When a report may expire next. */
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

    /** Removes the reports that expired or that newer lists supersede. */
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
            // Reporter by reporter: one that claims a far revision must not keep others' reports.
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
     * Decides which caches to avoid, up to the part that peers may take away: admin drains first,
     * then the caches that the newest lists rule out. Locally drained caches do not count, as they
     * are out of use anyway.
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
