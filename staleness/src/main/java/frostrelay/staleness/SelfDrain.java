package frostrelay.staleness;

import frostrelay.staleness.StalenessDetector.Standing;

/**
 * The decision whether this balancer drains itself. It does so if operators request it, or if its
 * list is stale, at least half of the cluster is alive and current, and its rank may drain itself.
 * As these ranks are fixed, a partition cannot cause more balancers to drain at the same time.
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

    /** Starts or ends the drain after a change of the inputs. */
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
                && (isDraining || mayStartDraining());
    }

    private boolean mayStartDraining() {
        return maySelfDrain(fleet.localRank(), fleet.count(), settings.maxSelfDrainingFraction())
                && 2 * fleet.countCurrentLists(list.newestRevision()) >= fleet.count();
    }

    /**
     * Returns whether a rank may drain itself. With a fraction of a quarter, every fourth rank may;
     * in a cluster of one or two, none.
     */
    static boolean maySelfDrain(int rank, int count, double maxFraction) {
        int interval = (int) Math.round(1 / maxFraction);
        return count > 2 && rank % interval == interval - 1;
    }

    private String reason(long now, boolean isShutOut) {
        if (!isDraining) {
            return "no reason to drain any longer";
        }
        return isShutOut
                ? "operators set the override shut-out"
                : "local endpoint list has revision "
                        + fleet.localVersions().listRevision()
                        + ", newest proven revision is "
                        + list.newestRevision()
                        + ", behind for "
                        + list.behindForNanos(now) / NANOS_PER_MILLI
                        + " ms";
    }
}
