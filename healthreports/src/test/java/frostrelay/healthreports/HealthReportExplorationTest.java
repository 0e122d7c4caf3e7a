package frostrelay.healthreports;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.healthreports.ExploredCluster.ActionKind;
import frostrelay.healthreports.ExploredCluster.SeededDefect;
import frostrelay.healthreports.ExploredCluster.Step;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores all interleavings of a few events against the production code, breadth first: three
 * balancers of a cluster of six see caches answer or fail, send each other reports, lose, duplicate
 * and reorder them, restart, and learn of a cache's restart; in a large cluster they relay reports,
 * and a fourth sends false ones in its own name and in those of three others. What each truly
 * observed is recorded apart, and the invariants are checked against that.
 */
class HealthReportExplorationTest {
    private static final int MAX_DEPTH = 9;
    private static final int MAX_STATES = 60_000;

    private static ExploredCluster replay(SeededDefect defect, int clusterSize, List<Step> steps) {
        ExploredCluster world = new ExploredCluster(defect, clusterSize);
        steps.forEach(world::apply);
        return world;
    }

    /** How many states were visited, and the first broken invariant, or null. */
    private record Exploration(int states, String violation) {}

    /** Explores breadth first from the state after {@code first}. */
    private static Exploration explore(SeededDefect defect, int clusterSize, List<Step> first) {
        Set<String> visited = new HashSet<>();
        Deque<List<Step>> frontier = new ArrayDeque<>();
        frontier.add(first);
        while (!frontier.isEmpty() && visited.size() < MAX_STATES) {
            List<Step> steps = frontier.poll();
            ExploredCluster world = replay(defect, clusterSize, steps);
            String broken = world.violation();
            if (broken != null) {
                return new Exploration(visited.size(), broken + " behind " + steps);
            }
            if (!visited.add(world.fingerprint())
                    || steps.size() >= MAX_DEPTH + first.size()
                    || world.inTransit.size() > 3) {
                continue;
            }
            for (Step next : world.nextSteps()) {
                List<Step> longer = new ArrayList<>(steps);
                longer.add(next);
                frontier.add(longer);
            }
        }
        return new Exploration(visited.size(), null);
    }

    /** Two of three have found cache 1 unhealthy and reported it to the third. */
    private static final List<Step> TWO_REPORTS_PREFIX =
            List.of(
                    new Step(ActionKind.BAD, 0, 1),
                    new Step(ActionKind.BAD, 0, 1),
                    new Step(ActionKind.BAD, 1, 1),
                    new Step(ActionKind.BAD, 1, 1),
                    new Step(ActionKind.TELL, 0, 2),
                    new Step(ActionKind.TELL, 1, 2),
                    new Step(ActionKind.DELIVER, 0, 0));

    @Test
    void noReachableStateEjectsACacheThatThreeDidNotSeeFail() {
        for (int clusterSize : new int[] {ExploredCluster.SMALL, ExploredCluster.LARGE}) {
            Exploration fromStart = explore(SeededDefect.NONE, clusterSize, List.of());
            assertEquals(null, fromStart.violation());
            Exploration fromPrefix = explore(SeededDefect.NONE, clusterSize, TWO_REPORTS_PREFIX);
            assertEquals(null, fromPrefix.violation());
            assertTrue(
                    fromStart.states() > 30_000 && fromPrefix.states() > 30_000,
                    "states walked: " + fromStart.states() + " and " + fromPrefix.states());
        }
        ExploredCluster reached =
                replay(
                        SeededDefect.NONE,
                        ExploredCluster.SMALL,
                        List.of(
                                new Step(ActionKind.BAD, 0, 1),
                                new Step(ActionKind.BAD, 1, 1),
                                new Step(ActionKind.BAD, 2, 1),
                                new Step(ActionKind.BAD, 2, 1),
                                new Step(ActionKind.TELL, 0, 2),
                                new Step(ActionKind.TELL, 1, 2),
                                new Step(ActionKind.DELIVER, 0, 0),
                                new Step(ActionKind.DELIVER, 0, 0)));
        assertEquals(Set.of(1L), reached.outliers.get(2), "three saw it: it is reached");
    }

    @Test
    void eachSeededDefectIsFound() {
        for (SeededDefect defect :
                List.of(SeededDefect.COUNTS_THE_BRINGER, SeededDefect.KEEPS_OLD_STARTS)) {
            List<Step> begun = new ArrayList<>(TWO_REPORTS_PREFIX);
            if (defect == SeededDefect.KEEPS_OLD_STARTS) {
                begun.addAll(
                        List.of(new Step(ActionKind.BAD, 2, 1), new Step(ActionKind.BAD, 2, 1)));
            }
            assertFalse(
                    explore(defect, ExploredCluster.SMALL, begun).violation() == null,
                    defect.toString());
        }
        assertFalse(
                explore(SeededDefect.BELIEVES_THE_BRINGER, ExploredCluster.LARGE, List.of())
                                .violation()
                        == null,
                "a liar speaks for three others");
    }
}
