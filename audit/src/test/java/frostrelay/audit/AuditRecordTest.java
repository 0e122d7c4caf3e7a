package frostrelay.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.audit.fleet.IncarnationHistory;
import frostrelay.audit.store.CollectedRecords;
import frostrelay.audit.store.RecordFolder;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberState;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.zip.CRC32C;

/** Records stay readable after truncation, damage, rotation and rejected writes. */
class AuditRecordTest {
    private static final long INCARNATION = Incarnation.fromUnixMillis(1_790_000_000_000L);

    @TempDir private Path folder;

    static AppliedVersions versions(long list) {
        return new AppliedVersions(5, 1, 2, list, list * 7, 0, 0);
    }

    private static List<Entry> sampleEntries() {
        List<Entry> entries =
                new ArrayList<>(
                        List.of(
                                new Entry.Started(0, "b", 1, INCARNATION, 5, 99),
                                new Entry.VersionsApplied(1, 0, Cause.START, 99, versions(1)),
                                new Entry.CacheNamed(2, 0, "cache-1"),
                                new Entry.EndpointListed(2, 0, true, 3)));
        for (int i = 0; i < 20; i++) {
            entries.add(new Entry.AttemptSent(10 + i, 0, 0, 0, "id-" + i));
            entries.add(new Entry.SendCounts(10 + i, 0, 0, 1, 2, new int[] {0}, new int[] {i}));
        }
        entries.add(new Entry.Stopped(50));
        return entries;
    }

