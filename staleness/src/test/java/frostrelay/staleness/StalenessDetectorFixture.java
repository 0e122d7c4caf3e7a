package frostrelay.staleness;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A fixture that records the decisions of a detector and creates versions as input. */
abstract class StalenessDetectorFixture implements StalenessDetector.Actions {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    static final Set<Long> CACHES = Set.of(1L, 2L, 3L, 4L, 5L, 6L);

    Set<Long> avoided = Set.of();
    boolean isSelfDraining;
    int pollCount;
    int rereadCount;
    long fetchedDigest;
    int announcementCount;
    final List<String> versionsNotFollowed = new ArrayList<>();
    final List<String> notifications = new ArrayList<>();

    @Override
    public void pollEndpointList() {
        pollCount++;
    }

    @Override
    public void rereadConfig() {
        rereadCount++;
    }

    @Override
    public void avoidCaches(Set<Long> caches) {
        avoided = caches;
    }

    @Override
    public void setSelfDraining(boolean isDraining, String reason) {
        isSelfDraining = isDraining;
    }

    @Override
    public void fetchConfig(long digest, List<Integer> holders) {
        fetchedDigest = digest;
    }

    @Override
    public void announceFailingVersions() {
        announcementCount++;
    }

    @Override
    public void onVersionNotFollowed(VersionKind kind, long number, String reason) {
        versionsNotFollowed.add(kind + " " + number);
    }

    @Override
    public void notifyOperators(String message) {
        notifications.add(message);
    }

    static AppliedVersions listVersion(long revision) {
        return new AppliedVersions(1, 1, 1, revision, revision * 31, 0, 0);
    }

    StalenessDetector createDetector(int localRank, int clusterSize) {
        StalenessDetector detector =
                new StalenessDetector(
                        StalenessSettings.STANDARD,
                        localRank,
                        clusterSize,
                        1,
                        listVersion(5),
                        this);
        detector.onLocalVersions(0, listVersion(5), CACHES);
        return detector;
    }

    /** Runs the detector's timers up to a time. */
    static void runUntil(StalenessDetector detector, long untilNanos) {
        for (long now = 0, next = detector.nextTimerAtNanos(now);
                next <= untilNanos;
                next = detector.nextTimerAtNanos(now)) {
            now = next;
            detector.onTimer(next);
        }
    }

    static AppliedVersions configVersion(long number, long drainsDigest) {
        return new AppliedVersions(1, number, number * 7, 5, 5 * 31, drainsDigest, 0);
    }

    StalenessDetector createDetectorAmongFive() {
        StalenessDetector detector = createDetector(0, 5);
        for (int peer = 1; peer < 5; peer++) {
            detector.onPeerState(
                    NANOS_PER_SECOND, peer, MemberState.ALIVE, configVersion(1, 0), 1, 0);
        }
        return detector;
    }
}
