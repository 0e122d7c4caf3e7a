package frostrelay.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.audit.fleet.Life;
import frostrelay.audit.store.Collected;
import frostrelay.audit.store.RecordFolder;
import frostrelay.peers.Incarnation;
import frostrelay.peers.Stamp;
import frostrelay.peers.State;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A record keeps what it was given, through cuts, damage, rotation and a disk that refuses. */
class RecordTest {
    private static final long INCARNATION = Incarnation.of(1_790_000_000_000L);

    @TempDir private Path folder;

    static Stamp stamp(long list) {
        return new Stamp(5, 1, 2, list, list * 7, 0, 0);
    }

    private static List<Entry> some() {
        List<Entry> entries =
                new ArrayList<>(
                        List.of(
                                new Entry.Start(0, "b", 1, INCARNATION, 5, 99),
                                new Entry.Acts(1, 0, Cause.START, 99, stamp(1)),
                                new Entry.Names(2, 0, "cache-1"),
                                new Entry.Lists(2, 0, true, 3)));
        for (int i = 0; i < 20; i++) {
            entries.add(new Entry.Sent(10 + i, 0, 0, 0, "id-" + i));
            entries.add(new Entry.Counts(10 + i, 0, 0, 1, 2, new int[] {0}, new int[] {i}));
        }
        entries.add(new Entry.End(50));
        return entries;
    }

    private static byte[] bytes(List<Entry> entries) {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        out.writeBytes(java.nio.ByteBuffer.allocate(8).putLong(Codec.MAGIC).array());
        entries.forEach(entry -> out.writeBytes(Framed.of(entry)));
        return out.toByteArray();
    }

    private static String text(Entry entry) {
        return entry instanceof Entry.Counts one
                ? one.at()
                        + " "
                        + one.sequence()
                        + Arrays.toString(one.caches())
                        + Arrays.toString(one.sends())
                        + one.copies()
                        + one.refused()
                        + one.failed()
                : entry.toString();
    }

    private static List<String> texts(List<Entry> entries) {
        return entries.stream().map(RecordTest::text).toList();
    }

    /** SIGKILL may cut a file anywhere: what is whole is read, and what is not is named. */
    @Test
    void cutAtEveryByteItIsReadUpToTheLastWholeEntry() {
        List<Entry> entries = some();
        byte[] whole = bytes(entries);
        for (int length = 8; length <= whole.length; length++) {
            Record read = Record.read(Arrays.copyOf(whole, length));
            int count = read.entries().size();
            assertEquals(texts(entries.subList(0, count)), texts(read.entries()));
            assertEquals(length, bytes(entries.subList(0, count)).length + read.unread());
            assertTrue(
                    count == entries.size() || bytes(entries.subList(0, count + 1)).length > length,
                    "nothing whole is left out");
        }
    }

    @Test
    void aFlippedByteEndsTheReadingBeforeItsEntry() {
        List<Entry> entries = some();
        byte[] whole = bytes(entries);
        for (int at = 8; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Record read = Record.read(damaged);
            assertTrue(read.entries().size() < entries.size());
            assertEquals(texts(entries.subList(0, read.entries().size())), texts(read.entries()));
            assertTrue(read.unread() > 0, "and that is said");
        }
    }

    @Provide
    Arbitrary<Entry> entry() {
        Arbitrary<Long> any = Arbitraries.longs();
        Arbitrary<Integer> small = Arbitraries.integers().between(0, 0xffff);
        Arbitrary<String> text = Arbitraries.strings().ascii().ofMaxLength(80);
        return Arbitraries.oneOf(
                Combinators.combine(any, text, any, any)
                        .as((at, name, inc, wall) -> new Entry.Start(at, name, 3, inc, 4, wall)),
                Combinators.combine(any, small, any, any)
                        .as(
                                (at, sequence, wall, list) ->
                                        new Entry.Acts(
                                                at, sequence, Cause.FILE, wall, stamp(list))),
                Combinators.combine(any, small, text).as(Entry.Names::new),
                Combinators.combine(any, small, any)
                        .as((at, cache, boot) -> new Entry.Lists(at, cache, true, boot)),
                Combinators.combine(any, small, small, text)
                        .as(
                                (at, sequence, cache, id) ->
                                        new Entry.Sent(at, sequence, cache, 2, id)),
                Combinators.combine(any, small, any, small, any)
                        .as(
                                (at, rank, inc, sequence, age) ->
                                        new Entry.Heard(at, rank, inc, sequence, 7, age)),
                Combinators.combine(any, small, any)
                        .as(
                                (at, rank, inc) ->
                                        new Entry.Believes(at, rank, inc, State.SUSPECTED, 2)),
                Combinators.combine(any, small, any, any)
                        .as((at, rank, inc, sent) -> new Entry.Clock(at, rank, inc, sent, 5)),
                Combinators.combine(any, any, any, text).as(Entry.Gap::new),
                any.map(Entry.End::new),
                any.map(Entry.Resumes::new),
                Combinators.combine(any, any).as(Entry.Jumped::new),
                Combinators.combine(any, any).as(Entry.Renumbered::new),
                Combinators.combine(any, text).as(Entry.Refused::new));
    }

