package frostrelay.rig.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;

import frostrelay.rig.referee.Referee.Effect;

import org.junit.jupiter.api.Test;

/**
 * Work for clients that left, and waits that are overstated, are called; what a fault on the way
 * delayed is not.
 */
class TimeRulesTest {
    private static final long MS = 1_000_000L;
    private final Referee referee =
            new Referee(
                    new Referee.Bounds(
                            500 * MS, 1_000 * MS, new ColdMeter.Warmth(0.2, 1, 4, 1), 1));

    private void asked(String id) {
        referee.asked(1_000 * MS, id, id, Effect.REPEATABLE);
        referee.waits(id, 2_000 * MS);
    }

    @Test
    void workThatIsBegunLongAfterTheClientLeftIsCalled() {
        asked("a");
        referee.left(1_100 * MS, "a");
        referee.received(1_300 * MS, "cache-1", "balancer-1", "a", MS);
        assertEquals(0, referee.count());
        referee.received(1_400 * MS, "cache-1", "balancer-1", "a", MS);
        assertEquals(1, referee.count(Rule.BEGUN_AFTER_CLIENT_LEFT));
        assertEquals(1, referee.count());
    }

    @Test
    void aWaitThatIsOverstatedIsCalled() {
        asked("a");
        referee.told(1_500 * MS, "cache-1", "balancer-1", "a", 2_250 * MS);
        assertEquals(0, referee.count());
        referee.told(1_500 * MS, "cache-1", "balancer-1", "a", 2_350 * MS);
        assertEquals(1, referee.count(Rule.WAIT_OVERSTATED));
        assertEquals(1, referee.count());
    }

    @Test
    void whatAFaultDelayedOnItsWayIsNotHeldAgainstTheBalancer() {
        asked("a");
        referee.left(1_100 * MS, "a");
        referee.delayed(1_200 * MS, "cache-1", true);
        referee.received(5_000 * MS, "cache-1", "balancer-1", "a", MS);
        referee.told(5_000 * MS, "cache-1", "balancer-1", "a", 9_000 * MS);
        referee.delayed(5_100 * MS, "cache-1", false);
        referee.received(5_200 * MS, "cache-1", "balancer-1", "a", MS);
        assertEquals(0, referee.count());
        referee.received(7_000 * MS, "cache-1", "balancer-1", "a", MS);
        assertEquals(1, referee.count(Rule.BEGUN_AFTER_CLIENT_LEFT));
    }
}
