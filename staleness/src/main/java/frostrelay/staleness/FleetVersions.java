package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/**
 * The versions that this balancer and its peers apply, and a summary of them. The summary takes one
 * pass over the peers, as in large clusters it is updated for each change of each peer.
 */
final class FleetVersions {
    /** With so many peers alive, the report of a single one proves nothing. */
    static final int MIN_PEERS_FOR_CONFIRMATION = 3;

    private final int localRank;
    private final PeerVersionState[] peers;
    private AppliedVersions localVersions;
    private boolean isIsolated;
    private int aliveCount;
    private boolean hasKnownPeer;
    private boolean hasListConflict;
    private boolean hasConfigConflict;
    private long newestListRevision = Long.MIN_VALUE;
    private long secondNewestListRevision = Long.MIN_VALUE;
    private long newestConfigNumber = Long.MIN_VALUE;
    private long secondNewestConfigNumber = Long.MIN_VALUE;

    FleetVersions(int localRank, int count, AppliedVersions localVersions) {
        this.localRank = localRank;
        this.localVersions = localVersions;
        peers = new PeerVersionState[count];
        for (int i = 0; i < count; i++) {
            peers[i] = new PeerVersionState();
        }
    }

    /** The number of balancers, the local one included. */
    int count() {
        return peers.length;
    }

    int localRank() {
        return localRank;
    }

    AppliedVersions localVersions() {
        return localVersions;
    }

    void setLocalVersions(AppliedVersions versions) {
        localVersions = versions;
    }

    boolean isIsolated() {
        return isIsolated;
    }

    void setIsolated(boolean isolated) {
        isIsolated = isolated;
    }

    PeerVersionState peer(int rank) {
        return peers[rank];
    }

    /** Whether the versions of no peer are known, so that nothing can be compared. */
    boolean isBlind() {
        return isIsolated || !hasKnownPeer;
    }

    /**
     * Whether a peer applies the local list revision, or configuration number, with another
     * content.
     */
    boolean hasConflict(VersionKind kind) {
        return kind == VersionKind.LIST ? hasListConflict : hasConfigConflict;
    }

    /** How many peers must report a fact to prove it. */
    int requiredReporters() {
        return aliveCount >= MIN_PEERS_FOR_CONFIRMATION ? 2 : 1;
    }

    /**
     * The newest version that enough peers apply to prove it; {@link Long#MIN_VALUE} where there is
     * none.
     */
    long newestProven(VersionKind kind) {
        boolean needsTwo = requiredReporters() == 2;
        if (kind == VersionKind.LIST) {
            return needsTwo ? secondNewestListRevision : newestListRevision;
        }
        return needsTwo ? secondNewestConfigNumber : newestConfigNumber;
    }

    /** How many peers are alive and apply a list older than {@code revision}. */
    int countOlderLists(long revision) {
        int older = 0;
        for (int i = 0; i < peers.length; i++) {
            if (i != localRank
                    && peers[i].isKnownAlive()
                    && peers[i].appliedVersions.listRevision() < revision) {
                older++;
            }
        }
        return older;
    }

    /** How many peers are alive and apply a list at least as new as {@code revision}. */
    int countCurrentLists(long revision) {
        int current = 0;
        for (int i = 0; i < peers.length; i++) {
            if (i != localRank
                    && peers[i].isKnownAlive()
                    && peers[i].appliedVersions.listRevision() >= revision) {
                current++;
            }
        }
        return current;
    }

    /** Updates the summary after a change of any balancer's versions or state. */
    void summarize() {
        aliveCount = 0;
        hasKnownPeer = false;
        hasListConflict = false;
        hasConfigConflict = false;
        newestListRevision = Long.MIN_VALUE;
        secondNewestListRevision = Long.MIN_VALUE;
        newestConfigNumber = Long.MIN_VALUE;
        secondNewestConfigNumber = Long.MIN_VALUE;
        for (int i = 0; i < peers.length; i++) {
            if (i == localRank || peers[i].state != MemberState.ALIVE) {
                continue;
            }
            aliveCount++;
            if (peers[i].appliedVersions != null) {
                include(peers[i].appliedVersions);
            }
        }
    }

    private void include(AppliedVersions versions) {
        hasKnownPeer = true;
        hasListConflict |=
                VersionOrder.compareLists(localVersions, versions) == VersionOrder.CONFLICT;
        hasConfigConflict |=
                VersionOrder.compareConfigs(localVersions, versions) == VersionOrder.CONFLICT;
        long listRevision = versions.listRevision();
        secondNewestListRevision =
                Math.max(secondNewestListRevision, Math.min(newestListRevision, listRevision));
        newestListRevision = Math.max(newestListRevision, listRevision);
        long configNumber = versions.configNumber();
        if (configNumber != AppliedVersions.NO_NUMBER) {
            secondNewestConfigNumber =
                    Math.max(secondNewestConfigNumber, Math.min(newestConfigNumber, configNumber));
            newestConfigNumber = Math.max(newestConfigNumber, configNumber);
        }
    }
}
