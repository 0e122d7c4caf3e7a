package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;

import java.util.Set;

/** Tests of the caches to avoid because of reports, including false and reordered reports. */
class CacheAvoidanceTest extends StalenessDetectorFixture {
    /**
     * Regression test: an administrative drain and an older report used up the limit of avoided
     * caches, and requests were sent to a cache that three peers reported as draining.
     */
    @Test
    void locallyDrainedCachesDoNotCountAndNewestReportHasPriority() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(8), 1, 0);
            detector.onPeerAdminDrain(NANOS_PER_SECOND, peer, 0, 6);
            detector.onCacheUnavailable(NANOS_PER_SECOND, peer, 6, 1);
        }
        assertEquals(
                Set.of(1L, 6L),
                avoided,
                "cache 6 is drained at peers, cache 1 is unavailable in their lists");
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 0, 8, 3);
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 1, 8, 3);
        assertEquals(Set.of(3L, 6L), avoided, "the report from the newest list has priority");
        detector.onLocalAdminDrains(3 * NANOS_PER_SECOND, Set.of(6L));
        assertEquals(
                Set.of(1L, 3L), avoided, "a locally drained cache does not count toward the limit");
        detector.onLocalAdminDrains(4 * NANOS_PER_SECOND, Set.of());
        assertEquals(Set.of(3L, 6L), avoided);
    }

    @Test
    void falseReportsOfSinglePeerProveNoVersionAndExpire() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(5), 1, 0);
        }
        detector.onPeerState(
                NANOS_PER_SECOND, 2, MemberState.ALIVE, listVersion(Long.MAX_VALUE), 1, 0);
        for (long cache : CACHES) {
            detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 2, Long.MAX_VALUE, cache);
        }
        assertEquals(StalenessDetector.Standing.CURRENT, detector.listStanding());
        assertTrue(avoided.size() <= 2, "at most a third of the caches is avoided");
        runUntil(detector, 8 * NANOS_PER_SECOND + NANOS_PER_MILLI);
        assertEquals(Set.of(), avoided, "a report of a single peer expires after 6 s");
        for (int i = 9; i < 30; i++) {
            for (long cache : CACHES) {
                detector.onCacheUnavailable(i * NANOS_PER_SECOND, 2, Long.MAX_VALUE, cache);
            }
            assertEquals(Set.of(), avoided, "a repeated report of a single peer has no effect");
        }
        runUntil(detector, 30 * NANOS_PER_SECOND);
        assertEquals(0, pollCount);
        assertFalse(isSelfDraining);
    }

    @Test
    void falseReportWithHighRevisionDoesNotPreserveOtherReports() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(7), 1, 0);
            detector.onCacheUnavailable(NANOS_PER_SECOND, peer, peer == 2 ? Long.MAX_VALUE : 7, 4);
        }
        assertEquals(Set.of(4L), avoided);
        runUntil(detector, 8 * NANOS_PER_SECOND);
        for (int peer : new int[] {0, 1}) {
            detector.onPeerState(
                    8 * NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(9), 1, 0);
            detector.onCacheRestored(8 * NANOS_PER_SECOND, peer, 9, 4);
        }
        assertEquals(Set.of(), avoided, "the lifetime of a single peer's report has ended");
    }

    @Test
    void cacheIsUsedAgainAfterRestorationOrWhenLocalListHasCaughtUp() {
        StalenessDetector detector = createDetector(0, 5);
        detector.onCacheUnavailable(NANOS_PER_SECOND, 1, 7, 2);
        detector.onCacheUnavailable(NANOS_PER_SECOND, 2, 7, 2);
        detector.onCacheUnavailable(NANOS_PER_SECOND, 1, 8, 3);
        assertEquals(Set.of(2L, 3L), avoided);
        detector.onCacheRestored(2 * NANOS_PER_SECOND, 2, 9, 3);
        assertEquals(Set.of(2L, 3L), avoided, "no peer is known to apply revision 9");
        detector.onPeerState(2 * NANOS_PER_SECOND, 2, MemberState.ALIVE, listVersion(9), 1, 0);
        assertEquals(Set.of(2L), avoided);
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 1, 8, 3);
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 2, 8, 3);
        assertEquals(
                Set.of(2L),
                avoided,
                "reordered reports from a list older than the restoration are ignored");
        detector.onLocalVersions(3 * NANOS_PER_SECOND, listVersion(7), CACHES);
        assertEquals(Set.of(), avoided, "the cache is ready in the local list of that revision");
        detector.onCacheUnavailable(4 * NANOS_PER_SECOND, 1, 6, 2);
        assertEquals(Set.of(), avoided, "the report is older than the local list");
    }

    @Test
    void adminDrainsOfTwoPeersApplyWhileTheirAppliedVersionsContainTheDigest() {
        StalenessDetector detector = createDetectorAmongFive();
        detector.onPeerAdminDrain(2 * NANOS_PER_SECOND, 1, 99, 4);
        detector.onPeerState(
                2 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(1, 99), 1, 0);
        assertEquals(
                Set.of(), avoided, "an administrative drain at one peer applies only to that peer");
        detector.onPeerAdminDrain(3 * NANOS_PER_SECOND, 2, 99, 4);
        detector.onPeerState(
                3 * NANOS_PER_SECOND, 2, MemberState.ALIVE, configVersion(1, 99), 1, 0);
        assertEquals(Set.of(4L), avoided);
        runUntil(detector, 60 * NANOS_PER_SECOND);
        assertEquals(Set.of(4L), avoided, "the drain persists without renewal");
        detector.onIsolation(61 * NANOS_PER_SECOND, true);
        runUntil(detector, 80 * NANOS_PER_SECOND);
        assertEquals(Set.of(4L), avoided, "isolation does not end the drain immediately");
        runUntil(detector, 95 * NANOS_PER_SECOND);
        assertEquals(Set.of(), avoided, "the drain expires during isolation");
        detector.onIsolation(96 * NANOS_PER_SECOND, false);
        for (long cache : CACHES) {
            detector.onPeerAdminDrain(97 * NANOS_PER_SECOND, 1, 77, cache);
            detector.onPeerAdminDrain(97 * NANOS_PER_SECOND, 2, 77, cache);
        }
        assertEquals(2, avoided.size(), "at most a third of the caches, although all are reported");
        detector.onPeerState(
                100 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(1, 0), 1, 0);
        assertEquals(Set.of(), avoided, "drains end when the applied versions have another digest");
    }
}
