package frostrelay.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

/** Tests that schedules stay within the times that administrators and the platform allow. */
class DrainScheduleTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    @Test
    void drainCompletesBeforeAdministratorsCheckIt() {
        DrainSchedule drain = DrainSchedule.forDrain(100 * NANOS_PER_MILLISECOND);
        assertFalse(drain.isShutdown());
        assertTrue(
                drain.acceptUntilNanos()
                        <= 100 * NANOS_PER_MILLISECOND + 2_000 * NANOS_PER_MILLISECOND,
                "at 4 s, no request of the last 2 s remains");
        assertTrue(drain.idleUntilNanos() < drain.acceptUntilNanos());
        assertTrue(
                drain.partialRequestUntilNanos()
                        <= 100 * NANOS_PER_MILLISECOND + 3_000 * NANOS_PER_MILLISECOND,
                "waiting for partial requests ends 1 s before the check at 4 s");
    }

    /**
     * Checks for any longest deadline that all answers are due before SIGKILL, with a margin for a
     * pause of the process.
     */
    @Property
    void acceptedRequestsCanBeAnsweredBeforeSigkill(
            @ForAll @LongRange(min = 1, max = 60_000) long longestDeadlineMillis,
            @ForAll @LongRange(min = -1_000_000_000, max = 1_000_000_000) long signalNanos) {
        long killAtNanos =
                signalNanos
                        + (Math.min(3_000, longestDeadlineMillis) + 700) * NANOS_PER_MILLISECOND;
        DrainSchedule shutdown =
                DrainSchedule.forShutdown(
                        signalNanos, longestDeadlineMillis * NANOS_PER_MILLISECOND);
        assertTrue(shutdown.isShutdown());
        assertTrue(shutdown.answerUntilNanos() + 250 * NANOS_PER_MILLISECOND <= killAtNanos);
        assertTrue(shutdown.acceptUntilNanos() <= shutdown.answerUntilNanos());
        assertTrue(
                shutdown.acceptUntilNanos() < signalNanos + 700 * NANOS_PER_MILLISECOND,
                "requests accepted later would be lost at SIGKILL");
        assertTrue(shutdown.partialRequestUntilNanos() <= shutdown.answerUntilNanos());
        assertTrue(
                shutdown.exitAtNanos() > killAtNanos,
                "the process does not exit before SIGKILL is due");
    }

    @Test
    void requestsAreAcceptedForTheSameTimeWithAnyDeadline() {
        for (long longestDeadlineMillis : new long[] {300, 1_000, 1_670, 3_000, 10_000}) {
            assertEquals(
                    600 * NANOS_PER_MILLISECOND,
                    DrainSchedule.forShutdown(0, longestDeadlineMillis * NANOS_PER_MILLISECOND)
                            .acceptUntilNanos(),
                    "longest deadline in ms: " + longestDeadlineMillis);
        }
    }

    /** Only transfers that move delay the exit, and not for ever. */
    @Test
    void transfersThatMoveDelayTheExitWithinALimit() {
        DrainSchedule shutdown = DrainSchedule.forShutdown(0, 1_000 * NANOS_PER_MILLISECOND);
        long exitAtNanos = shutdown.exitAtNanos();
        long onPaceNanos = 2_900 * NANOS_PER_MILLISECOND;
        long stalledNanos = 3_100 * NANOS_PER_MILLISECOND;
        assertFalse(shutdown.mustExit(exitAtNanos - 1, Long.MAX_VALUE));
        assertTrue(shutdown.mustExit(exitAtNanos, Long.MAX_VALUE), "no transfer");
        assertTrue(shutdown.mustExit(exitAtNanos, stalledNanos));
        assertFalse(shutdown.mustExit(exitAtNanos + 30_000 * NANOS_PER_MILLISECOND, onPaceNanos));
        assertTrue(shutdown.mustExit(exitAtNanos + 60_000 * NANOS_PER_MILLISECOND, onPaceNanos));
    }
}
