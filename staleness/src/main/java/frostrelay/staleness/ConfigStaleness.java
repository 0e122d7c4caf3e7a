package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.staleness.StalenessDetector.Standing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How the local configuration stands to the peers' configurations, and what to do while it is
 * behind: read the file again, then fetch the content from peers. Being behind is never a reason to
 * drain, as a rollout in steps leaves most of a cluster behind on purpose.
 */
final class ConfigStaleness {
    private static final long NEVER_NANOS = StalenessDetector.NEVER_NANOS;

    private final StalenessSettings settings;
    private final FleetVersions fleet;
    private final RolloutGuard rolloutGuard;
    private final StalenessDetector.Actions actions;
    private Standing standing = Standing.HEARS_NOTHING;
    private long newestNumber = Long.MIN_VALUE;
    private long rejectedNumber = Long.MIN_VALUE;
    private long behindSinceNanos = NEVER_NANOS;
    private long rereadAtNanos = NEVER_NANOS;
    private long fetchAtNanos = NEVER_NANOS;
    private boolean isFetching;

    ConfigStaleness(
            StalenessSettings settings,
            FleetVersions fleet,
            RolloutGuard rolloutGuard,
            StalenessDetector.Actions actions) {
        this.settings = settings;
        this.fleet = fleet;
        this.rolloutGuard = rolloutGuard;
        this.actions = actions;
    }

    Standing standing() {
        return standing;
    }

    /** The newest proven number, {@link Long#MIN_VALUE} where there is none. */
    long newestNumber() {
        return newestNumber;
    }

    /** Records that a configuration was read and is invalid. */
    void onRejected(long number) {
        rejectedNumber = number;
    }

    /** Evaluates the standing after a change, or after time has passed. */
    void update(long now) {
        newestNumber = fleet.newestProven(VersionKind.CONFIG);
        Standing previous = standing;
        standing = evaluate(now);
        if (standing != Standing.BEHIND && standing != Standing.STRAGGLER) {
            stopCatchingUp();
        } else if (behindSinceNanos == NEVER_NANOS) {
            behindSinceNanos = now;
            // Usually the signal to read the file is still to come.
            rereadAtNanos = now + settings.probationNanos();
            fetchAtNanos = rereadAtNanos + 2 * settings.minPollIntervalNanos();
        }
        if (previous != standing) {
            notifyChange(previous);
        }
    }

    private Standing evaluate(long now) {
        long localNumber = fleet.localVersions().configNumber();
        if (fleet.isBlind()) {
            return Standing.HEARS_NOTHING;
        }
        if (localNumber == AppliedVersions.NO_NUMBER || newestNumber <= localNumber) {
            return fleet.hasConflict(VersionKind.CONFIG) ? Standing.CONFLICT : Standing.CURRENT;
        }
        if (rejectedNumber == newestNumber) {
            return Standing.REFUSED;
        }
        if (rolloutGuard.shouldNotFollow(now, VersionKind.CONFIG, newestNumber)) {
            return Standing.STAYS_BEHIND;
        }
        return behindSinceNanos != NEVER_NANOS
                        && now - behindSinceNanos >= settings.stalenessBoundNanos()
                ? Standing.STRAGGLER
                : Standing.BEHIND;
    }

    private void stopCatchingUp() {
        behindSinceNanos = NEVER_NANOS;
        rereadAtNanos = NEVER_NANOS;
        fetchAtNanos = NEVER_NANOS;
        if (isFetching) {
            isFetching = false;
            actions.fetchConfig(0, List.of());
        }
    }

    private void notifyChange(Standing previous) {
        if (standing == Standing.STRAGGLER
                || standing == Standing.REFUSED
                || standing == Standing.CONFLICT
                || previous == Standing.STRAGGLER) {
            actions.notifyOperators(
                    standing
                            + " on configuration "
                            + fleet.localVersions().configNumber()
                            + ", peers apply "
                            + newestNumber);
        }
        if (standing == Standing.STAYS_BEHIND) {
            actions.onVersionNotFollowed(
                    VersionKind.CONFIG, newestNumber, StalenessDetector.NOT_FOLLOWED_REASON);
        }
    }

    /** When the file is to be read, the content to be fetched, or the standing changes by time. */
    long nextTimerAtNanos() {
        long nextNanos = Math.min(rereadAtNanos, fetchAtNanos);
        return behindSinceNanos != NEVER_NANOS && standing == Standing.BEHIND
                ? Math.min(nextNanos, behindSinceNanos + settings.stalenessBoundNanos())
                : nextNanos;
    }

    /** Reads the file again, or fetches the content, if that is due. */
    void catchUpIfDue(long now) {
        if (now >= rereadAtNanos) {
            rereadAtNanos = now + settings.maxPollIntervalNanos();
            actions.rereadConfig();
        }
        if (now >= fetchAtNanos) {
            fetchAtNanos = now + settings.maxPollIntervalNanos();
            fetchNewest();
        }
    }

    /** Fetches the content that most peers apply under the newest number, if they prove it. */
    private void fetchNewest() {
        Map<Long, List<Integer>> holdersByDigest = new HashMap<>();
        for (int rank = 0; rank < fleet.count(); rank++) {
            PeerVersionState peer = fleet.peer(rank);
            if (rank != fleet.localRank()
                    && peer.isKnownAlive()
                    && peer.appliedVersions.configNumber() == newestNumber) {
                holdersByDigest
                        .computeIfAbsent(
                                peer.appliedVersions.configDigest(), digest -> new ArrayList<>())
                        .add(rank);
            }
        }
        long digest = 0;
        List<Integer> holders = List.of();
        for (Map.Entry<Long, List<Integer>> candidate : holdersByDigest.entrySet()) {
            int sizeDifference = candidate.getValue().size() - holders.size();
            if (sizeDifference > 0 || sizeDifference == 0 && candidate.getKey() > digest) {
                digest = candidate.getKey();
                holders = candidate.getValue();
            }
        }
        // With two contents under one number, the more frequent one needs its own proof.
        if (!holders.isEmpty() && holders.size() >= fleet.requiredReporters()) {
            isFetching = true;
            actions.fetchConfig(digest, List.copyOf(holders));
        }
    }
}