    @Property(tries = 500)
    void whatIsWrittenIsRead(@ForAll("entry") Entry one, @ForAll("entry") Entry other) {
        assertEquals(
                texts(List.of(one, other)),
                texts(Record.read(bytes(List.of(one, other))).entries()));
    }

    /** A type of a later build does not hide what stands behind it. */
    @Test
    void anUnknownEntryIsPassedOver() {
        byte[] alien = Framed.of(new Entry.End(9));
        alien[2] = 77;
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(alien, 0, alien.length - 4);
        java.nio.ByteBuffer.wrap(alien).putInt(alien.length - 4, (int) crc.getValue());
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        out.writeBytes(bytes(List.of(new Entry.Jumped(1, 2))));
        out.writeBytes(alien);
        out.writeBytes(Framed.of(new Entry.End(10)));
        Record read = Record.read(out.toByteArray());
        assertEquals(1, read.unknown());
        assertEquals(List.of(new Entry.Jumped(1, 2), new Entry.End(10)), read.entries());
    }

    @Test
    void aFullRingNamesWhatItDroppedAndStaysReadable() {
        Ring ring = new Ring(2_000);
        some().forEach(ring::append);
        for (int i = 0; i < 200; i++) {
            ring.append(new Entry.Sent(100 + i, 0, 0, 0, "late-" + i));
        }
        byte[] record = ring.record();
        assertTrue(record.length < 4_000, "bounded: " + record.length);
        Life life = Collected.life("ring", record);
        assertEquals("b", life.name());
        assertEquals("cache-1", life.cache(0));
        assertEquals(1, life.acts().size());
        assertEquals(1, life.gaps().size());
        assertTrue(life.beginningLost());
    }

    /** Parts follow each other, the oldest go, and what is left can be understood. */
    @Test
    void theFolderIsBoundedAndItsPartsStandByThemselves() throws Exception {
        try (RecordFolder files =
                new RecordFolder(
                        folder,
                        "0001",
                        64 * 1024,
                        reason -> {
                            throw new AssertionError(reason);
                        })) {
            some().subList(0, 4).forEach(files::append);
            for (int i = 0; i < 4_000; i++) {
                files.append(new Entry.Sent(100 + i, 0, 0, 0, "request-" + i));
                if (i % 400 == 0) {
                    Thread.sleep(2 * RecordFolder.WRITE_MS);
                }
            }
        }
        long bytes = 0;
        for (Path file : RecordFolder.files(folder)) {
            bytes += Files.size(file);
        }
        assertTrue(bytes <= 64 * 1024 + 32 * 1024, "about its bound: " + bytes);
        Life life = Collected.lives(folder, new ArrayList<>()).get(0);
        assertEquals("cache-1", life.cache(0));
        assertTrue(life.beginningLost());
        assertTrue(
                life.entries().stream()
                        .anyMatch(
                                entry ->
                                        entry instanceof Entry.Sent sent
                                                && sent.id().equals("request-3999")));
    }

    /**
     * A name and a stamp that no part has but the head of the next one: they were lost on their
     * way.
     */
    @Test
    void whatOnlyTheNextPartsHeadHasIsNotLost() {
        List<Entry> first = some().subList(0, 4);
        Record second =
                new Record(
                        List.of(
                                first.get(0),
                                first.get(2),
                                new Entry.Names(40, 1, "cache-2"),
                                new Entry.Acts(41, 1, Cause.DISCOVERY, 99, stamp(2)),
                                new Entry.Resumes(45),
                                new Entry.Gap(60, 40, 2, "the disk refused it"),
                                new Entry.Sent(61, 1, 1, 0, "x")),
                        0,
                        0);
        Life life = Life.of("parts", List.of(new Record(first, 0, 0), second), true);
        assertEquals("cache-2", life.cache(1));
        assertEquals(2, life.acts().size());
        assertEquals(1, life.gaps().size());
    }

    /** A disk that refuses: said once, and when it takes again the gap comes first. */
    @Test
    void whatADiskRefusedIsNamedAsAGap() throws Exception {
        List<String> said = new CopyOnWriteArrayList<>();
        Path at = folder.resolve("audit");
        Files.writeString(at, "not a folder");
        try (RecordFolder files = new RecordFolder(at, "0001", 1 << 20, said::add)) {
            some().subList(0, 10).forEach(files::append);
            Thread.sleep(4 * RecordFolder.WRITE_MS);
            assertEquals(1, said.size(), said.toString());
            Files.delete(at);
            files.append(new Entry.Sent(200, 0, 0, 0, "after"));
        }
        Life life = Collected.lives(at, new ArrayList<>()).get(0);
        assertEquals("b", life.name(), "its start is repeated, though the disk had refused it");
        assertEquals("cache-1", life.cache(0));
        assertTrue(life.beginningLost());
        Entry.Gap gap = life.gaps().get(0);
        assertEquals(10, gap.entries());
        assertEquals(0, gap.from());
        assertNotEquals("", gap.why());
        assertEquals(
                new Entry.Sent(200, 0, 0, 0, "after"),
                life.entries().get(life.entries().size() - 1));
    }
}
