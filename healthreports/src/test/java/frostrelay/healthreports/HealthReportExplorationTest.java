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
 * Explores interleavings of a few events against the production code, breadth first. Three
 * balancers of a cluster of six observe answers and failures of caches, send each other reports,
 * which are lost, duplicated and reordered, restart, and apply endpoint lists with a restarted
 * cache. In a large cluster they also relay reports, and a fourth balancer sends false ones under
 * its own rank and under those of three others. The true observations of each balancer are recorded
 * separately, and the invariants are checked against these.
 */
class HealthReportExplorationTest {
    private static final int MAX_DEPTH = 9;
    private static final int MAX_STATES = 60_000;

    private static ExploredCluster replay(SeededDefect defect, int clusterSize, List<Step> steps) {
        ExploredCluster cluster = new ExploredCluster(defect, clusterSize);
        steps.forEach(cluster::apply);
        return cluster;
    }

    /** Number of states visited, and the first violated invariant, or null. */
    private record Exploration(int states, String violation) {}

    /** Explores breadth first from the state after {@code first}. */
    private static Exploration explore(SeededDefect defect, int clusterSize, List<Step> first) {
        Set<String> visited = new HashSet<>();
        Deque<List<Step>> frontier = new ArrayDeque<>();
        frontier.add(first);
        while (!frontier.isEmpty() && visited.size() < MAX_STATES) {
            List<Step> steps = frontier.poll();
            ExploredCluster cluster = replay(defect, clusterSize, steps);
            String violation = cluster.violation();
            if (violation != null) {
                return new Exploration(visited.size(), violation + " after " + steps);
            }
            if (!visited.add(cluster.fingerprint())
                    || steps.size() >= MAX_DEPTH + first.size()
                    || cluster.inTransit.size() > 3) {
                continue;
            }
            for (Step next : cluster.nextSteps()) {
                List<Step> longer = new ArrayList<>(steps);
                longer.add(next);
                frontier.add(longer);
            }
        }
        return new Exploration(visited.size(), null);
    }

    /** Two of three balancers find cache 1 unhealthy and report it to the third. */
    private static final List<Step> TWO_REPORTS_PREFIX =
            List.of(
                    new Step(ActionKind.ATTEMPT_FAILED, 0, 1),
                    new Step(ActionKind.ATTEMPT_FAILED, 0, 1),
                    new Step(ActionKind.ATTEMPT_FAILED, 1, 1),
                    new Step(ActionKind.ATTEMPT_FAILED, 1, 1),
                    new Step(ActionKind.SEND, 0, 2),
                    new Step(ActionKind.SEND, 1, 2),
                    new Step(ActionKind.DELIVER, 0, 0));

    @Test
    void noReachableStateEjectsACacheWithFewerThanThreeObservers() {
        for (int clusterSize : new int[] {ExploredCluster.SMALL, ExploredCluster.LARGE}) {
            Exploration fromStart = explore(SeededDefect.NONE, clusterSize, List.of());
            assertEquals(null, fromStart.violation());
            Exploration fromPrefix = explore(SeededDefect.NONE, clusterSize, TWO_REPORTS_PREFIX);
            assertEquals(null, fromPrefix.violation());
            assertTrue(
                    fromStart.states() > 30_000 && fromPrefix.states() > 30_000,
                    "states visited: " + fromStart.states() + " and " + fromPrefix.states());
        }
        ExploredCluster reached =
                replay(
                        SeededDefect.NONE,
                        ExploredCluster.SMALL,
                        List.of(
                                new Step(ActionKind.ATTEMPT_FAILED, 0, 1),
                                new Step(ActionKind.ATTEMPT_FAILED, 1, 1),
                                new Step(ActionKind.ATTEMPT_FAILED, 2, 1),
                                new Step(ActionKind.ATTEMPT_FAILED, 2, 1),
                                new Step(ActionKind.SEND, 0, 2),
                                new Step(ActionKind.SEND, 1, 2),
                                new Step(ActionKind.DELIVER, 0, 0),
                                new Step(ActionKind.DELIVER, 0, 0)));
        assertEquals(
                Set.of(1L),
                reached.outliers.get(2),
                "three observed failures, so the cache is ejected");
    }

    @Test
    void eachSeededDefectIsFound() {
        for (SeededDefect defect :
                List.of(
                        SeededDefect.COUNTS_SENDER_AS_ANOTHER_REPORTER,
                        SeededDefect.MISSES_CACHE_RESTARTS)) {
            List<Step> prefix = new ArrayList<>(TWO_REPORTS_PREFIX);
            if (defect == SeededDefect.MISSES_CACHE_RESTARTS) {
                prefix.addAll(
                        List.of(
                                new Step(ActionKind.ATTEMPT_FAILED, 2, 1),
                                new Step(ActionKind.ATTEMPT_FAILED, 2, 1)));
            }
            assertFalse(
                    explore(defect, ExploredCluster.SMALL, prefix).violation() == null,
                    defect.toString());
        }
        assertFalse(
                explore(SeededDefect.TREATS_RELAYED_AS_DIRECT, ExploredCluster.LARGE, List.of())
                                .violation()
                        == null,
                "a faulty peer reports under the ranks of three others");
    }
}
