package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.Map;

/** What tiers of many sizes make of dead caches: bounds that hold on every seed. */
class SimJudgementsTest {
    private static double figure(Map<String, Object> summary, String name) {
        return ((Number) summary.get(name)).doubleValue();
    }

    /**
     * With nothing lost all others lower a dead cache at once behind the third who finds it so:
     * word misses nobody by chance.
     */
    @Test
    void inASmallTierNobodyMissesWhatThreeFound() {
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
    void aHundredLowerTheDeadSoonAndTheHealthyHardlyEver() {
        Map<String, Object> summary =
                SimHealthReports.run(
                        new SimHealthReports.Plan(100, 60, 10, 0.01, 0.2, 10, 0.005, 3));
        assertTrue(figure(summary, "loweredBehindDeathP50Ms") < 2_000, summary.toString());
        assertTrue(figure(summary, "loweredBehindDeathP99Ms") < 6_000, summary.toString());
        assertTrue(figure(summary, "healthyLost") < 0.01, summary.toString());
        assertTrue(figure(summary, "readsAtTheDead") < 0.08, "a fifth is dead: " + summary);
        assertEquals(
                0,
                figure(summary, "countsOutsideTheirBounds"),
                "what all take lies within what each says of it");
        assertTrue(
                figure(summary, "countErrorP50") < 0.1 && figure(summary, "countCoverP50") > 0.4,
                summary.toString());
        assertTrue(figure(summary, "mostBytesInASecond") <= 2_048, summary.toString());
    }
}
