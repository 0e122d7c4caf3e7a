package frostrelay.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import frostrelay.testbed.invariants.InvariantChecker.Effect;

import org.junit.jupiter.api.Test;

/**
 * Checks that work for disconnected clients and overstated timeouts are reported, except for
 * commands delayed by an injected network fault.
 */
class TimingInvariantsTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private final InvariantChecker checker =
            new InvariantChecker(
                    new InvariantChecker.Bounds(
                            500 * NANOS_PER_MILLISECOND,
                            1_000 * NANOS_PER_MILLISECOND,
                            new SlowStartMeter.SlowStartProfile(0.2, 1, 4, 1),
                            1));

    private void recordRequest(String id) {
        checker.onRequest(1_000 * NANOS_PER_MILLISECOND, id, id, Effect.IDEMPOTENT);
        checker.onTimeoutSet(id, 2_000 * NANOS_PER_MILLISECOND);
    }

    @Test
    void workStartedLongAfterTheClientDisconnectedIsReported() {
        recordRequest("a");
        checker.onClientDisconnected(1_100 * NANOS_PER_MILLISECOND, "a");
        checker.onCommandReceived(
                1_300 * NANOS_PER_MILLISECOND, "cache-1", "balancer-1", "a", NANOS_PER_MILLISECOND);
        assertEquals(0, checker.violationCount());
        checker.onCommandReceived(
                1_400 * NANOS_PER_MILLISECOND, "cache-1", "balancer-1", "a", NANOS_PER_MILLISECOND);
        assertEquals(1, checker.violationCount(Invariant.BEGUN_AFTER_CLIENT_LEFT));
        assertEquals(1, checker.violationCount());
    }

    @Test
    void anOverstatedTimeoutIsReported() {
        recordRequest("a");
        checker.onNotified(
                1_500 * NANOS_PER_MILLISECOND,
                "cache-1",
                "balancer-1",
                "a",
                2_250 * NANOS_PER_MILLISECOND);
        assertEquals(0, checker.violationCount());
        checker.onNotified(
                1_500 * NANOS_PER_MILLISECOND,
                "cache-1",
                "balancer-1",
                "a",
                2_350 * NANOS_PER_MILLISECOND);
        assertEquals(1, checker.violationCount(Invariant.WAIT_OVERSTATED));
        assertEquals(1, checker.violationCount());
    }

    @Test
    void delaysCausedByAnInjectedFaultAreNotViolations() {
        recordRequest("a");
        checker.onClientDisconnected(1_100 * NANOS_PER_MILLISECOND, "a");
        checker.setDelayed(1_200 * NANOS_PER_MILLISECOND, "cache-1", true);
        checker.onCommandReceived(
                5_000 * NANOS_PER_MILLISECOND, "cache-1", "balancer-1", "a", NANOS_PER_MILLISECOND);
        checker.onNotified(
                5_000 * NANOS_PER_MILLISECOND,
                "cache-1",
                "balancer-1",
                "a",
                9_000 * NANOS_PER_MILLISECOND);
        checker.setDelayed(5_100 * NANOS_PER_MILLISECOND, "cache-1", false);
        checker.onCommandReceived(
                5_200 * NANOS_PER_MILLISECOND, "cache-1", "balancer-1", "a", NANOS_PER_MILLISECOND);
        assertEquals(0, checker.violationCount());
        checker.onCommandReceived(
                7_000 * NANOS_PER_MILLISECOND, "cache-1", "balancer-1", "a", NANOS_PER_MILLISECOND);
        assertEquals(1, checker.violationCount(Invariant.BEGUN_AFTER_CLIENT_LEFT));
    }
}
