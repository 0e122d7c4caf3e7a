package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/** The known state and versions of one peer. */
final class PeerVersionState {
    private static final long NEVER_NANOS = StalenessDetector.NEVER_NANOS;

    MemberState state = MemberState.UNKNOWN;

    /** The versions that the peer was last known to apply; null if they are not known. */
    AppliedVersions appliedVersions;

    /** The time since which its current process is known to apply its configuration. */
    long configSinceNanos;

    /** The time at which the peer itself last confirmed its versions. */
    long reportedAtNanos;

    /** Start of the peer's process by its own wall clock; 0 if it is not known. */
    private long startUnixMillis;

    /** The time since which the peer applies an older list than the local balancer. */
    private long olderListSinceNanos = NEVER_NANOS;

    boolean isKnownAlive() {
        return state == MemberState.ALIVE && appliedVersions != null;
    }

    /** Returns whether a new state shows that the peer's process ended without a graceful leave. */
    boolean isCrash(MemberState newState, long newStartUnixMillis) {
        boolean hadEnded = state == MemberState.LEFT || state == MemberState.GONE;
        return !hadEnded && (hasRestarted(newStartUnixMillis) || newState == MemberState.GONE);
    }

    private boolean hasRestarted(long newStartUnixMillis) {
        return newStartUnixMillis != startUnixMillis && startUnixMillis != 0;
    }

    /** Applies a new state; see {@link StalenessDetector#onPeerState}. */
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

    /** Compares the peer's list with the local one after a change of either. */
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
