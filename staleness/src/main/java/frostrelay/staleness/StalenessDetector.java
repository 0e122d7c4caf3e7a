package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Whether this balancer acts on what the rest of the fleet has left behind, and what it does then.
 * What peers say only takes away: a cache that others know as draining or gone is avoided until the
 * own list has caught up or the hearsay is old; nothing is ever sent to a cache that the own list
 * has not named. Decides by events alone; for one thread; moments are nanoseconds of one clock that
 * never falls.
 */
public final class StalenessDetector {
    /** What comes of it. */
    public interface Actions {
        /** Discovery is to be asked for the whole list now. */
        void pollEndpointList();

        /** The configuration's file is read again now: a signal may have been missed. */
        void rereadConfig();

        /**
         * The file brought nothing: these act on a configuration with this digest, and its content
         * may be asked of them where operators allow that. None: nothing is wanted any more.
         */
        void fetchConfig(long digest, List<Integer> holders);

        /** Exactly these caches, by their numbers, are avoided on hearsay from now on. */
        void avoidCaches(Set<Long> caches);

        /** This balancer steps aside as a drain does, or comes back. */
        void setSelfDraining(boolean isDraining, String reason);

        /**
         * What this balancer says of itself ({@link #failingKinds}) has changed and is to be told.
         */
        void announceFailingVersions();

        /** A version is not followed although others act on it, and why. */
        void onVersionNotFollowed(VersionKind kind, long number, String reason);

        /** Something that operators want to know, in words. */
        void notifyOperators(String message);
    }

    /** How this balancer's list, or its configuration, stands to the others'. */
    public enum Standing {
        /** Nobody is heard: neither current nor behind. */
        HEARS_NOTHING,
        CURRENT,
        /** Others act on a newer one, and it may yet come by itself. */
        WAITING,
        /** It was waited for in vain and is asked for. */
        BEHIND,
        /** Behind for longer than the bound: what it says of shared state is not to be gone by. */
        STRAGGLER,
        /** Behind on purpose: those that took the newer one fail under it. Operators decide. */
        STAYS_BEHIND,
        /** Behind for a known reason: the newer configuration was read here and cannot be used. */
        REFUSED,
        /** One version with two contents. */
        CONFLICT
    }

    private static final long NEVER_NANOS = Long.MAX_VALUE;

    /** With so many others alive, one's word alone proves nothing. */
    static final int MIN_PEERS_FOR_CONFIRMATION = 3;

    private static final int MAX_CACHES = 4_096;

    /**
     * What others say of a cache: who has it as not to be used, each by the version of its own
     * list.
     */
    private static final class UnavailabilityReport {
        long sinceNanos;

        /** One alone has been believed for as long as that goes. */
        boolean isSingleReportExpired;

        final Map<Integer, Long> revisionByReporter = new HashMap<>();
    }

    private final StalenessSettings settings;
    private final int localRank;
    private final int count;
    private final SplittableRandom random;
    private final Actions actions;
    private final PeerVersionState[] peers;
    private final FleetVersionSummary versionSummary = new FleetVersionSummary();
    private final BadVersionDetector badVersions;
    private final PeerAdminDrains peerDrains;
    private final Map<VersionKind, VersionRegressionDetector> serviceByKind =
            new EnumMap<>(VersionKind.class);
    private final Map<Long, UnavailabilityReport> reportsByCache = new LinkedHashMap<>();

    /** By which version each peer has a cache back. */
    private final Map<Long, Map<Integer, Long>> restorationsByCache = new HashMap<>();

    private Set<Long> readyCaches = Set.of();
    private Set<Long> locallyDrained = Set.of();
    private Set<Long> avoidedCaches = Set.of();
    private Set<Long> drainedByPeers = Set.of();
    private AppliedVersions localVersions;
    private boolean isIsolated;
    private OperatorOverrides overrides = OperatorOverrides.NONE;
    private Standing listStanding = Standing.HEARS_NOTHING;
    private Standing configStanding = Standing.HEARS_NOTHING;
    private long newestListRevision;
    private long newestConfigNumber = Long.MIN_VALUE;
    private long rejectedConfigNumber = Long.MIN_VALUE;
    private long behindSinceNanos = NEVER_NANOS;
    private long configBehindSinceNanos = NEVER_NANOS;
    private long pollAtNanos = NEVER_NANOS;
    private long pollIntervalNanos;
    private long rereadAtNanos = NEVER_NANOS;
    private long fetchAtNanos = NEVER_NANOS;
    private boolean isFetchingConfig;
    private boolean isSelfDraining;
    private long pollCount;

