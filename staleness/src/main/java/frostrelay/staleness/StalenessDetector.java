package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import java.util.List;
import java.util.Set;

/**
 * A detector of versions of this balancer that its peers have superseded. Decides whether to poll,
 * fetch, avoid caches or drain the balancer itself. Reports of peers can only exclude caches, until
 * the local endpoint list has caught up or the report expires; no request is ever sent to a cache
 * that the local list does not contain. Event-driven; not thread-safe; times are nanoseconds of one
 * monotonic clock.
 */
public final class StalenessDetector {
    /** Actions that the detector decides on, executed by its owner. */
    public interface Actions {
        /** Polls the discovery service for the whole list. */
        void pollEndpointList();

        /** Rereads the configuration file, as a reload signal may have been missed. */
        void rereadConfig();

        /**
         * Fetches the configuration from peers, if operators allow that, because the file did not
         * contain it.
         *
         * @param digest digest of the configuration
         * @param holders ranks of the peers that apply it; empty to stop fetching
         */
        void fetchConfig(long digest, List<Integer> holders);

        /** Replaces the set of caches to avoid because of peers' reports. */
        void avoidCaches(Set<Long> caches);

        /** Starts or ends the self-drain of this balancer. */
        void setSelfDraining(boolean isDraining, String reason);

        /** Announces a changed result of {@link #failingKinds} to the peers. */
        void announceFailingVersions();

        /** Handles the decision not to follow a version that peers apply. */
        void onVersionNotFollowed(VersionKind kind, long number, String reason);

        /** Sends a message to operators. */
        void notifyOperators(String message);
    }

    /** The standing of this balancer's list or configuration relative to those of its peers. */
    public enum Standing {
        /** No peer's versions are known: neither current nor behind. */
        HEARS_NOTHING,
        /** No newer version is proven. */
        CURRENT,
        /** Peers apply a newer version, whose regular notification may still arrive. */
        WAITING,
        /** The grace period has ended, and the newer version is polled for. */
        BEHIND,
        /** Behind for longer than the staleness bound; its reports of shared state are ignored. */
        STRAGGLER,
        /** Intentionally behind, until operators decide: peers fail under the newer version. */
        STAYS_BEHIND,
        /** Behind because the newer configuration was read locally and is invalid. */
        REFUSED,
        /** A peer applies different content under the same version number. */
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
     * Creates a detector without information about any peer.
     *
     * @param localRank this balancer's rank, below {@code count}
     * @param count number of balancers
     * @param seed seed of the random spread of polls
     * @param localVersions versions that this balancer applies
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

    /** Sets the caches that operators drain at this balancer. */
    public void onLocalAdminDrains(long now, Set<Long> caches) {
        avoidance.setLocallyDrained(caches);
        reevaluate(now);
    }

    /**
     * Records that this balancer applies other versions.
     *
     * @param usableCaches the caches that are ready in its list
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
     * Updates the known state of a peer.
     *
     * @param versions versions that the peer applies; null if they are not known
     * @param startUnixMillis start of its process by its own wall clock
     * @param ageNanos time since the peer itself confirmed this; negative if it never did
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

    /** Records whether this balancer is isolated, that is, receives nothing from any peer. */
    public void onIsolation(long now, boolean isolated) {
        if (isolated != fleet.isIsolated()) {
            fleet.setIsolated(isolated);
            reevaluate(now);
        }
    }

    /**
     * Evaluates the request counts since the process start; called about once a second.
     *
     * @param completed number of completed requests, successful or not
     * @param served number of completed requests that were served
     */
    public void onServiceCounts(long now, long completed, long served) {
        if (rolloutGuard.onServiceCounts(now, completed, served)) {
            actions.announceFailingVersions();
        }
    }

    /**
     * Records that a configuration was read and is invalid.
     *
     * @param number its version number, or {@link AppliedVersions#NO_NUMBER}
     */
    public void onConfigRejected(long now, long number) {
        config.onRejected(number);
        reevaluate(now);
    }