    private static byte[] bytes(List<Entry> entries) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(8).putLong(Codec.MAGIC).array());
        entries.forEach(entry -> out.writeBytes(FramedEntries.encode(entry)));
        return out.toByteArray();
    }

    private static String text(Entry entry) {
        return entry instanceof Entry.SendCounts one
                ? one.atNanos()
                        + " "
                        + one.sequence()
                        + Arrays.toString(one.caches())
                        + Arrays.toString(one.sends())
                        + one.hedgedRequests()
                        + one.rejectedRequests()
                        + one.failedRequests()
                : entry.toString();
    }

    private static List<String> texts(List<Entry> entries) {
        return entries.stream().map(AuditRecordTest::text).toList();
    }

    /** SIGKILL may truncate a file anywhere; complete entries must be read and the rest counted. */
    @Test
    void aTruncatedRecordIsReadUpToTheLastCompleteEntry() {
        List<Entry> entries = sampleEntries();
        byte[] record = bytes(entries);
        for (int length = 8; length <= record.length; length++) {
            AuditRecord read = AuditRecord.read(Arrays.copyOf(record, length));
            int count = read.entries().size();
            assertEquals(texts(entries.subList(0, count)), texts(read.entries()));
            assertEquals(length, bytes(entries.subList(0, count)).length + read.unreadBytes());
            assertTrue(
                    count == entries.size() || bytes(entries.subList(0, count + 1)).length > length,
                    "no complete entry is omitted");
        }
    }

    @Test
    void readingStopsBeforeACorruptEntry() {
        List<Entry> entries = sampleEntries();
        byte[] record = bytes(entries);
        for (int at = 8; at < record.length; at++) {
            byte[] damaged = record.clone();
            damaged[at] ^= 0x10;
            AuditRecord read = AuditRecord.read(damaged);
            assertTrue(read.entries().size() < entries.size());
            assertEquals(texts(entries.subList(0, read.entries().size())), texts(read.entries()));
            assertTrue(read.unreadBytes() > 0, "unread bytes are reported");
        }
    }

    @Provide
    Arbitrary<Entry> entry() {
        Arbitrary<Long> any = Arbitraries.longs();
        Arbitrary<Integer> small = Arbitraries.integers().between(0, 0xffff);
        Arbitrary<String> text = Arbitraries.strings().ascii().ofMaxLength(80);
        return Arbitraries.oneOf(
                Combinators.combine(any, text, any, any)
                        .as((at, name, inc, wall) -> new Entry.Started(at, name, 3, inc, 4, wall)),
                Combinators.combine(any, small, any, any)
                        .as(
                                (at, sequence, wall, list) ->
                                        new Entry.VersionsApplied(
                                                at, sequence, Cause.FILE, wall, versions(list))),
                Combinators.combine(any, small, text).as(Entry.CacheNamed::new),
                Combinators.combine(any, small, any)
                        .as((at, cache, boot) -> new Entry.EndpointListed(at, cache, true, boot)),
                Combinators.combine(any, small, small, text)
                        .as(
                                (at, sequence, cache, id) ->
                                        new Entry.AttemptSent(at, sequence, cache, 2, id)),
                Combinators.combine(any, small, any, small, any)
                        .as(
                                (at, rank, inc, sequence, age) ->
                                        new Entry.PeerVersionsHeard(
                                                at, rank, inc, sequence, 7, age)),
                Combinators.combine(any, small, any)
                        .as(
                                (at, rank, inc) ->
                                        new Entry.PeerStateChanged(
                                                at, rank, inc, MemberState.SUSPECTED, 2)),
                Combinators.combine(any, small, any, any)
                        .as(
                                (at, rank, inc, sent) ->
                                        new Entry.PeerClockSampled(at, rank, inc, sent, 5)),
                Combinators.combine(any, any, any, text).as(Entry.Gap::new),
                any.map(Entry.Stopped::new),
                any.map(Entry.Resumed::new),
                Combinators.combine(any, any).as(Entry.WallClockJumped::new),
                Combinators.combine(any, any).as(Entry.IncarnationChanged::new),
                Combinators.combine(any, text).as(Entry.UpdateRejected::new));
    }

    @Property(tries = 500)
    void encodedEntriesAreDecodedUnchanged(
            @ForAll("entry") Entry one, @ForAll("entry") Entry other) {
        assertEquals(
                texts(List.of(one, other)),
                texts(AuditRecord.read(bytes(List.of(one, other))).entries()));
    }

    /** An entry type of a later build does not hide the entries after it. */
    @Test
    void anUnknownEntryTypeIsSkipped() {
        byte[] unknown = FramedEntries.encode(new Entry.Stopped(9));
        unknown[2] = 77;
        CRC32C crc = new CRC32C();
        crc.update(unknown, 0, unknown.length - 4);
        ByteBuffer.wrap(unknown).putInt(unknown.length - 4, (int) crc.getValue());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes(List.of(new Entry.WallClockJumped(1, 2))));
        out.writeBytes(unknown);
        out.writeBytes(FramedEntries.encode(new Entry.Stopped(10)));
        AuditRecord read = AuditRecord.read(out.toByteArray());
        assertEquals(1, read.unknownEntries());
        assertEquals(
                List.of(new Entry.WallClockJumped(1, 2), new Entry.Stopped(10)), read.entries());
    }

    @Test
    void aFullRingBufferRecordsAGapAndStaysReadable() {
        EntryRingBuffer ring = new EntryRingBuffer(2_000);
        sampleEntries().forEach(ring::append);
        for (int i = 0; i < 200; i++) {
            ring.append(new Entry.AttemptSent(100 + i, 0, 0, 0, "late-" + i));
        }
        byte[] record = ring.record();
        assertTrue(record.length < 4_000, "record size in bytes: " + record.length);
        IncarnationHistory history = CollectedRecords.history("ring", record);
        assertEquals("b", history.name());
        assertEquals("cache-1", history.cacheName(0));
        assertEquals(1, history.appliedVersions().size());
        assertEquals(1, history.gaps().size());
        assertTrue(history.beginningLost());
    }

    /** The oldest parts are deleted, and each remaining part can be read on its own. */
    @Test
    void theFolderSizeIsBoundedAndEachPartIsReadableAlone() throws Exception {
        try (RecordFolder files =
                new RecordFolder(
                        folder,
                        "0001",
                        64 * 1024,
                        reason -> {
                            throw new AssertionError(reason);
                        })) {
            sampleEntries().subList(0, 4).forEach(files::append);
            for (int i = 0; i < 4_000; i++) {
                files.append(new Entry.AttemptSent(100 + i, 0, 0, 0, "request-" + i));
                if (i % 400 == 0) {
                    Thread.sleep(2 * RecordFolder.WRITE_INTERVAL_MILLIS);
                }
            }
        }
        long bytes = 0;
        for (Path file : RecordFolder.files(folder)) {
            bytes += Files.size(file);
        }
        assertTrue(bytes <= 64 * 1024 + 32 * 1024, "folder size in bytes: " + bytes);
        IncarnationHistory history = CollectedRecords.histories(folder, new ArrayList<>()).get(0);
        assertEquals("cache-1", history.cacheName(0));
        assertTrue(history.beginningLost());
        assertTrue(
                history.entries().stream()
                        .anyMatch(
                                entry ->
                                        entry instanceof Entry.AttemptSent sent
                                                && sent.requestId().equals("request-3999")));
    }

    /** Entries rejected by the disk are restored from the preamble of the next part. */
    @Test
    void entriesFoundOnlyInTheNextPreambleAreRestored() {
        List<Entry> first = sampleEntries().subList(0, 4);
        AuditRecord second =
                new AuditRecord(
                        List.of(
                                first.get(0),
                                first.get(2),
                                new Entry.CacheNamed(40, 1, "cache-2"),
                                new Entry.VersionsApplied(41, 1, Cause.DISCOVERY, 99, versions(2)),
                                new Entry.Resumed(45),
                                new Entry.Gap(60, 40, 2, "the disk refused it"),
                                new Entry.AttemptSent(61, 1, 1, 0, "x")),
                        0,
                        0);
        IncarnationHistory history =
                IncarnationHistory.of("parts", List.of(new AuditRecord(first, 0, 0), second), true);
        assertEquals("cache-2", history.cacheName(1));
        assertEquals(2, history.appliedVersions().size());
        assertEquals(1, history.gaps().size());
    }

    /**
     * Failing writes are reported once; when the disk accepts writes again, the gap comes first.
     */
    @Test
    void entriesThatTheDiskRejectedAreRecordedAsAGap() throws Exception {
        List<String> failures = new CopyOnWriteArrayList<>();
        Path auditFolder = folder.resolve("audit");
        Files.writeString(auditFolder, "not a folder");
        try (RecordFolder files = new RecordFolder(auditFolder, "0001", 1 << 20, failures::add)) {
            sampleEntries().subList(0, 10).forEach(files::append);
            Thread.sleep(4 * RecordFolder.WRITE_INTERVAL_MILLIS);
            assertEquals(1, failures.size(), failures.toString());
            Files.delete(auditFolder);
            files.append(new Entry.AttemptSent(200, 0, 0, 0, "after"));
        }
        IncarnationHistory history =
                CollectedRecords.histories(auditFolder, new ArrayList<>()).get(0);
        assertEquals("b", history.name(), "the start entry is repeated after the disk rejected it");
        assertEquals("cache-1", history.cacheName(0));
        assertTrue(history.beginningLost());
        Entry.Gap gap = history.gaps().get(0);
        assertEquals(10, gap.lostEntries());
        assertEquals(0, gap.fromNanos());
        assertNotEquals("", gap.reason());
        assertEquals(
                new Entry.AttemptSent(200, 0, 0, 0, "after"),
                history.entries().get(history.entries().size() - 1));
    }
}
