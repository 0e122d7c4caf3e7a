package frostrelay.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

/** The schedules keep what operators and the system allow. */
class DrainScheduleTest {
    private static final long MS = 1_000_000L;

    @Test
    void aDrainIsOverBeforeOperatorsLook() {
        DrainSchedule drain = DrainSchedule.forDrain(100 * MS);
        assertFalse(drain.shutdown());
        assertTrue(
                drain.acceptUntil() <= 100 * MS + 2_000 * MS, "no request of the last 2 s at 4 s");
        assertTrue(drain.idleUntil() < drain.acceptUntil());
        assertTrue(drain.incompleteUntil() <= 100 * MS + 3_000 * MS, "and a second to linger");
    }

    /**
     * Whatever the longest deadline is: all answers are there a held-up process's time before
     * SIGKILL may come.
     */
    @Property
    void whatIsTakenBeforeAnEndCanBeAnsweredBeforeIt(
            @ForAll @LongRange(min = 1, max = 60_000) long longest,
            @ForAll @LongRange(min = -1_000_000_000, max = 1_000_000_000) long at) {
        long kill = at + (Math.min(3_000, longest) + 700) * MS;
        DrainSchedule shutdown = DrainSchedule.forShutdown(at, longest * MS);
        assertTrue(shutdown.shutdown());
        assertTrue(shutdown.answerUntil() + 250 * MS <= kill);
        assertTrue(shutdown.acceptUntil() <= shutdown.answerUntil());
        assertTrue(
                shutdown.acceptUntil() < at + 700 * MS,
                "what SIGKILL finds of later requests is lost");
        assertTrue(shutdown.incompleteUntil() <= shutdown.answerUntil());
        assertTrue(shutdown.exitAt() > kill, "it does not end while it may still serve");
    }

    @Test
    void clientsComeOnForAWhileInAnyCase() {
        for (long longest : new long[] {300, 1_000, 1_670, 3_000, 10_000}) {
            assertEquals(
                    600 * MS,
                    DrainSchedule.forShutdown(0, longest * MS).acceptUntil(),
                    "deadline " + longest);
        }
    }
}
