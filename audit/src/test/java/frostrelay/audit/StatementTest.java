package frostrelay.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.audit.fleet.Kind;
import frostrelay.audit.fleet.Life;
import frostrelay.audit.fleet.Statement;
import frostrelay.peers.Incarnation;
import frostrelay.peers.Stamp;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What several records say together, when clocks lie and a record ends early. */
class StatementTest {
    private static final long MS = 1_000_000L;
    private static final long WALL = 1_790_000_000_000L;

    private static Entry.Acts acts(long atMs, int sequence, long config, long digest, long list) {
        return new Entry.Acts(
                atMs * MS, sequence, Cause.FILE, 0, new Stamp(1, config, digest, list, list, 0, 0));
    }

    private static long incarnation(int rank) {
        return Incarnation.of(WALL + rank * 1_000L);
    }

    /** A life whose wall clock is off by {@code wallMs}. */
    private static Life life(int rank, long wallMs, Entry... entries) {
        List<Entry> all = new ArrayList<>();
        all.add(
                new Entry.Start(
                        0, "b" + rank, rank, incarnation(rank), 1, WALL + rank * 1_000L + wallMs));
        all.add(new Entry.Names(0, 0, "cache-1"));
        all.addAll(List.of(entries));
        return Life.of("b" + rank, List.of(new Record(all, 0, 0)), true);
    }

    /**
     * b1 began one second after b0 and its wall clock is ten seconds back; they probed each other.
     */
    private static Entry heard(int rank, long atMs, long sentMs, long theirMs) {
        return new Entry.Clock(atMs * MS, rank, incarnation(rank), sentMs * MS, theirMs);
    }

    @Test
    void peersPutMomentsInOrderWhereWallClocksWouldNot() {
        Statement told =
                new Statement(
                        List.of(
                                life(
                                        0,
                                        0,
                                        acts(0, 0, 1, 1, 1),
                                        acts(5_000, 1, 2, 2, 1),
                                        heard(1, 6_010, 6_000, 5_005),
                                        new Entry.End(9_000 * MS)),
                                life(
                                        1,
                                        -10_000,
                                        acts(0, 0, 1, 1, 1),
                                        acts(4_500, 1, 2, 2, 1),
                                        new Entry.End(8_000 * MS))));
        Map<String, Object> second = told.drift(Kind.CONFIG).get(1);
        assertEquals("2:0000000000000002", second.get("version"));
        List<?> balancers = (List<?>) second.get("balancers");
        Map<?, ?> b1 = (Map<?, ?>) balancers.get(1);
        // b1 began between 994 and 1005 ms after b0, so it took it 494 to 505 ms behind.
        assertEquals(List.of(494L, 505L), b1.get("behindMs"));
        assertTrue(told.verify().isEmpty(), told.verify().toString());
        assertTrue(
                told.told().stream()
                        .allMatch(one -> one.get("placed").equals("by what peers heard")));
    }

    @Test
    void aLifeThatNobodyHeardIsPlacedByItsWallClockAndThatIsSaid() {
        Statement told =
                new Statement(
                        List.of(life(0, 0, acts(0, 0, 1, 1, 1)), life(1, 0, acts(0, 0, 1, 1, 1))));
        assertEquals("by its wall clock alone", told.told().get(1).get("placed"));
        assertEquals("unknown: its last entry is no end", told.told().get(1).get("end"));
    }

    @Test
    void oneNumberWithTwoContentsIsAConflictAndARollbackIsNone() {
        Statement told =
                new Statement(
                        List.of(
                                life(
                                        0,
                                        0,
                                        acts(0, 0, 1, 11, 1),
                                        acts(100, 1, 2, 22, 1),
                                        acts(200, 2, 1, 11, 1)),
                                life(1, 0, acts(0, 0, 1, 11, 1), acts(100, 1, 2, 23, 1))));
        List<Map<String, Object>> conflicts = told.conflicts();
        assertEquals(1, conflicts.size());
        assertEquals(2L, conflicts.get(0).get("number"));
        assertEquals(
                2,
                told.who(Kind.CONFIG, "1").stream()
                        .filter(one -> one.get("balancer").equals("b0"))
                        .count());
    }

    @Test
    void sendsBehindADrainThatSomebodyKnewAreCounted() {
        Statement told =
                new Statement(
                        List.of(
                                life(
                                        0,
                                        0,
                                        acts(0, 0, 1, 1, 1),
                                        new Entry.Lists(1_010 * MS, 0, false, 0),
                                        acts(1_010, 1, 1, 1, 2),
                                        heard(1, 1_110, 1_100, 105)),
                                life(
                                        1,
                                        0,
                                        acts(0, 0, 1, 1, 1),
                                        new Entry.Sent(10 * MS, 0, 0, 0, "before"),
                                        new Entry.Sent(500 * MS, 0, 0, 0, "behind"),
                                        new Entry.Sent(600 * MS, 0, 0, 0, "behind too"))));
        Map<String, Object> one = told.afterDrain().get(0);
        assertEquals("b1", one.get("balancer"));
        assertEquals(2L, one.get("certain"));
        // The first lies within what is known of their clocks: it may be behind.
        assertEquals(3L, one.get("possible"));
    }

    @Test
    void aRecordThatAnotherContradictsIsFound() {
        Statement told =
                new Statement(
                        List.of(
                                life(0, 0, acts(0, 0, 1, 1, 1)),
                                life(
                                        1,
                                        0,
                                        acts(0, 0, 1, 1, 1),
                                        new Entry.Heard(5 * MS, 0, incarnation(0), 0, 12345, 0))));
        assertEquals(1, told.verify().size());
        assertTrue(told.verify().get(0).contains("its own record has"));
        Statement skipped =
                new Statement(List.of(life(0, 0, acts(0, 0, 1, 1, 1), acts(5, 2, 1, 1, 2))));
        assertFalse(skipped.verify().isEmpty(), "a stamp is missing and no gap is named");
    }
}
