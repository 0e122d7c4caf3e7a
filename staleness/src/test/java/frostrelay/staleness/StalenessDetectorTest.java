package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.gossip.MemberState;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Tests of the whole detector, including its invariants under arbitrary reports. */
class StalenessDetectorTest extends StalenessDetectorFixture {
    @Test
    void stalePeerIsPassedOverUntilCurrentAndUnresponsivePeerIsUnknown() {
        StalenessDetector detector = createDetectorAmongFive();
        detector.onLocalVersions(2 * NANOS_PER_SECOND, listVersion(9), CACHES);
        assertEquals(PeerFreshness.CURRENT, detector.freshnessOf(7 * NANOS_PER_SECOND, 1));
        assertEquals(PeerFreshness.PASSED_OVER, detector.freshnessOf(9 * NANOS_PER_SECOND, 1));
        detector.onPeerState(10 * NANOS_PER_SECOND, 1, MemberState.ALIVE, listVersion(9), 1, 0);
        assertEquals(PeerFreshness.CURRENT, detector.freshnessOf(10 * NANOS_PER_SECOND, 1));
        detector.onPeerState(11 * NANOS_PER_SECOND, 1, MemberState.GONE, listVersion(9), 1, 0);
        assertEquals(PeerFreshness.UNKNOWN, detector.freshnessOf(11 * NANOS_PER_SECOND, 1));
        detector.onIsolation(12 * NANOS_PER_SECOND, true);
        assertEquals(PeerFreshness.UNKNOWN, detector.freshnessOf(12 * NANOS_PER_SECOND, 2));
    }

    /**
     * For arbitrary sequences of reports: at most a third of the caches is avoided, only caches of
     * the local list are avoided, and only the permitted ranks drain themselves.
     */
    @Property(tries = 300)
    void limitsHoldForArbitraryReports(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 16) int clusterSize) {
        // jqwik uses the same instance of this class for all tries.
        avoided = Set.of();
        isSelfDraining = false;
        SplittableRandom random = new SplittableRandom(seed);
        int localRank = random.nextInt(clusterSize);
        StalenessDetector detector =
                new StalenessDetector(
                        StalenessSettings.STANDARD,
                        localRank,
                        clusterSize,
                        seed,
                        listVersion(5),
                        this);
        Set<Long> localCaches = new HashSet<>(CACHES);
        detector.onLocalVersions(0, listVersion(5), Set.copyOf(localCaches));
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextLong(NANOS_PER_SECOND);
            runUntil(detector, now);
            int peer = random.nextInt(clusterSize);
            int kind = peer == localRank ? 5 : random.nextInt(8);
            if (kind != 5) {
                report(detector, random, now, peer, kind);
            } else if (random.nextInt(10) == 0) {
                localCaches.remove((long) random.nextInt(7));
                detector.onLocalVersions(now, listVersion(5 + i / 20), Set.copyOf(localCaches));
            }
            assertTrue(
                    avoided.size() <= Math.ceil(localCaches.size() / 3.0),
                    avoided + " of " + localCaches);
            assertTrue(localCaches.containsAll(avoided));
            assertTrue(!isSelfDraining || SelfDrain.maySelfDrain(localRank, clusterSize, 0.25));
        }
        assertFewRanksMayDrain(clusterSize);
    }

    private static void assertFewRanksMayDrain(int clusterSize) {
        int permittedRanks = 0;
        for (int i = 0; i < clusterSize; i++) {
            permittedRanks += SelfDrain.maySelfDrain(i, clusterSize, 0.25) ? 1 : 0;
        }
        assertTrue(
                permittedRanks <= Math.ceil(clusterSize / 4.0)
                        && (clusterSize > 2 || permittedRanks == 0));
    }

    /** Sends a random report; kind 5, a change of the local list, is left to the caller. */
    private static void report(
            StalenessDetector detector, SplittableRandom random, long now, int peer, int kind) {
        switch (kind) {
            case 0 ->
                    detector.onPeerState(
                            now,
                            peer,
                            MemberState.values()[random.nextInt(5)],
                            random.nextBoolean() ? null : listVersion(random.nextInt(20)),
                            1,
                            0);
            case 1, 2 ->
                    detector.onCacheUnavailable(now, peer, random.nextLong(20), random.nextInt(9));
            case 3 -> detector.onCacheRestored(now, peer, random.nextLong(20), random.nextInt(9));
            case 4 -> detector.onIsolation(now, random.nextInt(5) == 0);
            case 6 -> detector.onPeerAdminDrain(now, peer, random.nextInt(3), random.nextInt(9));
            default ->
                    detector.onVersionFailing(
                            now,
                            peer,
                            VersionKind.values()[random.nextInt(2)],
                            random.nextInt(20),
                            true);
        }
    }
}
