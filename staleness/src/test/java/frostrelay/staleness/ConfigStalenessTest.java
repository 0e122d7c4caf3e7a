package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;

/** Tests of the standing of the local configuration and the actions while it is behind. */
class ConfigStalenessTest extends StalenessDetectorFixture {
    @Test
    void newerConfigurationOfTwoPeersCausesPeriodicRereads() {
        StalenessDetector detector = createDetector(0, 5);
        AppliedVersions newerConfig = new AppliedVersions(1, 2, 8, 5, 5 * 31, 0, 0);
        detector.onPeerState(NANOS_PER_SECOND, 1, MemberState.ALIVE, newerConfig, 1, 0);
        detector.onPeerState(NANOS_PER_SECOND, 2, MemberState.ALIVE, listVersion(5), 1, 0);
        detector.onPeerState(NANOS_PER_SECOND, 3, MemberState.ALIVE, listVersion(5), 1, 0);
        runUntil(detector, 5 * NANOS_PER_SECOND);
        assertEquals(0, rereadCount, "with three peers alive, a single one is no proof");
        detector.onPeerState(5 * NANOS_PER_SECOND, 2, MemberState.ALIVE, newerConfig, 1, 0);
        runUntil(detector, 9 * NANOS_PER_SECOND);
        assertEquals(0, rereadCount, "the probation has not ended");
        runUntil(detector, 32 * NANOS_PER_SECOND);
        assertEquals(3, rereadCount);
        detector.onLocalVersions(33 * NANOS_PER_SECOND, newerConfig, CACHES);
        runUntil(detector, 60 * NANOS_PER_SECOND);
        assertEquals(3, rereadCount);
    }

    @Test
    void configurationIsFetchedFromPeersUnlessItWasRejected() {
        StalenessDetector detector = createDetectorAmongFive();
        detector.onPeerState(2 * NANOS_PER_SECOND, 1, MemberState.ALIVE, configVersion(2, 0), 1, 0);
        detector.onPeerState(2 * NANOS_PER_SECOND, 2, MemberState.ALIVE, configVersion(2, 0), 1, 0);
        runUntil(detector, 11 * NANOS_PER_SECOND);
        assertEquals(14, fetchedDigest, "digest of the configuration");
        assertEquals(StalenessDetector.Standing.STRAGGLER, detector.configStanding());
        assertFalse(
                isSelfDraining, "a staged rollout intentionally leaves most of a cluster behind");
        detector.onConfigRejected(12 * NANOS_PER_SECOND, 2);
        assertEquals(StalenessDetector.Standing.REFUSED, detector.configStanding());
        assertEquals(0, fetchedDigest, "an invalid configuration is not fetched");
    }
}