    /**
     * {@code localRank}: this balancer's number among {@code count}; {@code localVersions}: what it
     * acts on.
     */
    public StalenessDetector(
            StalenessSettings settings,
            int localRank,
            int count,
            long seed,
            AppliedVersions localVersions,
            Actions actions) {
        this.settings = settings;
        this.localRank = localRank;
        this.count = count;
        this.localVersions = localVersions;
        this.actions = actions;
        random = new SplittableRandom(seed);
        peers = new PeerVersionState[count];
        for (int i = 0; i < count; i++) {
            peers[i] = new PeerVersionState();
        }
        badVersions = new BadVersionDetector(settings, peers, localRank);
        peerDrains = new PeerAdminDrains(settings, peers);
        for (VersionKind kind : VersionKind.values()) {
            serviceByKind.put(kind, new VersionRegressionDetector(settings, kind));
        }
    }

    // What comes in.

    /**
     * A cache that others call away: by which list several of them do, {@link Long#MIN_VALUE} for
     * none, and how many there are.
     */
    private record AvoidanceCandidate(long cache, long listRevision, int reporterCount) {}

    /** This balancer's own operators hold these caches. */
    public void onLocalAdminDrains(long now, Set<Long> caches) {
        locallyDrained = Set.copyOf(caches);
        reevaluate(now);
    }

    /**
     * This balancer acts on this from now on; {@code usableCaches}: the caches that its list names
     * as ready.
     */
    public void onLocalVersions(long now, AppliedVersions versions, Set<Long> usableCaches) {
        for (VersionKind kind : VersionKind.values()) {
            if (kind.number(versions) != kind.number(localVersions)) {
                serviceByKind.get(kind).onVersionApplied(now);
            }
        }
        localVersions = versions;
        readyCaches = usableCaches;
        for (PeerVersionState peer : peers) {
            updateOlderSince(now, peer);
        }
        reevaluate(now);
    }

    /**
     * What is known of a peer. {@code versions}: null where that is nothing; {@code
     * startUnixMillis}: when its life began, in Unix milliseconds as it saw it; {@code ageNanos}:
     * how long ago it said so itself, negative where it never did.
     */
    public void onPeerState(
            long now,
            int rank,
            MemberState state,
            AppliedVersions versions,
            long startUnixMillis,
            long ageNanos) {
        PeerVersionState peer = peers[rank];
        boolean hasRestarted = startUnixMillis != peer.startUnixMillis && peer.startUnixMillis != 0;
        if (hasRestarted
                ? peer.state != MemberState.LEFT && peer.state != MemberState.GONE
                : state == MemberState.GONE
                        && peer.state != MemberState.GONE
                        && peer.state != MemberState.LEFT) {
            badVersions.onPeerCrashed(now, rank, peer);
        }
        if (versions != null
                && (hasRestarted
                        || peer.appliedVersions == null
                        || peer.appliedVersions.configNumber() != versions.configNumber())) {
            peer.configSinceNanos = now - Math.max(0, ageNanos);
        }
        peer.state = state;
        peer.startUnixMillis = startUnixMillis;
        peer.appliedVersions = versions == null && !hasRestarted ? peer.appliedVersions : versions;
        peer.reportedAtNanos =
                ageNanos < 0
                        ? peer.reportedAtNanos
                        : Math.max(peer.reportedAtNanos, now - ageNanos);
        updateOlderSince(now, peer);
        reevaluate(now);
    }

    private void updateOlderSince(long now, PeerVersionState peer) {
        boolean isOlder =
                peer.appliedVersions != null
                        && peer.appliedVersions.listRevision() < localVersions.listRevision();
        peer.olderListSinceNanos = isOlder ? Math.min(peer.olderListSinceNanos, now) : NEVER_NANOS;
    }

