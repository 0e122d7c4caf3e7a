package frostrelay.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import frostrelay.gossip.AppliedVersions;

import org.junit.jupiter.api.Test;

/** Tests of the order of two versions. */
class VersionOrderTest extends StalenessDetectorFixture {
    @Test
    void versionsAreOrderedByNumberAndConflictIfContentsDiffer() {
        assertEquals(VersionOrder.NEWER, VersionOrder.compareLists(listVersion(5), listVersion(6)));
        assertEquals(VersionOrder.OLDER, VersionOrder.compareLists(listVersion(5), listVersion(4)));
        assertEquals(
                VersionOrder.CONFLICT,
                VersionOrder.compareLists(
                        listVersion(5), new AppliedVersions(1, 1, 1, 5, 99, 0, 0)));
        assertEquals(
                VersionOrder.SAME, VersionOrder.compareConfigs(listVersion(5), listVersion(9)));
        AppliedVersions unnumbered =
                new AppliedVersions(1, AppliedVersions.NO_NUMBER, 7, 5, 1, 0, 0);
        assertEquals(
                VersionOrder.UNORDERED, VersionOrder.compareConfigs(listVersion(5), unnumbered));
    }
}
