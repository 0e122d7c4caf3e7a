package frostrelay.testbed.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.testbed.invariants.SlowStartMeter;

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

/** Compares the model of a cache's machine with queueing theory. */
class WorkEngineTest {
    /** The total time matches the total work for any division into jobs, slots and cores. */
    @Property(tries = 300, seed = "20261201")
    void workIsConserved(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 1_000_000) Integer> work,
            @ForAll @IntRange(min = 1, max = 8) int slots) {
        WorkEngine<Integer> engine = new WorkEngine<>(1, slots, work.size());
        long sum = 0;
        for (int i = 0; i < work.size(); i++) {
            assertTrue(engine.submit(0, i, work.get(i)) != WorkEngine.Admission.REJECTED);
            sum += work.get(i);
        }
        List<Integer> finishedJobs = new ArrayList<>();
        long now = 0;
        while (engine.nextCompletionNanos() != Long.MAX_VALUE) {
            now = Math.max(now + 1, engine.nextCompletionNanos());
            finishedJobs.addAll(engine.pollFinished(now));
        }
        assertEquals(work.size(), finishedJobs.size());
        assertTrue(
                Math.abs(now - sum) <= 2L * work.size() + 2,
                "all done at " + now + ", work " + sum);
    }

    /**
     * For an M/M/1 queue with processor sharing, the mean time in the system is work / (1 - load).
     */
    @Example
    void theMeanTimeIsThatOfAnMM1Queue() {
        double load = 0.7;
        double work = 1e6;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        ZigguratSampler.Exponential exponential = ZigguratSampler.Exponential.of(random);
        WorkEngine<double[]> engine = new WorkEngine<>(1, 100_000, 0);
        double arrival = 0;
        double total = 0;
        int jobs = 200_000;
        for (int i = 0; i < jobs; i++) {
            arrival += exponential.sample() * work / load;
            while (engine.nextCompletionNanos() <= arrival) {
                long now = engine.nextCompletionNanos();
                for (double[] job : engine.pollFinished(now)) {
                    total += now - job[0];
                }
            }
            engine.submit((long) arrival, new double[] {arrival}, exponential.sample() * work);
        }
        double mean = total / jobs;
        double theory = work / (1 - load);
        assertTrue(Math.abs(mean / theory - 1) < 0.05, "mean " + mean + ", theory " + theory);
    }

    @Example
    void aFullMachineRejectsAndACancelledJobFreesItsSlot() {
        WorkEngine<String> engine = new WorkEngine<>(1, 1, 1);
        assertEquals(WorkEngine.Admission.RUNNING, engine.submit(0, "a", 100));
        assertEquals(WorkEngine.Admission.QUEUED, engine.submit(0, "b", 100));
        assertEquals(WorkEngine.Admission.REJECTED, engine.submit(0, "c", 100));
        assertFalse(
                engine.remove(10, "a", false),
                "running work continues if cancellation does not stop it");
        assertTrue(engine.remove(10, "a", true));
        assertEquals(
                110,
                engine.nextCompletionNanos(),
                "the next job started when the slot became free");
        engine.setSpeed(60, 0.5);
        assertEquals(160, engine.nextCompletionNanos());
    }

    @Example
    void aMachineInSlowStartBearsItsMultipleAndNoMore() {
        SlowStartMeter.SlowStartProfile slowStart =
                new SlowStartMeter.SlowStartProfile(0.15, 20_000_000_000L, 4, 1_000_000_000L);
        for (double multiple : new double[] {3.9, 6}) {
            SlowStartMeter meter = new SlowStartMeter(slowStart, 1, 0);
            boolean isOverloaded = false;
            for (long atNanos = 0; atNanos < 3_000_000_000L; atNanos += 10_000_000L) {
                // A multiple of the current capacity, in steps of 10 ms.
                isOverloaded |=
                        meter.addWork(
                                atNanos,
                                multiple * slowStart.capacityFraction(atNanos) * 10_000_000L);
            }
            assertEquals(multiple > 4.4, isOverloaded, "multiple " + multiple);
        }
    }
}