    /** Whether anybody is heard at all. */
    public void onIsolation(long now, boolean isolated) {
        if (isolated != isIsolated) {
            isIsolated = isolated;
            reevaluate(now);
        }
    }

    /**
     * Counts since the start, about once a second: requests that ended, and those that were served
     * among them.
     */
    public void onServiceCounts(long now, long completed, long served) {
        boolean hasChanged = false;
        for (VersionRegressionDetector kindService : serviceByKind.values()) {
            boolean wasFailing = kindService.isFailing();
            kindService.onServiceCounts(now, completed, served);
            hasChanged |= kindService.isFailing() != wasFailing;
        }
        if (hasChanged) {
            actions.announceFailingVersions();
        }
    }

    /**
     * A configuration with that number, {@link AppliedVersions#NO_NUMBER} for one that has none,
     * was read and cannot be used.
     */
    public void onConfigRejected(long now, long number) {
        rejectedConfigNumber = number;
        reevaluate(now);
    }

    /** A peer says of itself that it serves worse since it took a version, or does no longer. */
    public void onVersionFailing(
            long now, int from, VersionKind kind, long number, boolean isFailing) {
        badVersions.onVersionFailing(now, from, kind, number, isFailing);
        reevaluate(now);
    }

    /**
     * A peer says that its own operators hold a cache; {@code digest}: of all that it holds, as in
     * its stamp.
     */
    public void onPeerAdminDrain(long now, int from, long digest, long cache) {
        peerDrains.onPeerAdminDrain(now, from, digest, cache);
        reevaluate(now);
    }

    /** What operators decided in place of the program. */
    public void onOverrides(long now, OperatorOverrides updated) {
        overrides = updated;
        reevaluate(now);
    }

    /** A peer says, by its own list of that version, that a cache is not to be used. */
    public void onCacheUnavailable(long now, int from, long listRevision, long cache) {
        if (listRevision <= localVersions.listRevision()
                || !readyCaches.contains(cache)
                || reportsByCache.size() >= MAX_CACHES) {
            return;
        }
        if (listRevision < newestRestoration(cache)) {
            return;
        }
        UnavailabilityReport report =
                reportsByCache.computeIfAbsent(cache, id -> new UnavailabilityReport());
        if (report.revisionByReporter.isEmpty()) {
            report.sinceNanos = now;
        }
        report.revisionByReporter.merge(from, listRevision, Math::max);
        reevaluate(now);
    }

    /**
     * A peer says, by its own list of that version, that a cache may be used again: what older
     * lists said of it is over, also where that comes later, as datagrams overtake each other.
     * Believed once that version is proved: one liar ends nobody's word.
     */
    public void onCacheRestored(long now, int from, long listRevision, long cache) {
        if (listRevision <= localVersions.listRevision()
                || !readyCaches.contains(cache)
                || restorationsByCache.size() >= MAX_CACHES
                        && !restorationsByCache.containsKey(cache)) {
            return;
        }
        restorationsByCache
                .computeIfAbsent(cache, id -> new HashMap<>())
                .merge(from, listRevision, Math::max);
        reevaluate(now);
    }

    /**
     * The newest proved version by which somebody has the cache back; {@link Long#MIN_VALUE} for
     * none.
     */
    private long newestRestoration(long cache) {
        long newestRestored = Long.MIN_VALUE;
        for (long listRevision : restorationsByCache.getOrDefault(cache, Map.of()).values()) {
            newestRestored =
                    listRevision <= newestListRevision
                            ? Math.max(newestRestored, listRevision)
                            : newestRestored;
        }
        return newestRestored;
    }

