package frostrelay.rig.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.rig.day.Day;
import frostrelay.rig.day.FaultKind;
import frostrelay.rig.day.FaultSpec;
import frostrelay.rig.day.Targets;

import org.junit.jupiter.api.Test;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * What is drawn is a soak: many balancers, faults that overlap, all that it knows of within a few
 * seeds.
 */
class SoakPlanTest {
    private static final int SEEDS = 60;

    @Test
    void theSameSeedGivesTheSameDayAndAnotherOneAnother() {
        assertEquals(SoakPlan.draw(7, 0), SoakPlan.draw(7, 0));
        assertNotEquals(SoakPlan.draw(7, 0), SoakPlan.draw(8, 0));
        assertEquals(3, SoakPlan.draw(7, 3).balancers());
    }

    @Test
    void faultsOverlapAndMeetSomebody() {
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = SoakPlan.draw(seed, 0);
            assertTrue(day.balancers() >= 10 && day.balancers() <= 40, "seed " + seed);
            List<FaultSpec> faults = day.faults();
            for (FaultSpec fault : faults) {
                kinds.add(fault.kind());
                assertTrue(
                        fault.at() + fault.length() <= day.length() + 1_000_000_000L, fault.text());
                int most =
                        fault.kind().meets == FaultKind.Meets.CACHE
                                ? day.caches()
                                : day.balancers();
                String name = fault.kind().meets == FaultKind.Meets.CACHE ? "cache" : "balancer";
                assertTrue(
                        fault.kind().meets == FaultKind.Meets.NOBODY
                                || Targets.count(fault.target(), name, most) > 0,
                        fault.text());
            }
            long stops =
                    faults.stream()
                            .filter(fault -> fault.kind() == FaultKind.BALANCER_STOP)
                            .count();
            assertTrue(stops > day.balancers() / 3, "seed " + seed);
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
                                                                && stop.at() >= hang.at()
                                                                && stop.at()
                                                                        <= hang.at()
                                                                                + hang.length()));
    }
}