    /** Handles a peer's report on whether it serves worse since it applied a version. */
    public void onVersionFailing(
            long now, int from, VersionKind kind, long number, boolean isFailing) {
        rolloutGuard.onVersionFailing(now, from, new NumberedVersion(kind, number), isFailing);
        reevaluate(now);
    }

    /**
     * Handles a peer's report that operators drain a cache at that peer.
     *
     * @param digest digest of all administrative drains of the peer, as in its applied versions
     */
    public void onPeerAdminDrain(long now, int from, long digest, long cache) {
        avoidance.onPeerAdminDrain(now, from, digest, cache);
        reevaluate(now);
    }

    /** Sets the operators' overrides. */
    public void onOverrides(long now, OperatorOverrides updated) {
        rolloutGuard.setOverrides(updated);
        reevaluate(now);
    }

    /** Handles a peer's report that a cache is unavailable in a revision of its list. */
    public void onCacheUnavailable(long now, int from, long listRevision, long cache) {
        if (avoidance.onUnavailable(now, from, listRevision, cache)) {
            reevaluate(now);
        }
    }

    /**
     * Handles a peer's report that a cache is available again in a revision of its list. This
     * invalidates reports from older lists, including those received later, as datagrams may be
     * reordered. It takes effect once the revision is proven, so that a single wrong report does
     * not invalidate others.
     */
    public void onCacheRestored(long now, int from, long listRevision, long cache) {
        if (avoidance.onRestored(from, listRevision, cache)) {
            reevaluate(now);
        }
    }

    /** Returns the time at which {@link #onTimer} is to be called next. */
    public long nextTimerAtNanos(long now) {
        return Math.min(
                Math.min(list.nextTimerAtNanos(), config.nextTimerAtNanos()),
                avoidance.nextTimerAtNanos(now));
    }

    /** Runs the timers that are due; to be called at {@link #nextTimerAtNanos} or shortly after. */
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

    /** Returns the standing of the local list relative to those of the peers. */
    public Standing listStanding() {
        return list.standing();
    }

    /** Returns the standing of the local configuration relative to those of the peers. */
    public Standing configStanding() {
        return config.standing();
    }

    /** Returns the newest proven list revision; {@link Long#MIN_VALUE} if there is none. */
    public long newestListRevision() {
        return list.newestRevision();
    }

    /** Returns the newest proven configuration number; {@link Long#MIN_VALUE} if there is none. */
    public long newestConfigNumber() {
        return config.newestNumber();
    }

    /** Returns how long the local list has been behind, in nanoseconds; -1 if it is not. */
    public long behindForNanos(long now) {
        return list.behindForNanos(now);
    }

    /** Returns the caches that are avoided because of peers' reports. */
    public Set<Long> avoidedCaches() {
        return avoidance.avoidedCaches();
    }

    /** Returns the caches that are drained at enough peers but not at this balancer. */
    public Set<Long> drainedByPeers() {
        return avoidance.drainedByPeers();
    }

    /** Returns the kinds under whose current version this balancer serves worse than before. */
    public List<VersionKind> failingKinds() {
        return rolloutGuard.failingKinds();
    }

    /** Returns whether to use a peer's reports of shared state, such as counts and claims. */
    public PeerFreshness freshnessOf(long now, int rank) {
        PeerVersionState peer = fleet.peer(rank);
        if (fleet.isIsolated() || !peer.isKnownAlive()) {
            return PeerFreshness.UNKNOWN;
        }
        return peer.hasBeenOlderFor(now, settings.stalenessBoundNanos())
                ? PeerFreshness.PASSED_OVER
                : PeerFreshness.CURRENT;
    }

    /** Returns whether this balancer drains itself. */
    public boolean isSelfDraining() {
        return selfDrain.isDraining();
    }

    /** Returns the number of polls of the discovery service because the list was behind. */
    public long pollCount() {
        return list.pollCount();
    }
}