    /** When {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos(long now) {
        long nextNanos =
                Math.min(
                        Math.min(pollAtNanos, rereadAtNanos),
                        Math.min(fetchAtNanos, peerDrains.nextTimerAtNanos(now)));
        for (UnavailabilityReport report : reportsByCache.values()) {
            nextNanos =
                    Math.min(
                            nextNanos,
                            report.sinceNanos
                                    + (report.isSingleReportExpired
                                            ? settings.reportLifetimeNanos()
                                            : settings.singleReportLifetimeNanos()));
        }
        if (behindSinceNanos != NEVER_NANOS
                && listStanding != Standing.STRAGGLER
                && listStanding != Standing.STAYS_BEHIND) {
            nextNanos =
                    Math.min(
                            nextNanos,
                            behindSinceNanos
                                    + (listStanding == Standing.WAITING
                                            ? settings.graceNanos()
                                            : settings.stalenessBoundNanos()));
        }
        if (configBehindSinceNanos != NEVER_NANOS && configStanding == Standing.BEHIND) {
            nextNanos =
                    Math.min(nextNanos, configBehindSinceNanos + settings.stalenessBoundNanos());
        }
        return nextNanos;
    }

    /** To be called at {@link #nextTimerAtNanos}, or a little later. */
    public void onTimer(long now) {
        reevaluate(now);
        if (now >= rereadAtNanos) {
            rereadAtNanos = now + settings.maxPollIntervalNanos();
            actions.rereadConfig();
        }
        if (now >= fetchAtNanos) {
            fetchAtNanos = now + settings.maxPollIntervalNanos();
            fetchNewestConfig();
        }
        if (now >= pollAtNanos) {
            pollCount++;
            // Until it brings something, ever more seldom: a fleet that is told nothing does not
            // mob discovery.
            pollIntervalNanos =
                    Math.min(
                            Math.max(settings.maxPollIntervalNanos(), pollSpreadNanos()),
                            pollIntervalNanos * 2);
            pollAtNanos = now + pollIntervalNanos / 2 + random.nextLong(pollIntervalNanos / 2 + 1);
            actions.pollEndpointList();
        }
    }

    /** The content that most act on under the newest number, of those that do. */
    private void fetchNewestConfig() {
        Map<Long, List<Integer>> holders = new HashMap<>();
        for (int i = 0; i < count; i++) {
            if (i != localRank
                    && peers[i].isKnownAlive()
                    && peers[i].appliedVersions.configNumber() == newestConfigNumber) {
                holders.computeIfAbsent(
                                peers[i].appliedVersions.configDigest(),
                                digest -> new ArrayList<>())
                        .add(i);
            }
        }
        holders.entrySet().stream()
                .max(
                        (a, b) ->
                                a.getValue().size() != b.getValue().size()
                                        ? a.getValue().size() - b.getValue().size()
                                        : Long.compare(a.getKey(), b.getKey()))
                .ifPresent(
                        largest -> {
                            // Two contents under one number: whoever has the more must be proved by
                            // itself.
                            if (largest.getValue().size() >= requiredReporters()) {
                                isFetchingConfig = true;
                                actions.fetchConfig(
                                        largest.getKey(), List.copyOf(largest.getValue()));
                            }
                        });
    }

    // Judging.

    private int requiredReporters() {
        return versionSummary.requiredReporters();
    }

    private void reevaluate(long now) {
        versionSummary.update(peers, localRank, localVersions);
        reportsByCache.keySet().removeIf(cache -> !readyCaches.contains(cache));
        restorationsByCache.keySet().removeIf(cache -> !readyCaches.contains(cache));
        restorationsByCache
                .values()
                .forEach(
                        restorations ->
                                restorations
                                        .values()
                                        .removeIf(
                                                listRevision ->
                                                        listRevision
                                                                <= localVersions.listRevision()));
        restorationsByCache.values().removeIf(Map::isEmpty);
        reportsByCache
                .values()
                .forEach(
                        report ->
                                report.isSingleReportExpired |=
                                        now - report.sinceNanos
                                                >= settings.singleReportLifetimeNanos());
        updateListStanding(now);
        // Witness by witness: one that claims a version of the far future keeps nobody else's word
        // alive.
        reportsByCache.forEach(
                (cache, report) ->
                        report.revisionByReporter
                                .values()
                                .removeIf(
                                        listRevision ->
                                                listRevision <= localVersions.listRevision()
                                                        || listRevision
                                                                < newestRestoration(cache)));
        reportsByCache
                .values()
                .removeIf(
                        report ->
                                report.revisionByReporter.isEmpty()
                                        || now - report.sinceNanos
                                                >= settings.reportLifetimeNanos());
        updateConfigStanding(now);
        updateAvoidedCaches(now);
        updateSelfDraining(now);
    }

