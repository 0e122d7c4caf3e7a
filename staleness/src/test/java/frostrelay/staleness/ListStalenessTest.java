package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;

/** Tests of the standing of the local endpoint list and the polls of the discovery service. */
class ListStalenessTest extends StalenessDetectorFixture {
    @Test
    void newerListIsPolledWithBackoffAndBalancerDrainsItselfWhenThatFails() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(9), 1, 0);
        }
        assertEquals(
                StalenessDetector.Standing.WAITING,
                detector.listStanding(),
                "the regular notification may still arrive");
        runUntil(detector, NANOS_PER_SECOND + 3 * NANOS_PER_SECOND);
        assertEquals(StalenessDetector.Standing.BEHIND, detector.listStanding());
        assertTrue(pollCount >= 1 && pollCount <= 4, pollCount + " polls in 3 s");
        assertFalse(isSelfDraining);
        runUntil(detector, NANOS_PER_SECOND + 7 * NANOS_PER_SECOND);
        assertEquals(StalenessDetector.Standing.STRAGGLER, detector.listStanding());
        assertTrue(isSelfDraining);
        runUntil(detector, NANOS_PER_SECOND + 60 * NANOS_PER_SECOND);
        assertTrue(
                pollCount < 15,
                "polls back off while the list is stale; polls so far: " + pollCount);
        detector.onLocalVersions(70 * NANOS_PER_SECOND, listVersion(9), CACHES);
        assertEquals(StalenessDetector.Standing.CURRENT, detector.listStanding());
        assertFalse(isSelfDraining, "the self-drain ends when the list is current");
    }

    @Test
    void isolatedBalancerIsNeitherCurrentNorBehindAndDoesNotDrain() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(9), 1, 0);
        }
        runUntil(detector, 20 * NANOS_PER_SECOND);
        assertTrue(isSelfDraining);
        detector.onIsolation(21 * NANOS_PER_SECOND, true);
        assertEquals(StalenessDetector.Standing.HEARS_NOTHING, detector.listStanding());
        assertFalse(isSelfDraining, "isolation is no reason to drain");
    }
}
