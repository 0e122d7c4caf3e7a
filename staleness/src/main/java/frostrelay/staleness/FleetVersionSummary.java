package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/**
 * What one look over all others shows: in large tiers it is taken for each change of each of them,
 * so there is one pass.
 */
final class FleetVersionSummary {
    private int aliveCount;

    /** Somebody is alive of whom it is known what he acts on. */
    boolean hasKnownPeer;

    boolean hasListConflict;
    boolean hasConfigConflict;
    private long newestListRevision = Long.MIN_VALUE;
    private long secondNewestListRevision = Long.MIN_VALUE;
    private long newestConfigNumber = Long.MIN_VALUE;
    private long secondNewestConfigNumber = Long.MIN_VALUE;

    void update(PeerVersionState[] peers, int localRank, AppliedVersions localVersions) {
        aliveCount = 0;
        hasKnownPeer = false;
        hasListConflict = false;
        hasConfigConflict = false;
        newestListRevision = Long.MIN_VALUE;
        secondNewestListRevision = Long.MIN_VALUE;
        newestConfigNumber = Long.MIN_VALUE;
        secondNewestConfigNumber = Long.MIN_VALUE;
        for (int i = 0; i < peers.length; i++) {
            PeerVersionState peer = peers[i];
            if (i == localRank || peer.state != MemberState.ALIVE) {
                continue;
            }
            aliveCount++;
            if (peer.appliedVersions == null) {
                continue;
            }
            hasKnownPeer = true;
            hasListConflict |=
                    VersionOrder.compareLists(localVersions, peer.appliedVersions)
                            == VersionOrder.CONFLICT;
            hasConfigConflict |=
                    VersionOrder.compareConfigs(localVersions, peer.appliedVersions)
                            == VersionOrder.CONFLICT;
            long listRevision = peer.appliedVersions.listRevision();
            secondNewestListRevision =
                    Math.max(secondNewestListRevision, Math.min(newestListRevision, listRevision));
            newestListRevision = Math.max(newestListRevision, listRevision);
            long configNumber = peer.appliedVersions.configNumber();
            if (configNumber != AppliedVersions.NO_NUMBER) {
                secondNewestConfigNumber =
                        Math.max(
                                secondNewestConfigNumber,
                                Math.min(newestConfigNumber, configNumber));
                newestConfigNumber = Math.max(newestConfigNumber, configNumber);
            }
        }
    }

    /** So many have to say a thing to prove it. */
    int requiredReporters() {
        return aliveCount >= StalenessDetector.MIN_PEERS_FOR_CONFIRMATION ? 2 : 1;
    }

    /**
     * The newest version that so many act on as it takes to prove one; {@link Long#MIN_VALUE} where
     * none is.
     */
    long newestProven(VersionKind kind) {
        boolean needsTwo = requiredReporters() == 2;
        return kind == VersionKind.LIST
                ? needsTwo ? secondNewestListRevision : newestListRevision
                : needsTwo ? secondNewestConfigNumber : newestConfigNumber;
    }
}
