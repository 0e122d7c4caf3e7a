package frostrelay.audit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import frostrelay.audit.fleet.IncarnationHistory;
import frostrelay.audit.store.CollectedRecords;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberState;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Records of version 0.7.0 are read entry by entry and encode to the same bytes again. */
class FormerRecordFormatTest {
    private static final String FOLDER = "format-0.7.0/";
    private static final long INCARNATION = Incarnation.fromUnixMillis(1_790_000_000_000L);
    private static final long START_MILLIS = 1_790_000_000_123L;
    private static final int TRUNCATED_BYTES = 10;

    private static final Entry STARTED =
            new Entry.Started(0, "balancer-1", 3, INCARNATION, 77, START_MILLIS);
    private static final Entry FIRST_CACHE = new Entry.CacheNamed(100, 0, "cache-é");
    private static final Entry LAST_CACHE = new Entry.CacheNamed(101, 65_535, "cache-last");
    private static final Entry FIRST_LISTED =
            new Entry.EndpointListed(102, 0, true, 1_789_999_999_000L);
    private static final Entry LAST_LISTED = new Entry.EndpointListed(103, 65_535, false, 0);
    private static final Entry APPLIED_BY_DISCOVERY =
            new Entry.VersionsApplied(
                    104,
                    1,
                    Cause.DISCOVERY,
                    START_MILLIS + 1,
                    new AppliedVersions(77, 41, -2, 10, 13, 11, 12));
    private static final Entry APPLIED_FROM_FILE =
            new Entry.VersionsApplied(
                    900,
                    2,
                    Cause.FILE,
                    START_MILLIS + 2,
                    new AppliedVersions(77, 42, 3, 10, 13, 11, 12));
    private static final Entry APPLIED_FROM_PEER =
            new Entry.VersionsApplied(
                    902,
                    4,
                    Cause.PEER,
                    START_MILLIS + 4,
                    new AppliedVersions(77, 42, 3, 11, 14, 99, 13));

    @TempDir private Path folder;

    private static byte[] resource(String name) throws IOException {
        try (InputStream in = FormerRecordFormatTest.class.getResourceAsStream(FOLDER + name)) {
            assertNotNull(in, name);
            return in.readAllBytes();
        }
    }

