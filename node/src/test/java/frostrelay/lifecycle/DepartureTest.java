package frostrelay.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The timetables keep what operators and the system allow. */
class DepartureTest {
    private static final long MS = 1_000_000L;

    @Test
    void aDrainIsOverBeforeOperatorsLook() {
        Departure drain = Departure.drain(100 * MS);
        assertTrue(drain.drain());
        assertTrue(drain.serveUntil() <= 100 * MS + 2_000 * MS, "no request of the last 2 s at 4 s");
        assertTrue(drain.idleUntil() < drain.serveUntil());
    }

    @Test
    void whatIsTakenBeforeAnEndCanBeAnsweredBeforeIt() {
        for (long longest : new long[] {300, 1_000, 1_670, 3_000}) {
            long kill = (Math.min(3_000, longest) + 700) * MS;
            assertTrue(Departure.end(0, longest * MS).serveUntil() + longest * MS <= kill, "deadline " + longest);
        }
        assertEquals(600 * MS, Departure.end(0, 10_000 * MS).serveUntil(), "clients come on for a while in any case");
    }
}
