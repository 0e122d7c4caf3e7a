package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;

/** Tests of the decision not to follow a version, and of the reports about failing versions. */
class RolloutGuardTest extends StalenessDetectorFixture {
    @Test
    void versionUnderWhichPeersFailIsNotFollowedUntilOverridden() {
        StalenessDetector detector = createDetectorAmongFive();
        for (int peer : new int[] {1, 2}) {
            detector.onPeerState(
                    2 * NANOS_PER_SECOND, peer, MemberState.ALIVE, configVersion(2, 0), 1, 0);
            detector.onVersionFailing(2 * NANOS_PER_SECOND, peer, VersionKind.CONFIG, 2, true);
        }
        assertEquals(StalenessDetector.Standing.STAYS_BEHIND, detector.configStanding());
        assertEquals(List.of("CONFIG 2"), versionsNotFollowed);
        runUntil(detector, 30 * NANOS_PER_SECOND);
        assertEquals(0, rereadCount);
        detector.onOverrides(
                31 * NANOS_PER_SECOND,
                new OperatorOverrides(
                        Set.of(OperatorOverrides.followDirective(VersionKind.CONFIG, 2))));
        assertEquals(StalenessDetector.Standing.BEHIND, detector.configStanding());
        runUntil(detector, 38 * NANOS_PER_SECOND);
        assertEquals(1, rereadCount);
    }

    @Test
    void crashesCountAgainstVersionButLeavesAndSharedFaultsDoNot() {
        StalenessDetector detector = createDetectorAmongFive();
        detector.onPeerState(2 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(2, 0), 1, 0);
        detector.onPeerState(2 * NANOS_PER_SECOND, 2, MemberState.ALIVE, configVersion(2, 0), 1, 0);
        detector.onPeerState(3 * NANOS_PER_SECOND, 1, MemberState.LEFT, configVersion(2, 0), 1, 0);
        detector.onPeerState(
                4 * NANOS_PER_SECOND,
                2,
                MemberState.GONE,
                configVersion(2, 0),
                1,
                NANOS_PER_SECOND);
        detector.onPeerState(5 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(2, 0), 2, 0);
        detector.onPeerState(5 * NANOS_PER_SECOND, 2, MemberState.ALIVE, configVersion(2, 0), 2, 0);
        assertEquals(
                StalenessDetector.Standing.BEHIND,
                detector.configStanding(),
                "one of the two peers left gracefully");
        detector.onPeerState(6 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(2, 0), 3, 0);
        assertEquals(
                StalenessDetector.Standing.STAYS_BEHIND,
                detector.configStanding(),
                "both peers have crashed");
        // A fault that also affects balancers on the old version does not count against the new
        // one.
        versionsNotFollowed.clear();
        StalenessDetector otherDetector = createDetectorAmongFive();
        for (int peer = 1; peer < 5; peer++) {
            otherDetector.onPeerState(
                    2 * NANOS_PER_SECOND,
                    peer,
                    MemberState.ALIVE,
                    configVersion(peer < 3 ? 2 : 1, 0),
                    1,
                    0);
            otherDetector.onVersionFailing(
                    2 * NANOS_PER_SECOND, peer, VersionKind.CONFIG, peer < 3 ? 2 : 1, true);
        }
        assertEquals(StalenessDetector.Standing.BEHIND, otherDetector.configStanding());
    }

    @Test
    void versionIsReportedAsFailingOnlyIfServiceIsWorseThanBefore() {
        StalenessDetector detector = createDetectorAmongFive();
        long completed = 0;
        long served = 0;
        for (int second = 2; second < 15; second++) {
            detector.onServiceCounts(second * NANOS_PER_SECOND, completed += 40, served += 38);
        }
        detector.onLocalVersions(15 * NANOS_PER_SECOND, configVersion(2, 0), CACHES);
        detector.onServiceCounts(16 * NANOS_PER_SECOND, completed += 40, served += 20);
        assertEquals(List.of(), detector.failingKinds(), "a single failing second may be a burst");
        detector.onServiceCounts(17 * NANOS_PER_SECOND, completed += 40, served += 20);
        assertEquals(List.of(VersionKind.CONFIG), detector.failingKinds());
        assertEquals(1, announcementCount);
        for (int second = 18; second < 24; second++) {
            detector.onServiceCounts(second * NANOS_PER_SECOND, completed += 40, served += 39);
        }
        assertEquals(List.of(), detector.failingKinds());
        for (int second = 24; second < 100; second++) {
            detector.onServiceCounts(second * NANOS_PER_SECOND, completed += 40, served += 20);
        }
        detector.onLocalVersions(100 * NANOS_PER_SECOND, configVersion(3, 0), CACHES);
        detector.onServiceCounts(101 * NANOS_PER_SECOND, completed += 40, served += 20);
        detector.onServiceCounts(102 * NANOS_PER_SECOND, completed += 40, served += 20);
        detector.onServiceCounts(103 * NANOS_PER_SECOND, completed += 40, served += 20);
        assertEquals(List.of(), detector.failingKinds(), "the success ratio has not decreased");
        detector.onLocalVersions(
                110 * NANOS_PER_SECOND, new AppliedVersions(1, 3, 21, 6, 1, 0, 0), CACHES);
        for (int second = 111; second < 120; second++) {
            detector.onServiceCounts(second * NANOS_PER_SECOND, completed += 40, served += 15);
        }
        assertEquals(
                List.of(),
                detector.failingKinds(),
                "a list under which some requests are served is not failing");
        for (int second = 120; second < 126; second++) {
            detector.onServiceCounts(second * NANOS_PER_SECOND, completed += 40, served += 1);
        }
        assertTrue(
                detector.failingKinds().contains(VersionKind.LIST),
                "a list under which nearly all requests fail is failing");
    }
}
