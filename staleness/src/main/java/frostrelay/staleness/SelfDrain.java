package frostrelay.staleness;

import frostrelay.staleness.StalenessDetector.Standing;

/**
 * Decides whether this balancer drains itself: because shut out by operators, or because its list
 * is stale, at least half of the cluster is alive and current, and its rank is one of the few that
 * may drain themselves. As the ranks are fixed, no partition can drain more balancers at once.
 */
final class SelfDrain {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final StalenessSettings settings;
    private final FleetVersions fleet;
    private final RolloutGuard rolloutGuard;
    private final ListStaleness list;
    private final StalenessDetector.Actions actions;
    private boolean isDraining;

    SelfDrain(
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
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Starts or ends the drain after a change. */
    void update(long now) {
        boolean isShutOut = rolloutGuard.overrides().isShutOut();
        boolean shouldDrain = isStale() || isShutOut;
        if (shouldDrain != isDraining) {
            isDraining = shouldDrain;
            actions.setSelfDraining(shouldDrain, reason(now, isShutOut));
        }
    }

    private boolean isStale() {
        return list.standing() == Standing.STRAGGLER
                && !rolloutGuard.overrides().isKeptIn()
                && (isDraining || mayStart());
    }

    private boolean mayStart() {
        return maySelfDrain(fleet.localRank(), fleet.count(), settings.maxSelfDrainingFraction())
                && 2 * fleet.countCurrentLists(list.newestRevision()) >= fleet.count();
    }

    /**
     * Whether a rank may drain itself: with a fraction of a quarter every fourth rank, and none in
     * a cluster of two.
     */
    static boolean maySelfDrain(int rank, int count, double maxFraction) {
        int interval = (int) Math.round(1 / maxFraction);
        return count > 2 && rank % interval == interval - 1;
    }

    private String reason(long now, boolean isShutOut) {
        if (!isDraining) {
            return "not stale any more";
        }
        return isShutOut
                ? "operators shut it out"
                : "behind list "
                        + list.newestRevision()
                        + " with "
                        + fleet.localVersions().listRevision()
                        + " for "
                        + list.behindForNanos(now) / NANOS_PER_MILLI
                        + " ms";
    }
}
