package frostrelay.rig.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.rig.day.Day;
import frostrelay.rig.day.DayFile;
import frostrelay.rig.day.Targets;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The same seed gives the same day, and the day is what its file says. */
class RequestPlanTest {
    private static List<Planned> plan(Day day, int count) {
        RequestPlan plan = new RequestPlan(day);
        List<Planned> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(plan.next(1));
        }
        return all;
    }

    @Test
    void theSameSeedAsksTheSameThings() {
        Day day = DayFile.demo();
        assertEquals(plan(day, 5_000), plan(day, 5_000));
        assertNotEquals(plan(day, 10), plan(day.seeded(8), 10));
        List<Integer> met =
                Targets.choose("any-3", "cache", 10, RandomSource.XO_RO_SHI_RO_128_PP.create(9));
        assertEquals(
                met,
                Targets.choose("any-3", "cache", 10, RandomSource.XO_RO_SHI_RO_128_PP.create(9)));
        assertEquals(3, met.stream().distinct().count());
    }

    @Test
    void ratesSharesAndPopularityAreThoseOfTheFile() {
        Day day = DayFile.demo();
        List<Planned> all = plan(day, 100_000);
        assertEquals(
                day.load().rate(),
                all.size() * 1e9 / all.get(all.size() - 1).at(),
                day.load().rate() * 0.02);
        Map<String, Integer> keys = new HashMap<>();
        long reads = all.stream().filter(one -> one.requestClass().name().equals("read")).count();
        assertEquals(0.95, reads / (double) all.size(), 0.005);
        all.forEach(one -> keys.merge(one.key(), 1, Integer::sum));
        double harmonic = 0;
        for (int rank = 1; rank <= day.load().keys(); rank++) {
            harmonic += Math.pow(rank, -day.load().zipf());
        }
        int hottest = keys.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(
                1 / harmonic,
                hottest / (double) all.size(),
                0.005,
                "Zipf's share of the first key");
        assertTrue(keys.size() <= day.load().keys());
    }
}