    private static byte[] encode(List<Entry> entries) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(Codec.MAGIC).array());
        entries.forEach(entry -> out.writeBytes(FramedEntries.encode(entry)));
        return out.toByteArray();
    }

    private static void assertEntries(List<Entry> expected, String file, int truncatedBytes)
            throws IOException {
        byte[] bytes = resource(file);
        AuditRecord read = AuditRecord.read(bytes);
        assertEquals(0, read.unknownEntries());
        assertEquals(truncatedBytes, read.unreadBytes());
        assertEquals(expected.size(), read.entries().size());
        for (int i = 0; i < expected.size(); i++) {
            assertEntry(expected.get(i), read.entries().get(i));
        }
        assertArrayEquals(Arrays.copyOf(bytes, bytes.length - truncatedBytes), encode(expected));
    }

    /** Compares counts field by field, as Java records compare arrays by identity. */
    private static void assertEntry(Entry expected, Entry actual) {
        if (!(expected instanceof Entry.SendCounts counts)) {
            assertEquals(expected, actual);
            return;
        }
        Entry.SendCounts read = (Entry.SendCounts) actual;
        assertEquals(counts.atNanos(), read.atNanos());
        assertEquals(counts.sequence(), read.sequence());
        assertEquals(counts.hedgedRequests(), read.hedgedRequests());
        assertEquals(counts.rejectedRequests(), read.rejectedRequests());
        assertEquals(counts.failedRequests(), read.failedRequests());
        assertArrayEquals(counts.caches(), read.caches());
        assertArrayEquals(counts.sends(), read.sends());
    }

    @Test
    void theFirstPartIsReadEntryByEntry() throws IOException {
        assertEntries(
                List.of(
                        STARTED,
                        new Entry.VersionsApplied(
                                0,
                                0,
                                Cause.START,
                                START_MILLIS,
                                new AppliedVersions(77, 41, -2, 9, 10, 11, 12)),
                        FIRST_CACHE,
                        LAST_CACHE,
                        FIRST_LISTED,
                        LAST_LISTED,
                        APPLIED_BY_DISCOVERY,
                        new Entry.SendCounts(
                                200, 1, 2, 3, 4, new int[] {0, 65_535}, new int[] {1_000, 7}),
                        new Entry.AttemptSent(201, 1, 65_535, 255, "request-1"),
                        new Entry.PeerVersionsHeard(
                                300, 65_535, INCARNATION + 5, 65_536, -1, 1_500_000_000L),
                        new Entry.PeerStateChanged(
                                400, 2, INCARNATION + 6, MemberState.SUSPECTED, 1)),
                "0001-000000.rec",
                0);
    }

    @Test
    void laterPartsAreReadEntryByEntry() throws IOException {
        assertEntries(
                List.of(
                        STARTED,
                        FIRST_CACHE,
                        LAST_CACHE,
                        FIRST_LISTED,
                        LAST_LISTED,
                        APPLIED_BY_DISCOVERY,
                        new Entry.Resumed(400),
                        new Entry.PeerStateChanged(401, 2, INCARNATION + 6, MemberState.LEFT, 2),
                        new Entry.PeerClockSampled(500, 2, INCARNATION + 6, 490, 1_234),
                        new Entry.WallClockJumped(600, -10_000),
                        new Entry.IncarnationChanged(700, INCARNATION + 1),
                        new Entry.UpdateRejected(800, "list of another zone"),
                        APPLIED_FROM_FILE),
                "0001-000001.rec",
                0);
        assertEntries(
                List.of(
                        STARTED,
                        FIRST_CACHE,
                        LAST_CACHE,
                        FIRST_LISTED,
                        LAST_LISTED,
                        APPLIED_FROM_FILE,
                        new Entry.Resumed(900),
                        new Entry.VersionsApplied(
                                901,
                                3,
                                Cause.OPERATORS,
                                START_MILLIS + 3,
                                new AppliedVersions(77, 42, 3, 10, 13, 99, 12)),
                        APPLIED_FROM_PEER,
                        new Entry.Gap(1_000, 950, 12, "the disk refused it")),
                "0001-000002.rec",
                0);
        assertEntries(
                List.of(
                        STARTED,
                        FIRST_CACHE,
                        LAST_CACHE,
                        FIRST_LISTED,
                        LAST_LISTED,
                        APPLIED_FROM_PEER,
                        new Entry.Resumed(1_000),
                        new Entry.Stopped(2_000)),
                "0001-000003.rec",
                0);
    }

    @Test
    void aTruncatedRecordIsReadUpToItsLastCompleteEntry() throws IOException {
        assertEntries(
                List.of(
                        new Entry.Started(
                                0, "balancer-2", -1, INCARNATION + 1, -7, 1_790_000_100_000L),
                        new Entry.VersionsApplied(
                                0,
                                0,
                                Cause.START,
                                1_790_000_100_000L,
                                new AppliedVersions(
                                        -7,
                                        AppliedVersions.NO_NUMBER,
                                        0x0123_4567_89ab_cdefL,
                                        4,
                                        5,
                                        6,
                                        7)),
                        new Entry.UpdateRejected(40, "configuration 42: unknown key")),
                "0002-000000.rec",
                TRUNCATED_BYTES);
    }

    @Test
    void theFolderYieldsBothIncarnations() throws IOException {
        for (String name :
                List.of(
                        "0001-000000.rec",
                        "0001-000001.rec",
                        "0001-000002.rec",
                        "0001-000003.rec",
                        "0002-000000.rec")) {
            Files.write(folder.resolve(name), resource(name));
        }
        List<String> complaints = new ArrayList<>();
        List<IncarnationHistory> histories = CollectedRecords.histories(folder, complaints);
        assertEquals(List.of(), complaints);
        assertEquals(2, histories.size());
        IncarnationHistory first = histories.get(0);
        assertEquals("balancer-1", first.name());
        assertEquals(21 + 3 * 2, first.entries().size(), "each later part names both caches again");
        assertEquals(5, first.appliedVersions().size());
        assertEquals(1, first.gaps().size());
        assertEquals(true, first.hasStopped());
        assertEquals(false, first.beginningLost());
        IncarnationHistory second = histories.get(1);
        assertEquals("balancer-2", second.name());
        assertEquals(3, second.entries().size());
        assertEquals(TRUNCATED_BYTES, second.unreadBytes());
        assertEquals(false, second.hasStopped());
    }
}
