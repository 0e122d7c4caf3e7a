package frostrelay.staleness;

import frostrelay.staleness.StalenessDetector.Standing;

import java.util.SplittableRandom;

/**
 * The standing of the local endpoint list relative to the peers' lists, and the schedule of polls
 * of the discovery service while the local list is behind. Polls back off and are spread over all
 * balancers that are behind.
 */
final class ListStaleness {
    private static final long NEVER_NANOS = StalenessDetector.NEVER_NANOS;

    private final StalenessSettings settings;
    private final FleetVersions fleet;
    private final RolloutGuard rolloutGuard;
    private final SplittableRandom random;
    private final StalenessDetector.Actions actions;
    private Standing standing = Standing.HEARS_NOTHING;
    private long newestRevision;
    private long behindSinceNanos = NEVER_NANOS;
    private long pollAtNanos = NEVER_NANOS;
    private long pollIntervalNanos;
    private long pollCount;

    ListStaleness(
            StalenessSettings settings,
            FleetVersions fleet,
            RolloutGuard rolloutGuard,
            long seed,
            StalenessDetector.Actions actions) {
        this.settings = settings;
        this.fleet = fleet;
        this.rolloutGuard = rolloutGuard;
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    Standing standing() {
        return standing;
    }

    /** Returns the newest proven revision; {@link Long#MIN_VALUE} if there is none. */
    long newestRevision() {
        return newestRevision;
    }

    /** Returns how long the local list has been behind, in nanoseconds; -1 if it is not. */
    long behindForNanos(long now) {
        return behindSinceNanos == NEVER_NANOS ? -1 : now - behindSinceNanos;
    }

    long pollCount() {
        return pollCount;
    }

    /** Reevaluates the standing after a change or the expiry of a timer. */
    void update(long now) {
        newestRevision = fleet.newestProven(VersionKind.LIST);
        Standing previous = standing;
        boolean isBehind = newestRevision > localRevision();
        if (fleet.hasNoPeerVersions()) {
            // Earlier reports of peers can be neither confirmed nor refuted, so the list is not
            // behind.
            standing = Standing.HEARS_NOTHING;
            stopPolling();
            behindSinceNanos = NEVER_NANOS;
        } else if (isBehind
                && rolloutGuard.shouldNotFollow(now, VersionKind.LIST, newestRevision)) {
            standing = Standing.STAYS_BEHIND;
            behindSinceNanos = behindSinceNanos == NEVER_NANOS ? now : behindSinceNanos;
            stopPolling();
        } else if (isBehind) {
            startPolling(now);
            standing = standingBehind(now - behindSinceNanos);
        } else {
            standing = fleet.hasConflict(VersionKind.LIST) ? Standing.CONFLICT : Standing.CURRENT;
            stopPolling();
            behindSinceNanos = NEVER_NANOS;
        }
        if (previous != standing) {
            notifyChange(previous);
        }
    }

    private long localRevision() {
        return fleet.localVersions().listRevision();
    }

    private Standing standingBehind(long lagNanos) {
        if (lagNanos >= settings.stalenessBoundNanos()) {
            return Standing.STRAGGLER;
        }
        return lagNanos >= settings.graceNanos() ? Standing.BEHIND : Standing.WAITING;
    }

    private void startPolling(long now) {
        if (behindSinceNanos == NEVER_NANOS || pollAtNanos == NEVER_NANOS) {
            behindSinceNanos = now;
            pollIntervalNanos = Math.max(settings.minPollIntervalNanos(), pollSpreadNanos());
            pollAtNanos =
                    now + settings.graceNanos() + random.nextLong(Math.max(1, pollSpreadNanos()));
        }
    }

    private void stopPolling() {
        pollAtNanos = NEVER_NANOS;
    }

    /**
     * Returns the time over which the polls of all balancers that are behind are spread, such that
     * their rate does not exceed that of the regular watches of all balancers.
     */
    private long pollSpreadNanos() {
        int behindCount = 1 + fleet.countOlderLists(newestRevision);
        return behindCount
                * Math.min(
                        settings.pollSpreadNanos(), settings.watchTimeoutNanos() / fleet.count());
    }

    private void notifyChange(Standing previous) {
        if (standing == Standing.STRAGGLER
                || previous == Standing.STRAGGLER
                || standing == Standing.CONFLICT) {
            actions.notifyOperators(
                    standing
                            + ": local endpoint list has revision "
                            + localRevision()
                            + ", newest revision proven by peers is "
                            + newestRevision);
        }
        if (standing == Standing.STAYS_BEHIND) {
            actions.onVersionNotFollowed(
                    VersionKind.LIST, newestRevision, StalenessDetector.NOT_FOLLOWED_REASON);
        }
    }

    /** Returns the time of the next poll or of the next change of the standing by time. */
    long nextTimerAtNanos() {
        if (behindSinceNanos == NEVER_NANOS
                || standing == Standing.STRAGGLER
                || standing == Standing.STAYS_BEHIND) {
            return pollAtNanos;
        }
        long standingLastsNanos =
                standing == Standing.WAITING
                        ? settings.graceNanos()
                        : settings.stalenessBoundNanos();
        return Math.min(pollAtNanos, behindSinceNanos + standingLastsNanos);
    }

    /** Polls the discovery service if a poll is due. */
    void pollIfDue(long now) {
        if (now < pollAtNanos) {
            return;
        }
        pollCount++;
        // Backs off until the list is current, so that a whole cluster does not overload the
        // service.
        pollIntervalNanos =
                Math.min(
                        Math.max(settings.maxPollIntervalNanos(), pollSpreadNanos()),
                        pollIntervalNanos * 2);
        pollAtNanos = now + pollIntervalNanos / 2 + random.nextLong(pollIntervalNanos / 2 + 1);
        actions.pollEndpointList();
    }
}