    private void updateListStanding(long now) {
        newestListRevision = versionSummary.newestProven(VersionKind.LIST);
        Standing previous = listStanding;
        if (isIsolated || !versionSummary.hasKnownPeer) {
            // Hearing nothing is not being behind: what was known before is neither confirmed nor
            // refuted.
            listStanding = Standing.HEARS_NOTHING;
            behindSinceNanos = NEVER_NANOS;
            pollAtNanos = NEVER_NANOS;
        } else if (newestListRevision > localVersions.listRevision()
                && shouldNotFollow(now, VersionKind.LIST, newestListRevision)) {
            listStanding = Standing.STAYS_BEHIND;
            behindSinceNanos = behindSinceNanos == NEVER_NANOS ? now : behindSinceNanos;
            pollAtNanos = NEVER_NANOS;
        } else if (newestListRevision > localVersions.listRevision()) {
            if (behindSinceNanos == NEVER_NANOS || pollAtNanos == NEVER_NANOS) {
                behindSinceNanos = now;
                pollIntervalNanos = Math.max(settings.minPollIntervalNanos(), pollSpreadNanos());
                pollAtNanos =
                        now
                                + settings.graceNanos()
                                + random.nextLong(Math.max(1, pollSpreadNanos()));
            }
            long lagNanos = now - behindSinceNanos;
            listStanding =
                    lagNanos >= settings.stalenessBoundNanos()
                            ? Standing.STRAGGLER
                            : lagNanos >= settings.graceNanos()
                                    ? Standing.BEHIND
                                    : Standing.WAITING;
        } else {
            listStanding = versionSummary.hasListConflict ? Standing.CONFLICT : Standing.CURRENT;
            behindSinceNanos = NEVER_NANOS;
            pollAtNanos = NEVER_NANOS;
        }
        if (previous != listStanding
                && (listStanding == Standing.STRAGGLER
                        || previous == Standing.STRAGGLER
                        || listStanding == Standing.CONFLICT)) {
            actions.notifyOperators(
                    listStanding
                            + " on list "
                            + localVersions.listRevision()
                            + ", others act on "
                            + newestListRevision);
        }
        if (previous != listStanding && listStanding == Standing.STAYS_BEHIND) {
            actions.onVersionNotFollowed(
                    VersionKind.LIST, newestListRevision, "those that took it fail under it");
        }
    }

    private boolean shouldNotFollow(long now, VersionKind kind, long number) {
        return badVersions.isBad(now, kind, number, serviceByKind.get(kind).isFailing())
                && !overrides.isFollowed(kind, number);
    }

    /**
     * Others that prove one act on a later configuration: the file may hold it, unread. Lagging
     * behind a configuration is never a reason to step aside: one that is led through the fleet in
     * steps has most of it behind on purpose.
     */
    private void updateConfigStanding(long now) {
        newestConfigNumber = versionSummary.newestProven(VersionKind.CONFIG);
        Standing previous = configStanding;
        boolean isBehind =
                localVersions.configNumber() != AppliedVersions.NO_NUMBER
                        && newestConfigNumber > localVersions.configNumber();
        if (isIsolated || listStanding == Standing.HEARS_NOTHING) {
            configStanding = Standing.HEARS_NOTHING;
        } else if (!isBehind) {
            configStanding =
                    versionSummary.hasConfigConflict ? Standing.CONFLICT : Standing.CURRENT;
        } else if (rejectedConfigNumber == newestConfigNumber) {
            configStanding = Standing.REFUSED;
        } else if (shouldNotFollow(now, VersionKind.CONFIG, newestConfigNumber)) {
            configStanding = Standing.STAYS_BEHIND;
        } else {
            configStanding =
                    configBehindSinceNanos != NEVER_NANOS
                                    && now - configBehindSinceNanos
                                            >= settings.stalenessBoundNanos()
                            ? Standing.STRAGGLER
                            : Standing.BEHIND;
        }
        if (configStanding != Standing.BEHIND && configStanding != Standing.STRAGGLER) {
            configBehindSinceNanos = NEVER_NANOS;
            rereadAtNanos = NEVER_NANOS;
            fetchAtNanos = NEVER_NANOS;
            if (isFetchingConfig) {
                isFetchingConfig = false;
                actions.fetchConfig(0, List.of());
            }
        } else if (configBehindSinceNanos == NEVER_NANOS) {
            configBehindSinceNanos = now;
            // The signal is on its way as a rule; reading a file costs nobody else anything.
            rereadAtNanos = now + settings.probationNanos();
            fetchAtNanos = rereadAtNanos + 2 * settings.minPollIntervalNanos();
        }
        if (previous != configStanding
                && (configStanding == Standing.STRAGGLER
                        || configStanding == Standing.REFUSED
                        || configStanding == Standing.CONFLICT
                        || previous == Standing.STRAGGLER)) {
            actions.notifyOperators(
                    configStanding
                            + " on configuration "
                            + localVersions.configNumber()
                            + ", others act on "
                            + newestConfigNumber);
        }
        if (previous != configStanding && configStanding == Standing.STAYS_BEHIND) {
            actions.onVersionNotFollowed(
                    VersionKind.CONFIG, newestConfigNumber, "those that took it fail under it");
        }
    }

