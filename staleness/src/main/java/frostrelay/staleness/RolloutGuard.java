package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The decision which proven versions this balancer does not follow: those under which the peers
 * that apply them fail, unless operators override that. Also detects whether this balancer itself
 * fails under its versions, which is reported to its peers.
 */
final class RolloutGuard {
    private final BadVersionDetector badVersions;
    private final Map<VersionKind, VersionRegressionDetector> regressions =
            new EnumMap<>(VersionKind.class);
    private OperatorOverrides overrides = OperatorOverrides.NONE;

    RolloutGuard(StalenessSettings settings, FleetVersions fleet) {
        badVersions = new BadVersionDetector(settings, fleet);
        for (VersionKind kind : VersionKind.values()) {
            regressions.put(kind, new VersionRegressionDetector(settings, kind));
        }
    }

    void setOverrides(OperatorOverrides updated) {
        overrides = updated;
    }

    OperatorOverrides overrides() {
        return overrides;
    }

    /** Records a change of the versions that the local balancer applies. */
    void onLocalVersions(long now, AppliedVersions previous, AppliedVersions current) {
        for (VersionKind kind : VersionKind.values()) {
            if (kind.number(current) != kind.number(previous)) {
                regressions.get(kind).onVersionApplied(now);
            }
        }
    }

    /**
     * Evaluates the local balancer's request counts.
     *
     * @return whether {@link #failingKinds} has changed
     */
    boolean onServiceCounts(long now, long completed, long served) {
        boolean hasChanged = false;
        for (VersionRegressionDetector regression : regressions.values()) {
            boolean wasFailing = regression.isFailing();
            regression.onServiceCounts(now, completed, served);
            hasChanged |= regression.isFailing() != wasFailing;
        }
        return hasChanged;
    }

    void onPeerCrashed(long now, int rank) {
        badVersions.onPeerCrashed(now, rank);
    }

    void onVersionFailing(long now, int from, NumberedVersion version, boolean isFailing) {
        badVersions.onVersionFailing(now, from, version, isFailing);
    }

    boolean shouldNotFollow(long now, VersionKind kind, long number) {
        return badVersions.isBad(
                        now, new NumberedVersion(kind, number), regressions.get(kind).isFailing())
                && !overrides.isFollowed(kind, number);
    }

    List<VersionKind> failingKinds() {
        return regressions.entrySet().stream()
                .filter(entry -> entry.getValue().isFailing())
                .map(Map.Entry::getKey)
                .toList();
    }
}
