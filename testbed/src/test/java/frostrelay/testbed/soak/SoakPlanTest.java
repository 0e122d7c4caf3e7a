package frostrelay.testbed.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.testbed.scenario.FaultKind;
import frostrelay.testbed.scenario.FaultSpec;
import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.Targets;

import org.junit.jupiter.api.Test;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Checks that generated scenarios have many balancers and overlapping faults, and that a few seeds
 * cover all kinds of faults.
 */
class SoakPlanTest {
    private static final int SEED_COUNT = 60;

    @Test
    void theSameSeedGivesTheSameScenarioAndAnotherOneAnother() {
        assertEquals(SoakPlan.draw(7, 0), SoakPlan.draw(7, 0));
        assertNotEquals(SoakPlan.draw(7, 0), SoakPlan.draw(8, 0));
        assertEquals(3, SoakPlan.draw(7, 3).balancers());
    }

    @Test
    void faultsOverlapAndHaveTargets() {
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            Scenario scenario = SoakPlan.draw(seed, 0);
            assertTrue(scenario.balancers() >= 10 && scenario.balancers() <= 40, "seed " + seed);
            List<FaultSpec> faults = scenario.faults();
            for (FaultSpec fault : faults) {
                kinds.add(fault.kind());
                assertTrue(
                        fault.startNanos() + fault.durationNanos()
                                <= scenario.durationNanos() + 1_000_000_000L,
                        fault.describe());
                int max =
                        fault.kind().targetKind == FaultKind.TargetKind.CACHE
                                ? scenario.caches()
                                : scenario.balancers();
                String name =
                        fault.kind().targetKind == FaultKind.TargetKind.CACHE
                                ? "cache"
                                : "balancer";
                assertTrue(
                        fault.kind().targetKind == FaultKind.TargetKind.NONE
                                || Targets.count(fault.target(), name, max) > 0,
                        fault.describe());
            }
            long stops =
                    faults.stream()
                            .filter(fault -> fault.kind() == FaultKind.BALANCER_STOP)
                            .count();
            assertTrue(stops > scenario.balancers() / 3, "seed " + seed);
            assertTrue(hangsDuringAStop(faults), "seed " + seed);
        }
        assertTrue(kinds.size() >= 16, kinds.toString());
    }

    private static boolean hangsDuringAStop(List<FaultSpec> faults) {
        return faults.stream()
                .filter(fault -> fault.kind() == FaultKind.SILENCE)
                .anyMatch(
                        hang ->
                                faults.stream()
                                        .anyMatch(
                                                stop ->
                                                        stop.kind() == FaultKind.BALANCER_STOP
                                                                && stop.startNanos()
                                                                        >= hang.startNanos()
                                                                && stop.startNanos()
                                                                        <= hang.startNanos()
                                                                                + hang
                                                                                        .durationNanos()));
    }
}
