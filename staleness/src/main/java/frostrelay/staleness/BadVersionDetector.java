package frostrelay.staleness;

import frostrelay.gossip.MemberState;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether those that took a version fail under it: they end out of order soon behind it, or serve
 * worse than before, and those that stayed on an older one do not. Such a version is not followed
 * by itself; operators decide. Once it has stood for the bound a judgement stands until a later
 * version is out or operators say to follow: that costs nothing but that this balancer does not go
 * after it by itself.
 */
final class BadVersionDetector {
    /** A version of one kind. */
    record Version(VersionKind kind, long number) {}

    private final StalenessSettings settings;
    private final PeerVersionState[] peers;
    private final int localRank;

    /**
     * Who ended young under a version, or says that it serves worse under it, and when that was
     * last known.
     */
    private final Map<Version, Map<Integer, Long>> failureReports = new HashMap<>();

    /**
     * Since when the evidence is complete: what those say who stayed on the older one may be on its
     * way yet.
     */
    private final Map<Version, Long> suspectSinceNanos = new HashMap<>();

    private final Set<Version> badVersions = new HashSet<>();

    BadVersionDetector(StalenessSettings settings, PeerVersionState[] peers, int localRank) {
        this.settings = settings;
        this.peers = peers;
        this.localRank = localRank;
    }

    /**
     * A balancer says of itself, first hand, that it serves worse since it took a version, or does
     * no longer.
     */
    void onVersionFailing(long now, int from, VersionKind kind, long number, boolean isFailing) {
        PeerVersionState peer = peers[from];
        if (!isFailing) {
            failureReports.getOrDefault(new Version(kind, number), new HashMap<>()).remove(from);
            return;
        }
        // Only of what it acts on, and not of what cannot be: else one could fill the table.
        if (peer.appliedVersions != null && kind.number(peer.appliedVersions) == number) {
            recordFailure(now, from, new Version(kind, number));
        }
    }

    /**
     * A life has ended out of order: killed, crashed, or another one has begun without a farewell.
     */
    void onPeerCrashed(long now, int rank, PeerVersionState peer) {
        if (peer.appliedVersions != null
                && peer.reportedAtNanos - peer.configSinceNanos <= settings.earlyExitNanos()) {
            recordFailure(
                    now,
                    rank,
                    new Version(VersionKind.CONFIG, peer.appliedVersions.configNumber()));
        }
    }

    private void recordFailure(long now, int rank, Version version) {
        failureReports.computeIfAbsent(version, key -> new HashMap<>()).put(rank, now);
    }

    /**
     * Whether a version is bad, by what others have shown. The dead count among those who are
     * heard: they may have died of it. {@code isFailing}: this balancer, which stayed on an older
     * one, serves worse as well.
     */
    boolean isBad(long now, VersionKind kind, long number, boolean isLocalFailing) {
        removeExpired(now);
        Version version = new Version(kind, number);
        if (badVersions.contains(version)) {
            return true;
        }
        int knownPeers = 0;
        int adopters = 0;
        int nonAdopters = 1;
        int failingAdopters = 0;
        int failingNonAdopters = isLocalFailing ? 1 : 0;
        for (int i = 0; i < peers.length; i++) {
            if (i == localRank || peers[i].appliedVersions == null) {
                continue;
            }
            knownPeers++;
            long peerNumber = kind.number(peers[i].appliedVersions);
            boolean isPeerFailing =
                    failureReports
                            .getOrDefault(new Version(kind, peerNumber), Map.of())
                            .containsKey(i);
            if (peerNumber == number) {
                adopters++;
                failingAdopters += isPeerFailing ? 1 : 0;
            } else if (peerNumber < number && peers[i].state == MemberState.ALIVE) {
                nonAdopters++;
                failingNonAdopters += isPeerFailing ? 1 : 0;
            }
        }
        boolean isHarmful =
                failingAdopters
                                >= (knownPeers >= StalenessDetector.MIN_PEERS_FOR_CONFIRMATION
                                        ? 2
                                        : 1)
                        && 2 * failingAdopters >= adopters
                        && 4 * failingNonAdopters <= nonAdopters;
        if (!isHarmful) {
            suspectSinceNanos.remove(version);
        } else if (now - suspectSinceNanos.computeIfAbsent(version, key -> now)
                >= settings.stalenessBoundNanos()) {
            badVersions.removeIf(other -> other.kind == kind);
            badVersions.add(version);
            suspectSinceNanos.remove(version);
        }
        return isHarmful;
    }

    private void removeExpired(long now) {
        failureReports
                .values()
                .forEach(
                        reports ->
                                reports.values()
                                        .removeIf(
                                                reportedAtNanos ->
                                                        now - reportedAtNanos
                                                                > settings
                                                                        .attributionWindowNanos()));
        failureReports.values().removeIf(Map::isEmpty);
    }
}
