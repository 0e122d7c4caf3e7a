package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

/**
 * The versions that this balancer and its peers apply, and a summary of them. The summary is
 * computed in one pass over the peers, because it is updated for each change of each peer, also in
 * large clusters.
 */
final class FleetVersions {
    /** Number of peers alive from which on a fact needs two reporters as proof. */
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

    /** Returns the number of balancers, including the local one. */
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

    /** Returns whether this balancer is isolated or knows no peer's versions to compare with. */
    boolean hasNoPeerVersions() {
        return isIsolated || !hasKnownPeer;
    }

    /**
     * Returns whether a peer applies different content under the local list revision or
     * configuration number.
     */
    boolean hasConflict(VersionKind kind) {
        return kind == VersionKind.LIST ? hasListConflict : hasConfigConflict;
    }

    /** Returns the number of peers that must report a fact to prove it. */
    int requiredReporters() {
        return aliveCount >= MIN_PEERS_FOR_CONFIRMATION ? 2 : 1;
    }

    /**
     * Returns the newest version that enough peers apply to prove it; {@link Long#MIN_VALUE} if
     * there is none.
     */
    long newestProven(VersionKind kind) {
        boolean needsTwo = requiredReporters() == 2;
        if (kind == VersionKind.LIST) {
            return needsTwo ? secondNewestListRevision : newestListRevision;
        }
        return needsTwo ? secondNewestConfigNumber : newestConfigNumber;
    }

    /** Returns the number of peers alive that apply a list older than {@code revision}. */
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

    /** Returns the number of peers alive that apply {@code revision} of the list or a newer one. */
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
