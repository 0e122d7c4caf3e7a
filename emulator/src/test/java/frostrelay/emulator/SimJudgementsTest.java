package frostrelay.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.Map;

/** What tiers of many sizes make of dead caches: bounds that hold on every seed. */
class SimJudgementsTest {
    private static double figure(Map<String, Object> day, String name) {
        return ((Number) day.get(name)).doubleValue();
    }

    /**
     * With nothing lost all others lower a dead cache at once behind the third who finds it so:
     * word misses nobody by chance.
     */
    @Test
    void inASmallTierNobodyMissesWhatThreeFound() {
        int late = 0;
        for (int seed = 1; seed <= 30; seed++) {
            Map<String, Object> day =
                    SimJudgements.play(new SimJudgements.Plan(5, 6, 6, 0, 0.17, 10, 0, seed));
            assertEquals(0, figure(day, "neverLowered"), day.toString());
            late += (int) figure(day, "loweredLaterThanASecond");
        }
        assertEquals(0, late);
    }

    @Test
    void aHundredLowerTheDeadSoonAndTheHealthyHardlyEver() {
        Map<String, Object> day =
                SimJudgements.play(new SimJudgements.Plan(100, 60, 10, 0.01, 0.2, 10, 0.005, 3));
        assertTrue(figure(day, "loweredBehindDeathP50Ms") < 2_000, day.toString());
        assertTrue(figure(day, "loweredBehindDeathP99Ms") < 6_000, day.toString());
        assertTrue(figure(day, "healthyLost") < 0.01, day.toString());
        assertTrue(figure(day, "readsAtTheDead") < 0.08, "a fifth is dead: " + day);
        assertEquals(
                0,
                figure(day, "countsOutsideTheirBounds"),
                "what all take lies within what each says of it");
        assertTrue(
                figure(day, "countErrorP50") < 0.1 && figure(day, "countCoverP50") > 0.4,
                day.toString());
        assertTrue(figure(day, "mostBytesInASecond") <= 2_048, day.toString());
    }
}
