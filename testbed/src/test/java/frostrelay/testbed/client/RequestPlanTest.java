package frostrelay.testbed.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.testbed.scenario.Scenario;
import frostrelay.testbed.scenario.ScenarioFile;
import frostrelay.testbed.scenario.Targets;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a seed determines the plan, and that the plan matches the rates of the scenario file.
 */
class RequestPlanTest {
    private static List<PlannedRequest> plan(Scenario scenario, int count) {
        RequestPlan plan = new RequestPlan(scenario);
        List<PlannedRequest> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(plan.next(1));
        }
        return requests;
    }

    @Test
    void theSameSeedPlansTheSameRequests() {
        Scenario scenario = ScenarioFile.demo();
        assertEquals(plan(scenario, 5_000), plan(scenario, 5_000));
        assertNotEquals(plan(scenario, 10), plan(scenario.withSeed(8), 10));
        List<Integer> targets =
                Targets.choose("any-3", "cache", 10, RandomSource.XO_RO_SHI_RO_128_PP.create(9));
        assertEquals(
                targets,
                Targets.choose("any-3", "cache", 10, RandomSource.XO_RO_SHI_RO_128_PP.create(9)));
        assertEquals(3, targets.stream().distinct().count());
    }

    @Test
    void ratesClassMixAndPopularityAreThoseOfTheFile() {
        Scenario scenario = ScenarioFile.demo();
        List<PlannedRequest> requests = plan(scenario, 100_000);
        assertEquals(
                scenario.load().requestsPerSecond(),
                requests.size() * 1e9 / requests.get(requests.size() - 1).atNanos(),
                scenario.load().requestsPerSecond() * 0.02);
        Map<String, Integer> keys = new HashMap<>();
        long reads =
                requests.stream()
                        .filter(request -> request.requestClass().name().equals("read"))
                        .count();
        assertEquals(0.95, reads / (double) requests.size(), 0.005);
        requests.forEach(request -> keys.merge(request.key(), 1, Integer::sum));
        double harmonic = 0;
        for (int rank = 1; rank <= scenario.load().keyCount(); rank++) {
            harmonic += Math.pow(rank, -scenario.load().zipfExponent());
        }
        int hottest = keys.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(
                1 / harmonic,
                hottest / (double) requests.size(),
                0.005,
                "fraction of requests for the most popular key");
        assertTrue(keys.size() <= scenario.load().keyCount());
    }
}
