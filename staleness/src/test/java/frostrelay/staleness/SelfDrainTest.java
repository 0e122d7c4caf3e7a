package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;

import java.util.Set;

/** Tests of the operators' overrides of the self-drain. */
class SelfDrainTest extends StalenessDetectorFixture {
    @Test
    void keepInOverrideEndsSelfDrainOfStaleBalancer() {
        StalenessDetector detector = createDetector(3, 5);
        for (int peer : new int[] {0, 1, 2}) {
            detector.onPeerState(NANOS_PER_SECOND, peer, MemberState.ALIVE, listVersion(9), 1, 0);
        }
        runUntil(detector, 20 * NANOS_PER_SECOND);
        assertTrue(isSelfDraining);
        detector.onOverrides(
                21 * NANOS_PER_SECOND, new OperatorOverrides(Set.of(OperatorOverrides.KEEP_IN)));
        assertFalse(isSelfDraining);
        assertEquals(
                StalenessDetector.Standing.STRAGGLER,
                detector.listStanding(),
                "the override does not change the standing");
    }

    @Test
    void shutOutOverrideDrainsBalancerUntilRevoked() {
        StalenessDetector detector = createDetectorAmongFive();
        detector.onOverrides(
                2 * NANOS_PER_SECOND, new OperatorOverrides(Set.of(OperatorOverrides.SHUT_OUT)));
        assertTrue(
                isSelfDraining, "drains regardless of its rank and although its list is current");
        detector.onOverrides(3 * NANOS_PER_SECOND, OperatorOverrides.NONE);
        assertFalse(isSelfDraining);
    }
}