    /**
     * Over so long the calls of all that are behind are spread, so that they come as often as all
     * watches do in calm.
     */
    private long pollSpreadNanos() {
        return countBehind()
                * Math.min(settings.pollSpreadNanos(), settings.watchTimeoutNanos() / count);
    }

    /** How many are behind as far as is known, this one included: so many may be about to ask. */
    private int countBehind() {
        int behind = 1;
        for (int i = 0; i < count; i++) {
            behind +=
                    i != localRank
                                    && peers[i].isKnownAlive()
                                    && peers[i].appliedVersions.listRevision() < newestListRevision
                            ? 1
                            : 0;
        }
        return behind;
    }

    /**
     * Operators' holds first, then those that several prove by the newest lists, then those with
     * most witnesses, up to the part that others' word may take away, whoever says what. What this
     * balancer's own operators hold is out of use anyway and takes no room: beside such a hold, a
     * drain that three knew was not avoided.
     */
    private void updateAvoidedCaches(long now) {
        int maxAvoided =
                readyCaches.size() < 2
                        ? 0
                        : (int) Math.ceil(readyCaches.size() * settings.maxAvoidedFraction());
        int required = requiredReporters();
        Set<Long> newlyAvoided = new TreeSet<>();
        drainedByPeers = peerDrains.drainedCaches(now, required, isIsolated, readyCaches);
        drainedByPeers.removeAll(locallyDrained);
        drainedByPeers.stream().sorted().limit(maxAvoided).forEach(newlyAvoided::add);
        List<AvoidanceCandidate> candidates = new ArrayList<>();
        for (Map.Entry<Long, UnavailabilityReport> candidate : reportsByCache.entrySet()) {
            List<Long> listRevisions =
                    candidate.getValue().revisionByReporter.values().stream().sorted().toList();
            long listRevision =
                    listRevisions.size() >= required
                            ? listRevisions.get(listRevisions.size() - required)
                            : Long.MIN_VALUE;
            boolean isCredible =
                    listRevision != Long.MIN_VALUE
                            ? !shouldNotFollow(now, VersionKind.LIST, listRevision)
                            : !candidate.getValue().isSingleReportExpired;
            if (isCredible && !locallyDrained.contains(candidate.getKey())) {
                candidates.add(
                        new AvoidanceCandidate(
                                candidate.getKey(), listRevision, listRevisions.size()));
            }
        }
        candidates.sort(
                Comparator.comparingLong(AvoidanceCandidate::listRevision)
                        .thenComparingInt(AvoidanceCandidate::reporterCount)
                        .reversed()
                        .thenComparingLong(AvoidanceCandidate::cache));
        for (AvoidanceCandidate candidate : candidates) {
            if (newlyAvoided.size() < maxAvoided) {
                newlyAvoided.add(candidate.cache);
            }
        }
        if (!newlyAvoided.equals(avoidedCaches)) {
            avoidedCaches = newlyAvoided;
            actions.avoidCaches(Set.copyOf(newlyAvoided));
        }
    }

