package frostrelay.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.audit.fleet.AuditedVersionKind;
import frostrelay.audit.fleet.FleetAudit;
import frostrelay.audit.fleet.IncarnationHistory;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.Incarnation;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Queries over several records, some with wrong clocks or without an end. */
class FleetAuditTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long START_UNIX_MILLIS = 1_790_000_000_000L;

    private static Entry.VersionsApplied versionsApplied(
            long atMs, int sequence, long config, long digest, long list) {
        return new Entry.VersionsApplied(
                atMs * NANOS_PER_MILLISECOND,
                sequence,
                Cause.FILE,
                0,
                new AppliedVersions(1, config, digest, list, list, 0, 0));
    }

    private static long incarnation(int rank) {
        return Incarnation.fromUnixMillis(START_UNIX_MILLIS + rank * 1_000L);
    }

    /** An incarnation whose wall clock is off by {@code wallOffsetMillis}. */
    private static IncarnationHistory history(int rank, long wallOffsetMillis, Entry... entries) {
        List<Entry> all = new ArrayList<>();
        all.add(
                new Entry.Started(
                        0,
                        "b" + rank,
                        rank,
                        incarnation(rank),
                        1,
                        START_UNIX_MILLIS + rank * 1_000L + wallOffsetMillis));
        all.add(new Entry.CacheNamed(0, 0, "cache-1"));
        all.addAll(List.of(entries));
        return IncarnationHistory.of("b" + rank, List.of(new AuditRecord(all, 0, 0)), true);
    }

    /**
     * An answered probe: the peer's incarnation was {@code theirMs} old between {@code sentMs} and
     * {@code atMs}.
     */
    private static Entry clockSample(int rank, long atMs, long sentMs, long theirMs) {
        return new Entry.PeerClockSampled(
                atMs * NANOS_PER_MILLISECOND,
                rank,
                incarnation(rank),
                sentMs * NANOS_PER_MILLISECOND,
                theirMs);
    }

    /** b1 started one second after b0 and its wall clock is ten seconds slow. */
    @Test
    void peerSamplesOrderEventsDespiteWrongWallClocks() {
        FleetAudit report =
                new FleetAudit(
                        List.of(
                                history(
                                        0,
                                        0,
                                        versionsApplied(0, 0, 1, 1, 1),
                                        versionsApplied(5_000, 1, 2, 2, 1),
                                        clockSample(1, 6_010, 6_000, 5_005),
                                        new Entry.Stopped(9_000 * NANOS_PER_MILLISECOND)),
                                history(
                                        1,
                                        -10_000,
                                        versionsApplied(0, 0, 1, 1, 1),
                                        versionsApplied(4_500, 1, 2, 2, 1),
                                        new Entry.Stopped(8_000 * NANOS_PER_MILLISECOND))));
        Map<String, Object> second = report.drift(AuditedVersionKind.CONFIG).get(1);
        assertEquals("2:0000000000000002", second.get("version"));
        List<?> balancers = (List<?>) second.get("balancers");
        Map<?, ?> b1 = (Map<?, ?>) balancers.get(1);
        // b1 started 994 to 1005 ms after b0, so it applied the version 494 to 505 ms after b0.
        assertEquals(List.of(494L, 505L), b1.get("behindMs"));
        assertTrue(report.verify().isEmpty(), report.verify().toString());
        assertTrue(
                report.describeRecords().stream()
                        .allMatch(one -> one.get("placed").equals("by what peers heard")));
    }

    @Test
    void anIncarnationWithoutPeerSamplesIsPlacedByItsWallClockAndReportedSo() {
        FleetAudit report =
                new FleetAudit(
                        List.of(
                                history(0, 0, versionsApplied(0, 0, 1, 1, 1)),
                                history(1, 0, versionsApplied(0, 0, 1, 1, 1))));
        assertEquals("by its wall clock alone", report.describeRecords().get(1).get("placed"));
        assertEquals(
                "unknown: its last entry is no end", report.describeRecords().get(1).get("end"));
    }

    @Test
    void oneNumberWithTwoContentsIsAConflictButARollbackIsNot() {
        FleetAudit report =
                new FleetAudit(
                        List.of(
                                history(
                                        0,
                                        0,
                                        versionsApplied(0, 0, 1, 11, 1),
                                        versionsApplied(100, 1, 2, 22, 1),
                                        versionsApplied(200, 2, 1, 11, 1)),
                                history(
                                        1,
                                        0,
                                        versionsApplied(0, 0, 1, 11, 1),
                                        versionsApplied(100, 1, 2, 23, 1))));
        List<Map<String, Object>> conflicts = report.conflicts();
        assertEquals(1, conflicts.size());
        assertEquals(2L, conflicts.get(0).get("number"));
        assertEquals(
                2,
                report.applicationsOf(AuditedVersionKind.CONFIG, "1").stream()
                        .filter(one -> one.get("balancer").equals("b0"))
                        .count());
    }

    @Test
    void sendsAfterAKnownDrainAreCounted() {
        FleetAudit report =
                new FleetAudit(
                        List.of(
                                history(
                                        0,
                                        0,
                                        versionsApplied(0, 0, 1, 1, 1),
                                        new Entry.EndpointListed(
                                                1_010 * NANOS_PER_MILLISECOND, 0, false, 0),
                                        versionsApplied(1_010, 1, 1, 1, 2),
                                        clockSample(1, 1_110, 1_100, 105)),
                                history(
                                        1,
                                        0,
                                        versionsApplied(0, 0, 1, 1, 1),
                                        new Entry.AttemptSent(
                                                10 * NANOS_PER_MILLISECOND, 0, 0, 0, "before"),
                                        new Entry.AttemptSent(
                                                500 * NANOS_PER_MILLISECOND, 0, 0, 0, "after"),
                                        new Entry.AttemptSent(
                                                600 * NANOS_PER_MILLISECOND,
                                                0,
                                                0,
                                                0,
                                                "also after"))));
        Map<String, Object> one = report.sendsAfterDrain().get(0);
        assertEquals("b1", one.get("balancer"));
        assertEquals(2L, one.get("certain"));
        // The first send is within the uncertainty of the clock alignment: it may be after the
        // drain.
        assertEquals(3L, one.get("possible"));
    }

    @Test
    void contradictionsBetweenRecordsAreReported() {
        FleetAudit report =
                new FleetAudit(
                        List.of(
                                history(0, 0, versionsApplied(0, 0, 1, 1, 1)),
                                history(
                                        1,
                                        0,
                                        versionsApplied(0, 0, 1, 1, 1),
                                        new Entry.PeerVersionsHeard(
                                                5 * NANOS_PER_MILLISECOND,
                                                0,
                                                incarnation(0),
                                                0,
                                                12345,
                                                0))));
        assertEquals(1, report.verify().size());
        assertTrue(report.verify().get(0).contains("its own record has"));
        FleetAudit skipped =
                new FleetAudit(
                        List.of(
                                history(
                                        0,
                                        0,
                                        versionsApplied(0, 0, 1, 1, 1),
                                        versionsApplied(5, 2, 1, 1, 2))));
        assertFalse(skipped.verify().isEmpty(), "applied versions are missing and no gap is named");
    }
}
