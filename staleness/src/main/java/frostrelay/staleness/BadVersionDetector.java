package frostrelay.staleness;

import frostrelay.gossip.MemberState;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A detector of versions under which the peers that apply them fail, by crashing soon after the
 * change or by serving worse than before, while peers on an older version do not. Such a version is
 * not followed automatically. Once the evidence has persisted for the staleness bound, the decision
 * is kept until another version of the same kind is found bad or operators override it.
 */
final class BadVersionDetector {
    private final StalenessSettings settings;
    private final FleetVersions fleet;

    /** The peers that crashed or serve worse under a version, with the time of the last report. */
    private final Map<NumberedVersion, Map<Integer, Long>> failureReports = new HashMap<>();

    /** The time since which the evidence is sufficient; contrary reports may still arrive. */
    private final Map<NumberedVersion, Long> suspectSinceNanos = new HashMap<>();

    private final Set<NumberedVersion> badVersions = new HashSet<>();

    BadVersionDetector(StalenessSettings settings, FleetVersions fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /** Handles a peer's report on whether it serves worse since it applied a version. */
    void onVersionFailing(long now, int from, NumberedVersion version, boolean isFailing) {
        PeerVersionState peer = fleet.peer(from);
        if (!isFailing) {
            Map<Integer, Long> reports = failureReports.get(version);
            if (reports != null) {
                reports.remove(from);
            }
            return;
        }
        // Accepts only reports on the version that the peer applies, which bounds the table.
        if (peer.appliedVersions != null
                && version.kind().number(peer.appliedVersions) == version.number()) {
            recordFailure(now, from, version);
        }
    }

    /** Handles the end of a peer's process without a graceful leave. */
    void onPeerCrashed(long now, int rank) {
        PeerVersionState peer = fleet.peer(rank);
        if (peer.appliedVersions != null
                && peer.reportedAtNanos - peer.configSinceNanos <= settings.earlyExitNanos()) {
            long number = peer.appliedVersions.configNumber();
            recordFailure(now, rank, new NumberedVersion(VersionKind.CONFIG, number));
        }
    }

    private void recordFailure(long now, int rank, NumberedVersion version) {
        failureReports.computeIfAbsent(version, key -> new HashMap<>()).put(rank, now);
    }

    /**
     * Returns whether a version is bad by the evidence so far. Dead peers are included, as the
     * version may have caused their crash.
     *
     * @param isLocalFailing whether this balancer, on an older version, also serves worse
     */
    boolean isBad(long now, NumberedVersion version, boolean isLocalFailing) {
        removeExpired(now);
        if (badVersions.contains(version)) {
            return true;
        }
        boolean isHarmful = isHarmful(version, isLocalFailing);
        if (!isHarmful) {
            suspectSinceNanos.remove(version);
        } else if (now - suspectSinceNanos.computeIfAbsent(version, key -> now)
                >= settings.stalenessBoundNanos()) {
            badVersions.removeIf(other -> other.kind() == version.kind());
            badVersions.add(version);
            suspectSinceNanos.remove(version);
        }
        return isHarmful;
    }

    /** Returns whether half of the peers on it fail, and at most a quarter on older versions. */
    private boolean isHarmful(NumberedVersion version, boolean isLocalFailing) {
        int knownPeers = 0;
        int adopters = 0;
        int nonAdopters = 1;
        int failingAdopters = 0;
        int failingNonAdopters = isLocalFailing ? 1 : 0;
        for (int rank = 0; rank < fleet.count(); rank++) {
            PeerVersionState peer = fleet.peer(rank);
            if (rank == fleet.localRank() || peer.appliedVersions == null) {
                continue;
            }
            knownPeers++;
            long number = version.kind().number(peer.appliedVersions);
            if (number == version.number()) {
                adopters++;
                failingAdopters += isFailing(rank, version) ? 1 : 0;
            } else if (number < version.number() && peer.state == MemberState.ALIVE) {
                nonAdopters++;
                boolean isFailing = isFailing(rank, new NumberedVersion(version.kind(), number));
                failingNonAdopters += isFailing ? 1 : 0;
            }
        }
        int requiredFailures = knownPeers >= FleetVersions.MIN_PEERS_FOR_CONFIRMATION ? 2 : 1;
        return failingAdopters >= requiredFailures
                && 2 * failingAdopters >= adopters
                && 4 * failingNonAdopters <= nonAdopters;
    }

    private boolean isFailing(int rank, NumberedVersion version) {
        return failureReports.getOrDefault(version, Map.of()).containsKey(rank);
    }

    private void removeExpired(long now) {
        for (Map<Integer, Long> reports : failureReports.values()) {
            reports.values()
                    .removeIf(
                            reportedAtNanos ->
                                    now - reportedAtNanos > settings.attributionWindowNanos());
        }
        failureReports.values().removeIf(Map::isEmpty);
    }
}
