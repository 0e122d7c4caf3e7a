package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/** What is known of another balancer. For {@link StalenessDetector} alone. */
final class PeerVersionState {
    MemberState state = MemberState.UNKNOWN;

    /** What it was last known to act on, or null. */
    AppliedVersions appliedVersions;

    /** The life that it is in: its start in Unix milliseconds as it saw it. */
    long startUnixMillis;

    /** Since when it acts on that configuration in this life, as far as was heard. */
    long configSinceNanos;

    /** When it was last known to say so itself. */
    long reportedAtNanos;

    /**
     * Since when it acts on an older list than this balancer does, {@link Long#MAX_VALUE} if it
     * does not.
     */
    long olderListSinceNanos = Long.MAX_VALUE;

    boolean isKnownAlive() {
        return state == MemberState.ALIVE && appliedVersions != null;
    }
}
