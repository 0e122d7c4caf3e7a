package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import java.util.List;
import java.util.Set;

/**
 * Detects that this balancer applies versions that its peers have superseded, and decides what to
 * do: poll, fetch, avoid caches, or drain itself. What peers report only takes caches away, until
 * the local endpoint list has caught up or the report expires; nothing is ever sent to a cache that
 * the local list does not name. Driven by events alone; not thread-safe; times are nanoseconds of
 * one monotonic clock.
 */
public final class StalenessDetector {
    /** What the detector decides. */
    public interface Actions {
        /** The discovery service is to be polled for the whole list now. */
        void pollEndpointList();

        /** The configuration's file is to be read again now: a signal may have been missed. */
        void rereadConfig();

        /**
         * Reading the file brought nothing: the content may be fetched from peers, where operators
         * allow that.
         *
         * @param digest of the configuration
         * @param holders ranks of the peers that apply it; empty to stop fetching
         */
        void fetchConfig(long digest, List<Integer> holders);

        /** From now on exactly these caches are avoided because of peers' reports. */
        void avoidCaches(Set<Long> caches);

        /** This balancer starts or ends draining itself. */
        void setSelfDraining(boolean isDraining, String reason);

        /** What {@link #failingKinds} returns has changed and is to be announced to the peers. */
        void announceFailingVersions();

        /** A version is not followed although peers apply it. */
        void onVersionNotFollowed(VersionKind kind, long number, String reason);

        /** A message for operators. */
        void notifyOperators(String message);
    }

    /** How this balancer's list, or its configuration, stands to those of its peers. */
    public enum Standing {
        /** No peer's versions are known: neither current nor behind. */
        HEARS_NOTHING,
        /** No newer one is proven. */
        CURRENT,
        /** Peers apply a newer one, and it may yet come by itself. */
        WAITING,
        /** The grace period is over, and the newer one is polled for. */
        BEHIND,
        /** Behind for longer than the bound: its reports of shared state are not to be used. */
        STRAGGLER,
        /** Behind on purpose: those that apply the newer one fail under it. Operators decide. */
        STAYS_BEHIND,
        /** Behind for a known reason: the newer configuration was read here and is invalid. */
        REFUSED,
        /** One version with two contents. */
        CONFLICT
    }

    static final long NEVER_NANOS = Long.MAX_VALUE;

    /** Recorded in the audit log; the text is part of the stored data. */
    static final String NOT_FOLLOWED_REASON = "those that took it fail under it";

    private final StalenessSettings settings;
    private final Actions actions;
    private final FleetVersions fleet;
    private final RolloutGuard rolloutGuard;
    private final ListStaleness list;
    private final ConfigStaleness config;
    private final CacheAvoidance avoidance;
    private final SelfDrain selfDrain;

    /**
     * Starts without knowledge of any peer.
     *
     * @param localRank this balancer's rank, below {@code count}
     * @param count number of balancers
     * @param seed of the random spread of polls
     * @param localVersions what this balancer applies
     */
    public StalenessDetector(
            StalenessSettings settings,
            int localRank,
            int count,
            long seed,
            AppliedVersions localVersions,
            Actions actions) {
        this.settings = settings;
        this.actions = actions;
        fleet = new FleetVersions(localRank, count, localVersions);
        rolloutGuard = new RolloutGuard(settings, fleet);
        list = new ListStaleness(settings, fleet, rolloutGuard, seed, actions);
        config = new ConfigStaleness(settings, fleet, rolloutGuard, actions);
        avoidance = new CacheAvoidance(settings, fleet, rolloutGuard, list, actions);
        selfDrain = new SelfDrain(settings, fleet, rolloutGuard, list, actions);
    }

    /** This balancer's own operators drain exactly these caches. */
    public void onLocalAdminDrains(long now, Set<Long> caches) {
        avoidance.setLocallyDrained(caches);
        reevaluate(now);
    }

    /**
     * This balancer applies other versions from now on.
     *
     * @param usableCaches the caches that its list names as ready
     */
    public void onLocalVersions(long now, AppliedVersions versions, Set<Long> usableCaches) {
        rolloutGuard.onLocalVersions(now, fleet.localVersions(), versions);
        fleet.setLocalVersions(versions);
        avoidance.setReadyCaches(usableCaches);
        for (int rank = 0; rank < fleet.count(); rank++) {
            fleet.peer(rank).updateOlderSince(now, versions);
        }
        reevaluate(now);
    }

    /**
     * What is known of a peer.
     *
     * @param versions what it applies; null where that is not known
     * @param startUnixMillis start of its process by its own wall clock
     * @param ageNanos time since it confirmed this itself; negative where it never did
     */
    public void onPeerState(
            long now,
            int rank,
            MemberState state,
            AppliedVersions versions,
            long startUnixMillis,
            long ageNanos) {
        PeerVersionState peer = fleet.peer(rank);
        if (peer.isCrash(state, startUnixMillis)) {
            rolloutGuard.onPeerCrashed(now, rank);
        }
        peer.update(now, state, versions, startUnixMillis, ageNanos);
        peer.updateOlderSince(now, fleet.localVersions());
        reevaluate(now);
    }

