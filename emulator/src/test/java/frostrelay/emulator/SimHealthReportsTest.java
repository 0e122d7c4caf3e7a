package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.Map;

/** Tests of ejecting failed caches in tiers of several sizes. The bounds hold for every seed. */
class SimHealthReportsTest {
    private static double figure(Map<String, Object> summary, String name) {
        return ((Number) summary.get(name)).doubleValue();
    }

    /**
     * Without datagram loss, all balancers must eject a failed cache within a second of the third
     * report. Guards against random dissemination that skips a balancer.
     */
    @Test
    void everyBalancerOfASmallTierEjectsAfterThreeReports() {
        int lateEjections = 0;
        for (int seed = 1; seed <= 30; seed++) {
            Map<String, Object> summary =
                    SimHealthReports.run(new SimHealthReports.Plan(5, 6, 6, 0, 0.17, 10, 0, seed));
            assertEquals(0, figure(summary, "neverLowered"), summary.toString());
            lateEjections += (int) figure(summary, "loweredLaterThanASecond");
        }
        assertEquals(0, lateEjections);
    }

    @Test
    void aHundredBalancersEjectFailedCachesSoonAndHealthyOnesRarely() {
        Map<String, Object> summary =
                SimHealthReports.run(
                        new SimHealthReports.Plan(100, 60, 10, 0.01, 0.2, 10, 0.005, 3));
        assertTrue(figure(summary, "loweredBehindDeathP50Ms") < 2_000, summary.toString());
        assertTrue(figure(summary, "loweredBehindDeathP99Ms") < 6_000, summary.toString());
        assertTrue(figure(summary, "healthyLost") < 0.01, summary.toString());
        assertTrue(
                figure(summary, "readsAtTheDead") < 0.08,
                "fraction of reads at failed caches too high, a fifth has failed: " + summary);
        assertEquals(
                0,
                figure(summary, "countsOutsideTheirBounds"),
                "estimates of the tier's request count whose bounds exclude the true count");
        assertTrue(
                figure(summary, "countErrorP50") < 0.1 && figure(summary, "countCoverP50") > 0.4,
                summary.toString());
        assertTrue(figure(summary, "mostBytesInASecond") <= 2_048, summary.toString());
    }
}
