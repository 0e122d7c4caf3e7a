package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.staleness.StalenessDetector.Standing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The standing of the local configuration relative to the peers' configurations, and the schedule
 * of actions while it is behind: first reread the file, then fetch the content from peers. A
 * configuration that is behind is never a reason to drain, because a staged rollout intentionally
 * leaves most of a cluster behind.
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

    /** Returns the newest proven number; {@link Long#MIN_VALUE} if there is none. */
    long newestNumber() {
        return newestNumber;
    }

    /** Records that a configuration was read and is invalid. */
    void onRejected(long number) {
        rejectedNumber = number;
    }

    /** Reevaluates the standing after a change or the expiry of a timer. */
    void update(long now) {
        newestNumber = fleet.newestProven(VersionKind.CONFIG);
        Standing previous = standing;
        standing = evaluate(now);
        if (standing != Standing.BEHIND && standing != Standing.STRAGGLER) {
            stopCatchingUp();
        } else if (behindSinceNanos == NEVER_NANOS) {
            behindSinceNanos = now;
            // Usually the reload signal for the file has not been received yet.
            rereadAtNanos = now + settings.probationNanos();
            fetchAtNanos = rereadAtNanos + 2 * settings.minPollIntervalNanos();
        }
        if (previous != standing) {
            notifyChange(previous);
        }
    }

    private Standing evaluate(long now) {
        long localNumber = fleet.localVersions().configNumber();
        if (fleet.hasNoPeerVersions()) {
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
                            + ": local configuration has number "
                            + fleet.localVersions().configNumber()
                            + ", newest number proven by peers is "
                            + newestNumber);
        }
        if (standing == Standing.STAYS_BEHIND) {
            actions.onVersionNotFollowed(
                    VersionKind.CONFIG, newestNumber, StalenessDetector.NOT_FOLLOWED_REASON);
        }
    }

    /** Returns the time of the next reread, fetch, or change of the standing by time. */
    long nextTimerAtNanos() {
        long nextNanos = Math.min(rereadAtNanos, fetchAtNanos);
        return behindSinceNanos != NEVER_NANOS && standing == Standing.BEHIND
                ? Math.min(nextNanos, behindSinceNanos + settings.stalenessBoundNanos())
                : nextNanos;
    }

    /** Rereads the file or fetches the content if that is due. */
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

    /** Fetches the content that most peers apply under the newest number, if enough peers do. */
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
        // If contents under this number differ, the most frequent one still needs enough reporters.
        if (!holders.isEmpty() && holders.size() >= fleet.requiredReporters()) {
            isFetching = true;
            actions.fetchConfig(digest, List.copyOf(holders));
        }
    }
}