    /** Whether nothing at all is received from peers. */
    public void onIsolation(long now, boolean isolated) {
        if (isolated != fleet.isIsolated()) {
            fleet.setIsolated(isolated);
            reevaluate(now);
        }
    }

    /**
     * Counts since the start, to be passed about once a second.
     *
     * @param completed requests that completed in whatever way
     * @param served those among them that were served
     */
    public void onServiceCounts(long now, long completed, long served) {
        if (rolloutGuard.onServiceCounts(now, completed, served)) {
            actions.announceFailingVersions();
        }
    }

    /**
     * A configuration was read and is invalid.
     *
     * @param number {@link AppliedVersions#NO_NUMBER} where it has none
     */
    public void onConfigRejected(long now, long number) {
        config.onRejected(number);
        reevaluate(now);
    }

    /** A peer reports of itself that it serves worse since it applies a version, or no longer. */
    public void onVersionFailing(
            long now, int from, VersionKind kind, long number, boolean isFailing) {
        rolloutGuard.onVersionFailing(now, from, new NumberedVersion(kind, number), isFailing);
        reevaluate(now);
    }

    /**
     * A peer reports that its own operators drain a cache.
     *
     * @param digest of all its admin drains, as in its applied versions
     */
    public void onPeerAdminDrain(long now, int from, long digest, long cache) {
        avoidance.onPeerAdminDrain(now, from, digest, cache);
        reevaluate(now);
    }

    /** Operators have changed what they decide in place of the program. */
    public void onOverrides(long now, OperatorOverrides updated) {
        rolloutGuard.setOverrides(updated);
        reevaluate(now);
    }

    /** A peer reports that its list, of this revision, rules a cache out. */
    public void onCacheUnavailable(long now, int from, long listRevision, long cache) {
        if (avoidance.onUnavailable(now, from, listRevision, cache)) {
            reevaluate(now);
        }
    }

    /**
     * A peer reports that its list, of this revision, allows a cache again. That ends the reports
     * by older lists, also those that arrive later, as datagrams may be reordered. Believed as soon
     * as the revision is proven, so that a single wrong report ends none.
     */
    public void onCacheRestored(long now, int from, long listRevision, long cache) {
        if (avoidance.onRestored(from, listRevision, cache)) {
            reevaluate(now);
        }
    }

    /** When {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos(long now) {
        return Math.min(
                Math.min(list.nextTimerAtNanos(), config.nextTimerAtNanos()),
                avoidance.nextTimerAtNanos(now));
    }

    /** Does what is due; to be called at {@link #nextTimerAtNanos}, or a little later. */
    public void onTimer(long now) {
        reevaluate(now);
        config.catchUpIfDue(now);
        list.pollIfDue(now);
    }

    private void reevaluate(long now) {
        fleet.summarize();
        list.update(now);
        avoidance.removeOutdated(now);
        config.update(now);
        avoidance.update(now);
        selfDrain.update(now);
    }

    /** How this balancer's list stands to those of its peers. */
    public Standing listStanding() {
        return list.standing();
    }

    /** How its configuration stands to those of its peers. */
    public Standing configStanding() {
        return config.standing();
    }

    /** The newest proven list revision, {@link Long#MIN_VALUE} where there is none. */
    public long newestListRevision() {
        return list.newestRevision();
    }

    /** The newest proven configuration number, {@link Long#MIN_VALUE} where there is none. */
    public long newestConfigNumber() {
        return config.newestNumber();
    }

    /** For how long its list has been behind, in nanoseconds; -1 where it is not. */
    public long behindForNanos(long now) {
        return list.behindForNanos(now);
    }

    /** The caches avoided because of peers' reports. */
    public Set<Long> avoidedCaches() {
        return avoidance.avoidedCaches();
    }

    /** The caches that peers' operators drain and the own operators do not. */
    public Set<Long> drainedByPeers() {
        return avoidance.drainedByPeers();
    }

    /** The kinds whose current version this balancer serves worse under than under the previous. */
    public List<VersionKind> failingKinds() {
        return rolloutGuard.failingKinds();
    }

    /** Whether a peer's reports of shared state, such as counts and claims, are to be used. */
    public PeerFreshness freshnessOf(long now, int rank) {
        PeerVersionState peer = fleet.peer(rank);
        if (fleet.isIsolated() || !peer.isKnownAlive()) {
            return PeerFreshness.UNKNOWN;
        }
        return peer.hasBeenOlderFor(now, settings.stalenessBoundNanos())
                ? PeerFreshness.PASSED_OVER
                : PeerFreshness.CURRENT;
    }

    /** Whether this balancer drains itself. */
    public boolean isSelfDraining() {
        return selfDrain.isDraining();
    }

    /** How often the discovery service was polled because the list was behind. */
    public long pollCount() {
        return list.pollCount();
    }
}
