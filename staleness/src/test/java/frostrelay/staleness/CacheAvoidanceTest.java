package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;

import java.util.Set;

/** Which caches are avoided because of peers' reports, including wrong and reordered ones. */
class CacheAvoidanceTest extends StalenessDetectorFixture {
    /**
     * Regression: beside an admin drain and an older report, commands were sent to a cache that
     * three peers knew as draining.
     */
    @Test
    void localDrainsUseNoCapacityAndTheNewestReportGoesFirst() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(8), 1, 0);
            detector.onPeerAdminDrain(NANOS_PER_SECOND, peer, 0, 6);
            detector.onCacheUnavailable(NANOS_PER_SECOND, peer, 6, 1);
        }
        assertEquals(Set.of(1L, 6L), avoided, "one has admin drains, one is draining");
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 0, 8, 3);
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 1, 8, 3);
        assertEquals(Set.of(3L, 6L), avoided, "the newest report first");
        detector.onLocalAdminDrains(3 * NANOS_PER_SECOND, Set.of(6L));
        assertEquals(Set.of(1L, 3L), avoided, "what is drained here is out of use already");
        detector.onLocalAdminDrains(4 * NANOS_PER_SECOND, Set.of());
        assertEquals(Set.of(3L, 6L), avoided);
    }

    @Test
    void oneLiarProvesNoVersionAndItsReportsOnCachesSoonExpire() {
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
        assertTrue(avoided.size() <= 2, "a third of the caches at most");
        runUntil(detector, 8 * NANOS_PER_SECOND + NANOS_PER_MILLI);
        assertEquals(Set.of(), avoided, "a single report is believed for six seconds");
        for (int i = 9; i < 30; i++) {
            for (long cache : CACHES) {
                detector.onCacheUnavailable(i * NANOS_PER_SECOND, 2, Long.MAX_VALUE, cache);
            }
            assertEquals(Set.of(), avoided, "and not again when it is repeated");
        }
        runUntil(detector, 30 * NANOS_PER_SECOND);
        assertEquals(0, pollCount);
        assertFalse(isSelfDraining);
    }

    @Test
    void aLiarThatClaimsTheFarFutureKeepsNoTrueReportAlive() {
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
        assertEquals(
                Set.of(), avoided, "a single report has been believed for as long as it may be");
    }

    @Test
    void whatIsBackOrCaughtUpWithIsUsedAgain() {
        StalenessDetector detector = createDetector(0, 5);
        detector.onCacheUnavailable(NANOS_PER_SECOND, 1, 7, 2);
        detector.onCacheUnavailable(NANOS_PER_SECOND, 2, 7, 2);
        detector.onCacheUnavailable(NANOS_PER_SECOND, 1, 8, 3);
        assertEquals(Set.of(2L, 3L), avoided);
        detector.onCacheRestored(2 * NANOS_PER_SECOND, 2, 9, 3);
        assertEquals(Set.of(2L, 3L), avoided, "no peer is known to apply version 9");
        detector.onPeerState(2 * NANOS_PER_SECOND, 2, MemberState.ALIVE, listVersion(9), 1, 0);
        assertEquals(Set.of(2L), avoided);
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 1, 8, 3);
        detector.onCacheUnavailable(2 * NANOS_PER_SECOND, 2, 8, 3);
        assertEquals(Set.of(2L), avoided, "a report that was overtaken on its way");
        detector.onLocalVersions(3 * NANOS_PER_SECOND, listVersion(7), CACHES);
        assertEquals(Set.of(), avoided, "the local list of that revision names it as ready");
        detector.onCacheUnavailable(4 * NANOS_PER_SECOND, 1, 6, 2);
        assertEquals(Set.of(), avoided, "older than the local list");
    }

    @Test
    void adminDrainsOfTwoPeersAreFollowedAsLongAsTheirAppliedVersionsHaveThem() {
        StalenessDetector detector = createDetectorAmongFive();
        detector.onPeerAdminDrain(2 * NANOS_PER_SECOND, 1, 99, 4);
        detector.onPeerState(
                2 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(1, 99), 1, 0);
        assertEquals(Set.of(), avoided, "one balancer's admin drain is its own");
        detector.onPeerAdminDrain(3 * NANOS_PER_SECOND, 2, 99, 4);
        detector.onPeerState(
                3 * NANOS_PER_SECOND, 2, MemberState.ALIVE, configVersion(1, 99), 1, 0);
        assertEquals(Set.of(4L), avoided);
        runUntil(detector, 60 * NANOS_PER_SECOND);
        assertEquals(Set.of(4L), avoided, "it needs no renewal");
        detector.onIsolation(61 * NANOS_PER_SECOND, true);
        runUntil(detector, 80 * NANOS_PER_SECOND);
        assertEquals(Set.of(4L), avoided, "receiving nothing does not end a drain");
        runUntil(detector, 95 * NANOS_PER_SECOND);
        assertEquals(Set.of(), avoided, "nor does the drain last for ever");
        detector.onIsolation(96 * NANOS_PER_SECOND, false);
        for (long cache : CACHES) {
            detector.onPeerAdminDrain(97 * NANOS_PER_SECOND, 1, 77, cache);
            detector.onPeerAdminDrain(97 * NANOS_PER_SECOND, 2, 77, cache);
        }
        assertEquals(2, avoided.size(), "a third of the caches, whatever is reported");
        detector.onPeerState(
                100 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(1, 0), 1, 0);
        assertEquals(
                Set.of(), avoided, "its applied versions have another digest: the drain has ended");
    }
}