    /**
     * Steps aside by what can be proved: a straggler, of whom at least half of the tier is alive
     * and current, and who has one of the few places that may be empty at once. Places go by
     * number: whoever hears whom, no more than that are ever aside. Operators who shut one out
     * answer for that themselves.
     */
    private void updateSelfDraining(long now) {
        boolean isStale =
                listStanding == Standing.STRAGGLER
                        && !overrides.isKeptIn()
                        && (isSelfDraining
                                || maySelfDrain(
                                                localRank,
                                                count,
                                                settings.maxSelfDrainingFraction())
                                        && 2 * countCurrentPeers() >= count);
        boolean shouldDrain = isStale || overrides.isShutOut();
        if (shouldDrain != isSelfDraining) {
            isSelfDraining = shouldDrain;
            actions.setSelfDraining(
                    shouldDrain,
                    !shouldDrain
                            ? "no straggler any more"
                            : overrides.isShutOut()
                                    ? "operators shut it out"
                                    : "behind list "
                                            + newestListRevision
                                            + " with "
                                            + localVersions.listRevision()
                                            + " for "
                                            + (now - behindSinceNanos) / 1_000_000
                                            + " ms");
        }
    }

    /** How many others are alive and act on the newest list. */
    private int countCurrentPeers() {
        int current = 0;
        for (int i = 0; i < count; i++) {
            current +=
                    i != localRank
                                    && peers[i].isKnownAlive()
                                    && peers[i].appliedVersions.listRevision() >= newestListRevision
                            ? 1
                            : 0;
        }
        return current;
    }

    /**
     * Whether a balancer has one of the places that may be empty: every fourth number, and never
     * one of a tier of two. At most a quarter of a tier, rounded up, can be aside at once, whatever
     * hears nothing.
     */
    static boolean maySelfDrain(int rank, int count, double maxFraction) {
        int interval = (int) Math.round(1 / maxFraction);
        return count > 2 && rank % interval == interval - 1;
    }

    // What is known.

    /** How this balancer's list stands to the others'. */
    public Standing listStanding() {
        return listStanding;
    }

    /** How its configuration stands to theirs. */
    public Standing configStanding() {
        return configStanding;
    }

    /** The newest list that is proved, {@link Long#MIN_VALUE} where none is. */
    public long newestListRevision() {
        return newestListRevision;
    }

    /** Likewise the newest configuration. */
    public long newestConfigNumber() {
        return newestConfigNumber;
    }

    /** For how long it has been behind a list, in nanoseconds; -1 where it is not. */
    public long behindForNanos(long now) {
        return behindSinceNanos == NEVER_NANOS ? -1 : now - behindSinceNanos;
    }

    /** The caches avoided on others' word. */
    public Set<Long> avoidedCaches() {
        return avoidedCaches;
    }

    /** Those among them that others' operators hold. */
    public Set<Long> drainedByPeers() {
        return drainedByPeers;
    }

    /**
     * The kinds whose version this balancer serves worse under than before it took it, by its own
     * counts.
     */
    public List<VersionKind> failingKinds() {
        return serviceByKind.entrySet().stream()
                .filter(entry -> entry.getValue().isFailing())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Whether what another says of shared state, counts, budgets, claims of ownership, is to be
     * gone by.
     */
    public PeerFreshness freshnessOf(long now, int rank) {
        PeerVersionState peer = peers[rank];
        if (isIsolated || !peer.isKnownAlive()) {
            return PeerFreshness.UNKNOWN;
        }
        return peer.olderListSinceNanos != NEVER_NANOS
                        && now - peer.olderListSinceNanos >= settings.stalenessBoundNanos()
                ? PeerFreshness.PASSED_OVER
                : PeerFreshness.CURRENT;
    }

    /** Whether it has stepped aside. */
    public boolean isSelfDraining() {
        return isSelfDraining;
    }

    /** How often discovery was asked out of turn. */
    public long pollCount() {
        return pollCount;
    }
}
