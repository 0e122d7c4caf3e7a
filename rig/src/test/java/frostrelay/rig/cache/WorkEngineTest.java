package frostrelay.rig.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.rig.referee.ColdMeter;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

import java.util.ArrayList;
import java.util.List;

/** The stand-in's machine against what queueing theory says of it. */
class WorkEngineTest {
    /** However the work is cut into jobs, slots and cores, no time is lost and none is won. */
    @Property(tries = 300, seed = "20261201")
    void workIsConserved(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 1_000_000) Integer> work,
            @ForAll @IntRange(min = 1, max = 8) int slots) {
        WorkEngine<Integer> engine = new WorkEngine<>(1, slots, work.size());
        long sum = 0;
        for (int i = 0; i < work.size(); i++) {
            assertTrue(engine.offer(0, i, work.get(i)) != WorkEngine.Offer.FULL);
            sum += work.get(i);
        }
        List<Integer> done = new ArrayList<>();
        long now = 0;
        while (engine.next() != Long.MAX_VALUE) {
            now = Math.max(now + 1, engine.next());
            done.addAll(engine.finished(now));
        }
        assertEquals(work.size(), done.size());
        assertTrue(
                Math.abs(now - sum) <= 2L * work.size() + 2,
                "all done at " + now + ", work " + sum);
    }

    /**
     * M/M/1 with shared service: the mean time in the machine is work / (1 - load), whatever the
     * order.
     */
    @Example
    void theMeanTimeIsThatOfAnMM1Queue() {
        double load = 0.7;
        double work = 1e6;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        ZigguratSampler.Exponential draws = ZigguratSampler.Exponential.of(random);
        WorkEngine<double[]> engine = new WorkEngine<>(1, 100_000, 0);
        double arrival = 0;
        double total = 0;
        int jobs = 200_000;
        for (int i = 0; i < jobs; i++) {
            arrival += draws.sample() * work / load;
            while (engine.next() <= arrival) {
                long now = engine.next();
                for (double[] job : engine.finished(now)) {
                    total += now - job[0];
                }
            }
            engine.offer((long) arrival, new double[] {arrival}, draws.sample() * work);
        }
        double mean = total / jobs;
        double theory = work / (1 - load);
        assertTrue(Math.abs(mean / theory - 1) < 0.05, "mean " + mean + ", theory " + theory);
    }

    @Example
    void aFullMachineTurnsAwayAndACancelledJobLeavesItsPlace() {
        WorkEngine<String> engine = new WorkEngine<>(1, 1, 1);
        assertEquals(WorkEngine.Offer.RUNS, engine.offer(0, "a", 100));
        assertEquals(WorkEngine.Offer.WAITS, engine.offer(0, "b", 100));
        assertEquals(WorkEngine.Offer.FULL, engine.offer(0, "c", 100));
        assertFalse(
                engine.remove(10, "a", false),
                "work that runs goes on where a cancel does not stop it");
        assertTrue(engine.remove(10, "a", true));
        assertEquals(110, engine.next(), "the next one began when the place was free");
        engine.speed(60, 0.5);
        assertEquals(160, engine.next());
    }

    @Example
    void aColdMachineBearsItsMultipleAndNoMore() {
        ColdMeter.Warmth warmth = new ColdMeter.Warmth(0.15, 20_000_000_000L, 4, 1_000_000_000L);
        for (double multiple : new double[] {3.9, 6}) {
            ColdMeter meter = new ColdMeter(warmth, 1, 0);
            boolean over = false;
            for (long at = 0; at < 3_000_000_000L; at += 10_000_000L) {
                // So many times what it can do just now, in steps of 10 ms.
                over |= meter.reached(at, multiple * warmth.part(at) * 10_000_000L);
            }
            assertEquals(multiple > 4.4, over, "multiple " + multiple);
        }
    }
}
