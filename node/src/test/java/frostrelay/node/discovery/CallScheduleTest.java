package frostrelay.node.discovery;

import static frostrelay.node.discovery.CallSchedule.ANY_TIME;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

/**
 * After each event that may lose changes, the next call starts early enough for a crowded
 * discovery. The bounds are the protocol's.
 */
class CallScheduleTest {
    private static final long SECOND = 1_000_000_000L;

    /** For how long discovery queues a call before it rejects it. */
    private static final long QUEUE = 3 * SECOND;

    /** Sends end this long after the list: the grace less the margin of the drain. */
    private static final long SENDS_END_AFTER_LIST = SECOND / 4;

    private static final long WAIT = 10 * SECOND;

    private static final long DRAIN_GRACE = SECOND / 2;

    /** Checks that a call which is queued for the longest time brings its list in time. */
    private static void assertInTime(long bindingAt, long callAt, String event) {
        long sendsEndAt = callAt + QUEUE + SENDS_END_AFTER_LIST;
        assertTrue(
                sendsEndAt <= bindingAt + DRAIN_GRACE,
                event + ", ns too late: " + (sendsEndAt - bindingAt - DRAIN_GRACE));
    }

    /** Guards against a watch whose changes come late as its replacement waits in a queue. */
    @Property
    void anUnresponsiveWatchIsReplacedInTime(@ForAll @IntRange(min = 1, max = 200) int instances) {
        long wait = CallSchedule.watchWaitNanos(instances);
        long replacedAfter = CallSchedule.replacedAfterNanos(wait);
        long bindingAfter = Math.max(6 * SECOND, wait + 2 * SECOND);
        assertInTime(bindingAfter, replacedAfter, "unresponsive watch");
        long rejectedAfter = replacedAfter + QUEUE;
        assertTrue(rejectedAfter + SENDS_END_AFTER_LIST + SECOND / 2 < bindingAfter + DRAIN_GRACE);
        long periodNanos = Math.min(wait, replacedAfter);
        double callsPerSecond = instances * (double) SECOND / periodNanos;
        assertTrue(callsPerSecond <= Math.max(2.01, instances / 19.0), "of all: " + callsPerSecond);
    }

    /** Guards against a first call after a move that is rejected, and a next one too late. */
    @Test
    void aMovedDiscoveryIsCalledAgainAtOnceIfItRejectsAQueuedCall() {
        for (long rejectedAfter : new long[] {SECOND, 2 * SECOND, QUEUE}) {
            CallSchedule schedule = new CallSchedule(0);
            schedule.onList(5 * SECOND);
            schedule.onMoved(8 * SECOND);
            schedule.onMoved(9 * SECOND);
            long now = 8 * SECOND + rejectedAfter;
            long next = schedule.onFailure(now, 8 * SECOND, WAIT, true);
            assertEquals(Math.max(now, 8 * SECOND + 5 * SECOND / 4), next);
        }
    }

    /** Guards against a queued call that is rejected, and a next one that waits for its turn. */
    @Test
    void aRejectedCallIsRepeatedWhileItsListCanBeInTime() {
        CallSchedule schedule = new CallSchedule(0);
        schedule.onList(40 * SECOND);
        long rejectedAt = 43 * SECOND;
        long next = schedule.onFailure(rejectedAt, 40 * SECOND, WAIT, true);
        assertInTime(46 * SECOND, next, "a call that was queued all the time");
        assertEquals(next + QUEUE, schedule.onFailure(next + QUEUE, next, WAIT, true));
        long tooLate = next + 2 * QUEUE;
        assertEquals(ANY_TIME, schedule.onFailure(tooLate, next + QUEUE, WAIT, true));
    }

    /** Guards against a silent watch whose replacement is rejected, and a next call too late. */
    @Test
    void aReplacementThatIsRejectedIsRepeatedAtOnce() {
        CallSchedule schedule = new CallSchedule(0);
        schedule.onList(40 * SECOND);
        long replacedAt = 40 * SECOND + CallSchedule.replacedAfterNanos(WAIT);
        long rejectedAt = replacedAt + QUEUE;
        assertTrue(rejectedAt < 40 * SECOND + WAIT + 2 * SECOND, "a list can be in time");
        assertEquals(rejectedAt, schedule.onFailure(rejectedAt, replacedAt, WAIT, true));
    }

    /** The other side: a tier that has lost discovery does not call all at once. */
    @Test
    void theStaggerOfTheTierDecidesWhileDiscoveryIsDown() {
        CallSchedule schedule = new CallSchedule(0);
        schedule.onList(10 * SECOND);
        assertEquals(
                ANY_TIME, schedule.onFailure(20 * SECOND, 10 * SECOND, WAIT, true), "a lost watch");
        assertEquals(
                ANY_TIME, schedule.onFailure(22 * SECOND, 22 * SECOND, WAIT, false), "refused");
        schedule.onMoved(30 * SECOND);
        assertTrue(
                schedule.onFailure(30 * SECOND, 30 * SECOND, WAIT, false) < 32 * SECOND, "moved");
        assertEquals(
                ANY_TIME, schedule.onFailure(35 * SECOND, 35 * SECOND, WAIT, false), "too late");
    }
}
