package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/** What is known of one peer's versions. */
final class PeerVersionState {
    private static final long NEVER_NANOS = StalenessDetector.NEVER_NANOS;

    MemberState state = MemberState.UNKNOWN;

    /** What it was last known to apply; null where that is not known. */
    AppliedVersions appliedVersions;

    /** Since when its current process applies its configuration, as far as is known. */
    long configSinceNanos;

    /** When it last confirmed its versions itself. */
    long reportedAtNanos;

    /** Start of its process by its own wall clock; 0 where that is not known. */
    private long startUnixMillis;

    /** Since when it applies an older list than the local balancer does. */
    private long olderListSinceNanos = NEVER_NANOS;

    boolean isKnownAlive() {
        return state == MemberState.ALIVE && appliedVersions != null;
    }

    /** Whether a new state shows that the peer's process ended without leaving. */
    boolean isCrash(MemberState newState, long newStartUnixMillis) {
        boolean hadEnded = state == MemberState.LEFT || state == MemberState.GONE;
        return !hadEnded && (hasRestarted(newStartUnixMillis) || newState == MemberState.GONE);
    }

    private boolean hasRestarted(long newStartUnixMillis) {
        return newStartUnixMillis != startUnixMillis && startUnixMillis != 0;
    }

    /** Takes over a new state; see {@link StalenessDetector#onPeerState}. */
    void update(
            long now,
            MemberState newState,
            AppliedVersions versions,
            long newStartUnixMillis,
            long ageNanos) {
        boolean hasRestarted = hasRestarted(newStartUnixMillis);
        if (versions != null
                && (hasRestarted
                        || appliedVersions == null
                        || appliedVersions.configNumber() != versions.configNumber())) {
            configSinceNanos = now - Math.max(0, ageNanos);
        }
        state = newState;
        startUnixMillis = newStartUnixMillis;
        if (versions != null || hasRestarted) {
            appliedVersions = versions;
        }
        if (ageNanos >= 0) {
            reportedAtNanos = Math.max(reportedAtNanos, now - ageNanos);
        }
    }

    /** Compares its list with the local one after a change of either. */
    void updateOlderSince(long now, AppliedVersions localVersions) {
        boolean isOlder =
                appliedVersions != null
                        && appliedVersions.listRevision() < localVersions.listRevision();
        olderListSinceNanos = isOlder ? Math.min(olderListSinceNanos, now) : NEVER_NANOS;
    }

    boolean hasBeenOlderFor(long now, long nanos) {
        return olderListSinceNanos != NEVER_NANOS && now - olderListSinceNanos >= nanos;
    }
}
