package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.Map;

/** Tests of gossip in tiers larger than socket tests can run. The bounds hold for every seed. */
class SimGossipTest {
    private static double figure(Map<String, Object> summary, String name) {
        return ((Number) summary.get(name)).doubleValue();
    }

    @Test
    void changesPropagateWithinTheRateLimitAtAnyLoss() {
        for (double loss : new double[] {0.01, 0.1, 0.3}) {
            Map<String, Object> summary = SimGossip.run(SimGossip.Plan.of(64, loss, 60, 10, 7));
            assertTrue(figure(summary, "knownP99Ms") <= 2_000, summary.toString());
            assertTrue(figure(summary, "knownMissed") <= 2, summary.toString());
            assertEquals(0, figure(summary, "falselyGone"), summary.toString());
            assertTrue(figure(summary, "mostBytesInASecond") <= 2048, summary.toString());
            assertTrue(figure(summary, "price") < 0.003, summary.toString());
        }
    }

    @Test
    void killedBalancersAreDetectedWithoutFalseDeaths() {
        SimGossip.Plan plan =
                new SimGossip.Plan(
                        32, 0.1, 2_100_000L, 30_000_000L, 2048, 90, 4, true, 3, 0, 0, false, 5);
        Map<String, Object> summary = SimGossip.run(plan);
        assertTrue(figure(summary, "detectedMaxMs") < 60_000, summary.toString());
        assertEquals(0, figure(summary, "falselyGone"), summary.toString());
        assertTrue(figure(summary, "knownTogetherP99Ms") < 10_000, summary.toString());
    }

    /**
     * A third of the tier receives a list from discovery 30 s late. The balancers must detect the
     * lag soon without overloading discovery with unscheduled calls.
     */
    @Test
    void manyLateBalancersDoNotOverloadDiscovery() {
        SimGossip.Plan plan =
                new SimGossip.Plan(
                        100, 0.1, 2_100_000L, 30_000_000L, 2048, 60, 0, true, 0, 0, 0.33, false, 5);
        Map<String, Object> summary = SimGossip.run(plan);
        assertTrue(figure(summary, "knewBehindP99Ms") < 2_000, summary.toString());
        assertTrue(
                figure(summary, "mostAskedInASecond") <= 2 * figure(summary, "calmCallsASecond"),
                summary.toString());
        assertTrue(figure(summary, "mostAside") <= 25, summary.toString());
    }

    /**
     * The list changes while 40 of 100 balancers are partitioned and their watches lost. After the
     * partition they must poll discovery at a limited rate and catch up soon.
     */
    @Test
    void balancersCatchUpAfterAPartitionAtALimitedPollRate() {
        SimGossip.Plan plan =
                new SimGossip.Plan(
                        100, 0.1, 2_100_000L, 30_000_000L, 2048, 40, 0, true, 0, 0.4, 0.4, true, 6);
        Map<String, Object> summary = SimGossip.run(plan);
        assertTrue(
                summary.get("lastStragglerMs") != null
                        && figure(summary, "lastStragglerMs") < 31_000,
                summary.toString());
        assertTrue(
                figure(summary, "mostAskedInASecond") <= 2 * figure(summary, "calmCallsASecond"),
                summary.toString());
        assertTrue(figure(summary, "askedBehind") >= 30, summary.toString());
    }

    @Test
    void theSameSeedReproducesTheSameResults() {
        SimGossip.Plan plan = SimGossip.Plan.of(16, 0.3, 30, 4, 3);
        assertEquals(SimGossip.run(plan), SimGossip.run(plan));
    }
}
